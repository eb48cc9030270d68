// Short soak runs with a fixed seed. Seeds that have failed are to be added here.
#include <filesystem>

#include "Soak.h"
#include "Support.h"

using namespace rattanshunt;

namespace {

void runSoak(uint64_t seed, base::Seconds length, bool hasOnlyUnreliableReplica = false)
{
    tests::runOnLoop([&](net::Loop& loop) {
        lab::SoakOptions options;
        options.seed = seed;
        options.faultDuration = length;
        if (hasOnlyUnreliableReplica) {
            options.plainReplicas = 0;
            options.engineReplicas = 0;
            options.injectsFaults = false;
            options.recoveryTime = base::Seconds(1);
        }
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

Test(soak, a_short_run_violates_no_guarantee, .timeout = 90)
{
    runSoak(1, base::Seconds(6));
}

// Its copies come late, also while the refused request is under way again on the same connection.
Test(soak, a_copy_of_a_refusal_is_not_taken_for_the_response_to_the_next_try, .timeout = 60)
{
    runSoak(1, base::Seconds(3), true);
}
