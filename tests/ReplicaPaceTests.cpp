// Replicas that state their pace: the estimates, the selection under changing speeds, and the header on the wire.
#include "ReplicaReplay.h"
#include "Support.h"
#include "platform/PlatformCodec.h"

using namespace rattanshunt;
using base::BootTime;
using base::Millis;
using lab::ReplicaReplay;
using lab::ReplicaReplayOptions;

// Guards against dropping the whole header, as with four figures before, and against taking over unreadable figures.
Test(replica_pace, a_load_header_has_three_or_four_figures)
{
    gateway::WireCodec codec = platform::wireCodecCreate();
    auto read = [&](const char* text) {
        net::HttpResponse response;
        response.headers = { { "Server-Load", text } };
        return codec.readResponseHead(response, "id").load;
    };
    cr_assert(read("3,1,8"));
    cr_expect_not(read("3,1,8")->pace);
    cr_assert(read("3,1,8,150"));
    cr_expect_eq(read("3,1,8,150")->pace, 1.5);
    cr_expect_eq(read("3,1,8,150")->running, 3);
    for (const char* text : { "", "3,1", "3,1,8,", "3,1,8,x", "3,1,8,0", "3,1,8,-5", "3,1,8,nan", "3,1,8,100,1" })
        cr_expect_not(read(text), "%s", text);
}

// Guards against trust in a figure that is long out of date.
Test(replica_pace, a_stated_pace_gives_way_to_the_mean_within_some_100_ms)
{
    pace::PaceOptions options;
    pace::PaceInputs inputs;
    inputs.load = 0.5;
    BootTime start { base::Seconds(100) };
    cr_expect_eq(pace::paceCost(inputs, start, options), 0, "no pace is stated");
    for (int i = 0; i < 100; ++i)
        pace::paceRecordStated(inputs.pace, 1, start + Millis(i), options);
    pace::paceRecordStated(inputs.pace, 2, start + Millis(100), options);
    double fresh = pace::expectedTimes(inputs, start + Millis(100), options).firstEvent;
    double old = pace::expectedTimes(inputs, start + Millis(400), options).firstEvent;
    cr_expect_float_eq(fresh, 2, 0.01);
    cr_expect_lt(old, 1.1);
    cr_expect_gt(pace::paceCost(inputs, start + Millis(100), options), 0.5);
}

// Guards against herding: daemons whose reports lag all chose the same replica, so that the busiest had several times
// the mean, and a few requests waited for seconds while other replicas were idle.
Test(replica_pace, many_daemons_with_the_same_reports_do_not_send_to_the_same_replica, .timeout = 60)
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        ReplicaReplayOptions options;
        options.seed = seed;
        options.header = ReplicaReplayOptions::Header::Dropped;
        auto before = ReplicaReplay(options).run();
        options.header = ReplicaReplayOptions::Header::WithPace;
        auto now = ReplicaReplay(options).run();
        cr_log_warn("seed %u: busiest/mean %.2f, before %.2f; p99 of the first event %.0f ms, before %.0f ms", seed,
            now.busiestToMean, before.busiestToMean, now.firstEventP99, before.firstEventP99);
        cr_expect_lt(now.busiestToMean, before.busiestToMean * 0.85);
        cr_expect_lt(now.firstEventP99, before.firstEventP99 * 0.5);
    }
}
