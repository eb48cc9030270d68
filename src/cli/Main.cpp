// Entry point of the program: one binary with subcommands.
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

int serve(std::vector<rattanshunt::settings::SettingError> errors)
{
    using namespace rattanshunt;
    settings::Settings settings = settings::settingsFromFlags(errors);
    for (const settings::SettingError& error : errors)
        std::cerr << settings::settingErrorText(error) << "\n";
    if (!errors.empty())
        return exitUsage;
    if (FLAGS_check) {
        std::cout << "settings are valid\n";
        return 0;
    }
    base::logSetup("rattanshunt", settings.logLevel);
    return cli::daemonRun(settings);
}

int gateway(std::vector<rattanshunt::settings::SettingError> errors)
{
    using namespace rattanshunt;
    if (auto file = settings::settingsFilePath())
        settings::settingsReadFile(*file, errors);
    settings::GatewaySettings settings = settings::gatewaySettingsFromFlags(errors);
    for (const settings::SettingError& error : errors)
        std::cerr << settings::settingErrorText(error) << "\n";
    if (!errors.empty())
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
    std::vector<settings::SettingError> errors;
    if (first == "serve" || first == "gateway")
        errors = settings::settingsFromEnvironment();
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty() || arguments[0] == "settings") {
        std::cout << settings::settingsTable();
        return 0;
    }
    if (arguments[0] == "serve")
        return serve(std::move(errors));
    if (arguments[0] == "gateway")
        return gateway(std::move(errors));
    return cli::adminClientRun(arguments);
}
