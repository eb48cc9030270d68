// A short soak with a fixed seed, and the seeds that ever failed.
#include <filesystem>

#include "Soak.h"
#include "Support.h"

using namespace rattanshunt;

namespace {

void soak(uint64_t seed, base::Seconds length)
{
    tests::onLoop([&](net::Loop& loop) {
        lab::SoakOptions options;
        options.seed = seed;
        options.faultDuration = length;
        options.daemons = 2;
        options.callers = 4;
        options.program = (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "rattanshunt").string();
        options.directory = "/tmp/rattanshunt-soak-test-" + std::to_string(getpid());
        lab::SoakResult result = lab::soakRun(loop, options);
        cr_assert(result.violations.empty(), "%s", lab::soakText(options, result).c_str());
        cr_assert_gt(result.served, 0);
        std::filesystem::remove_all(options.directory);
    });
}

} // namespace

Test(soak, a_short_one_keeps_the_promises, .timeout = 90)
{
    soak(1, base::Seconds(6));
}
