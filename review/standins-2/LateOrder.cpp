// A replica leaves an order unanswered, crashes, and starts again under its id. The order reaches it then.
#include "EngineReplica.h"

using namespace review;

namespace {

constexpr Millis lateBy { 11000 };
constexpr Millis downFor { 4500 };

Request draft(const std::string& id, const std::string& model)
{
    Request request = siteRequest("POST", "/draft/notice", id, "prompt", 15000);
    request.headers.emplace_back("Model", model);
    request.headers.emplace_back("Token-Count", "60,40");
    request.headers.emplace_back("Prompt-Prefix", "5c1e07a2:40,e4402b7d:20");
    return request;
}

} // namespace

int main(int, char** arguments)
{
    Record record(std::string(arguments[1]) + "/record.txt");
    std::string directory = temporaryDirectory();
    Store store;
    EngineOptions options;
    options.id = "i-7f3a91c2";
    Json models = Json::array();
    for (const char* name : { "m1", "m2", "m3" }) {
        options.models[name] = { 72700, Millis(6000), Millis(840) };
        options.onDisk.insert(name);
        models.push_back({ { "name", name }, { "weightsMb", 72700 }, { "loadS", 6.0 }, { "adapters", 0 },
            { "adapterMb", 66 }, { "warmS", 0.4 }, { "diskS", 0.84 } });
    }
    options.loaded = { "m1" };
    options.eventGap = Millis(400);
    if (hasTrouble()) {
        options.lateModel = "m2";
        options.lateBy = lateBy;
    }
    store.put("op/config", configuration(models, options.weightsMb).dump());
    EngineReplica replica(options, store, record);
    replica.start();
    Gateway first("front-q1-1", store.port(), directory);
    Gateway second("front-q1-2", store.port(), directory);
    Gateway* gateways[] = { &first, &second };
    for (Gateway* gateway : gateways)
        gateway->start();
    for (Gateway* gateway : gateways) {
        if (!gateway->waitReady(Millis(15000)))
            finish(2);
    }
    sleepFor(Millis(4000)); // a new hub orders no unload before
    std::atomic<int> count = 0;
    std::vector<std::thread> callers;
    auto ask = [&](const std::string& model) {
        Gateway* gateway = gateways[count % 2];
        std::string id = "d" + std::to_string(++count);
        callers.emplace_back([&record, gateway, id, model] {
            record.add("sent " + id + " for " + model + " to " + gateway->name());
            Response response = call(gateway->clientPort(), draft(id, model), Millis(15000));
            record.add(id + " for " + model + ": "
                + (response.status ? "answered " + std::to_string(response.status) : "no complete answer"));
        });
    };
    // The model m2 is asked for: m1 has to go, and the order to load m2 is left unanswered.
    Clock::time_point giveUpAt = Clock::now() + Millis(12000);
    while (Clock::now() < giveUpAt && hasTrouble() && !replica.hasLateOrder()) {
        ask("m2");
        sleepFor(Millis(500));
    }
    if (hasTrouble() && !replica.hasLateOrder())
        finish(2);
    Clock::time_point lateAt = Clock::now() + lateBy;
    bool isUpAgain = false;
    sleepFor(Millis(1000));
    if (hasTrouble())
        replica.crash(true);
    Clock::time_point upAt = Clock::now() + downFor;
    // From now on only m3 is asked for.
    while (Clock::now() < lateAt + Millis(3000)) {
        if (hasTrouble() && Clock::now() >= upAt && !isUpAgain) {
            isUpAgain = true;
            replica.start();
        }
        ask("m3");
        sleepFor(Millis(400));
    }
    for (std::thread& caller : callers)
        caller.join();
    bool isBroken = replica.hasOverflown();
    record.add(isBroken ? "the rule was broken; " + std::to_string(replica.cutStreams()) + " answers were cut off by it"
                        : "the rule held");
    for (Gateway* gateway : gateways)
        gateway->stop();
    finish(isBroken ? 1 : 0);
}
