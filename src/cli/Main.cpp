// The product's entry point: one binary with subcommands.
#include <iostream>

#include <gflags/gflags.h>

#include "base/Log.h"
#include "base/LogOutput.h"
#include "cli/AdminClient.h"
#include "cli/Daemon.h"
#include "cli/GatewayDaemon.h"
#include "settings/GatewaySettings.h"
#include "settings/Settings.h"

DEFINE_bool(check, false, "only check the settings, for serve and gateway");

namespace {

constexpr int exitUsage = 2;

int serve(std::vector<rattanshunt::settings::SettingError> faults)
{
    using namespace rattanshunt;
    settings::Settings settings = settings::settingsFromFlags(faults);
    for (const settings::SettingError& fault : faults)
        std::cerr << settings::settingErrorText(fault) << "\n";
    if (!faults.empty())
        return exitUsage;
    if (FLAGS_check) {
        std::cout << "settings are valid\n";
        return 0;
    }
    base::logSetup("rattanshunt", settings.logLevel);
    return cli::daemonRun(settings);
}

int gateway(std::vector<rattanshunt::settings::SettingError> faults)
{
    using namespace rattanshunt;
    if (auto file = settings::settingsFilePath())
        settings::settingsReadFile(*file, faults);
    settings::GatewaySettings settings = settings::gatewaySettingsFromFlags(faults);
    for (const settings::SettingError& fault : faults)
        std::cerr << settings::settingErrorText(fault) << "\n";
    if (!faults.empty())
        return exitUsage;
    if (FLAGS_check) {
        std::cout << "settings are valid\n";
        return 0;
    }
    base::logSetup("rattanshunt", settings.logLevel);
    base::logToStandardOutput();
    return cli::gatewayRun(settings);
}

} // namespace

int main(int argc, char** argv)
{
    using namespace rattanshunt;
    gflags::SetVersionString(RATTANSHUNT_VERSION);
    gflags::SetUsageMessage(cli::helpText());
    std::string first = argc > 1 ? argv[1] : "help";
    if (first == "help" || first == "--help") {
        std::cout << cli::helpText();
        return 0;
    }
    if (first == "version" || first == "--version") {
        std::cout << "rattanshunt " << RATTANSHUNT_VERSION << "\n";
        return 0;
    }
    std::vector<settings::SettingError> faults;
    if (first == "serve" || first == "gateway")
        faults = settings::settingsFromEnvironment();
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::vector<std::string> words(argv + 1, argv + argc);
    if (words.empty() || words[0] == "settings") {
        std::cout << settings::settingsTable();
        return 0;
    }
    if (words[0] == "serve")
        return serve(std::move(faults));
    if (words[0] == "gateway")
        return gateway(std::move(faults));
    return cli::adminClientRun(words);
}
