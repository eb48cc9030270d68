#include "Cases.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <set>

#include <boost/fiber/operations.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include "Callers.h"
#include "EngineReplica.h"
#include "Fleet.h"

namespace rattanshunt::review {

using Json = nlohmann::json;

namespace {

    constexpr base::Millis entryInterval { 1200 }; // between two entries of a replica, as in the settings

    // Prints the verdict and records it.
    int verdict(Record& record, bool isBroken, const std::string& text)
    {
        record.write((isBroken ? "RULE BROKEN: " : "the rule held: ") + text);
        std::cout << (isBroken ? "RULE BROKEN: " : "the rule held: ") << text << "\n";
        return isBroken ? ruleBroken : ruleHeld;
    }

    constexpr int maxLost = 3;           // LOST: more than three times
    constexpr int ownEndsPerMachine = 3; // Fault: three times
    constexpr int machinesWithEnds = 2;  // Fault: on a tenth of the machines, two at least

    // Requests from kept channels that ran at a replica, and whose channel was closed without an answer.
    int countLost(Record& record, const Callers& callers, const std::set<std::string>& executed)
    {
        int lost = 0;
        for (const auto& [id, request] : callers.sent()) {
            if (request.status || !request.isOnKeptConnection || !executed.contains(id))
                continue;
            ++lost;
            record.write(fmt::format(
                "request {} ran at a replica, and {} closed its channel without an answer", id, request.daemon));
        }
        return lost;
    }

    int countMachinesWithEnds(Record& record, Fleet& fleet)
    {
        int machines = 0;
        for (auto& daemon : fleet.daemons()) {
            record.write(fmt::format("process {} ended {} times by itself, its largest resident size was {} KB",
                daemon->name, daemon->ownEnds, daemon->peakKb));
            machines += daemon->ownEnds >= ownEndsPerMachine;
        }
        return machines;
    }

    std::string endsText(int lost, int machines, Fleet& fleet)
    {
        return fmt::format("{} requests from kept channels ran and their channels were closed without an answer "
                           "(allowed {}); on {} of {} machines the process ended by itself {} times or more",
            lost, maxLost, machines, fleet.daemons().size(), ownEndsPerMachine);
    }

    // Replicas with their entries in the store, which each writes again in every interval while it runs.
    struct Replicas {
        Replicas(net::Loop& eventLoop, lab::StoreStandIn& storeStandIn)
            : loop(eventLoop)
            , store(storeStandIn)
        {
        }

        lab::ReplicaStandIn& add(lab::ReplicaStandInOptions options)
        {
            std::string error;
            all.push_back(std::make_unique<lab::ReplicaStandIn>(loop, std::move(options)));
            lab::ReplicaStandIn& replica = *all.back();
            replica.listen(error);
            publish(replica);
            return replica;
        }

        void publish(lab::ReplicaStandIn& replica) { store.put("servers/" + replica.id(), replica.entry()); }

        void stop()
        {
            for (auto& replica : all)
                replica->stop();
        }

        net::Loop& loop;
        lab::StoreStandIn& store;
        std::vector<std::unique_ptr<lab::ReplicaStandIn>> all;
    };

    // ---- Case: an entry of another writer --------------------------------------------------

    // An entry in which the field `adapters` of a model has another type: arrays in arrays.
    std::string foreignEntry(int depth)
    {
        std::string nested
            = std::string(static_cast<size_t>(depth), '[') + std::string(static_cast<size_t>(depth), ']');
        return R"({"service":"plain","address":"127.0.0.1:1","zone":"zone-1","version":"v1","slots":8,"state":"ready",)"
               R"("coldLeftMs":0,"sequence":1,"born":1700000000000,"models":[{"name":"m1","version":1,"adapters":)"
            + nested + "}]}";
    }

    int runForeignEntry(net::Loop& loop, Record& record, bool hasTrouble)
    {
        constexpr int depth = 20000;
        Fleet fleet(loop, {}, record);
        if (!fleet.start())
            return cannotRun;
        fleet.store().put("op/config", lab::labConfiguration(1));
        Replicas replicas(loop, fleet.store());
        for (const char* id : { "i-1", "i-2" }) {
            lab::ReplicaStandInOptions options;
            options.id = id;
            options.processingTime = base::Millis(400);
            replicas.add(options);
        }
        if (!fleet.waitReady())
            return cannotRun;
        CallerOptions callerOptions;
        callerOptions.kinds = { { "safe", "" }, { "once", "" } };
        Callers callers(loop, fleet, record, callerOptions);
        callers.start();
        net::sleepFor(base::Seconds(6)); // the machines are in touch
        if (hasTrouble) {
            record.write(fmt::format("another writer writes servers/other, {} bytes", foreignEntry(depth).size()));
            fleet.store().put("servers/other", foreignEntry(depth));
        }
        net::sleepFor(base::Seconds(12));
        callers.stop();
        std::set<std::string> executed;
        for (auto& replica : replicas.all) {
            for (const lab::RequestExecution& execution : replica->history().executions)
                executed.insert(execution.requestId);
        }
        int lost = countLost(record, callers, executed);
        int machines = countMachinesWithEnds(record, fleet);
        fleet.stop();
        replicas.stop();
        return verdict(record, lost > maxLost || machines >= machinesWithEnds,
            fmt::format("{} requests sent, {} served; ", callers.sent().size(), callers.servedCount())
                + endsText(lost, machines, fleet));
    }

    // ---- Case: large requests ----------------------------------------------------------------

    // A plain replica that takes large bodies: lab::ReplicaStandIn accepts 1 MB.
    struct LargeBodyReplica {
        std::string id;
        base::Millis processingTime { 1000 };
        std::optional<net::HttpServerHandle> server;
        std::set<std::string> executed; // ids of requests

        bool listen(net::Loop& loop, size_t maxBodyBytes)
        {
            net::HttpServerEvents events;
            events.onRequest = [this](net::HttpExchange& exchange) {
                std::string requestId(net::httpHeader(exchange.request().headers, "Request-Id"));
                if (net::httpHeader(exchange.request().headers, "Expect-Instance") != id) {
                    exchange.respond({ 421, { { "Instance-Id", id } }, "" });
                    return;
                }
                executed.insert(requestId);
                net::sleepFor(processingTime);
                exchange.respond({ 200, { { "Request-Id", requestId }, { "Server-Seal", "seal" } }, "done" });
            };
            events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
            net::HttpServerLimits limits;
            limits.maxBodyBytes = maxBodyBytes;
            std::string error;
            server = net::httpServe(loop, { "127.0.0.1", 0 }, limits, std::move(events), error);
            return server.has_value();
        }

        std::string entry(int sequence) const
        {
            return Json {
                { "service", "plain" }, { "address", base::formatAddress(server->address) }, { "zone", "zone-1" },
                { "version", "v1" }, { "slots", 64 }, { "state", "ready" }, { "coldLeftMs", 0 },
                { "sequence", sequence }, { "born", 1700000000000 }
            }.dump();
        }
    };

    int runLargeRequests(net::Loop& loop, Record& record, bool hasTrouble)
    {
        constexpr int usualCallers = 3; // of each daemon
        constexpr int timesUsual = 7;   // hot_tenant
        constexpr size_t maxBodyBytes = 4194304;
        FleetOptions options;
        options.memoryLimitMb = 182; // limits.memoryMb
        Fleet fleet(loop, options, record);
        if (!fleet.start())
            return cannotRun;
        fleet.store().put("op/config", lab::labConfiguration(1));
        std::vector<LargeBodyReplica> replicas(2);
        for (size_t i = 0; i < replicas.size(); ++i) {
            replicas[i].id = fmt::format("i-{}", i + 1);
            replicas[i].listen(loop, maxBodyBytes);
            fleet.store().put("servers/" + replicas[i].id, replicas[i].entry(1));
        }
        if (!fleet.waitReady())
            return cannotRun;
        CallerOptions callerOptions;
        callerOptions.kinds = { { "safe", "" }, { "once", "" } };
        callerOptions.bodyBytes = maxBodyBytes - 1024;
        callerOptions.callersPerDaemon = usualCallers;
        Callers usual(loop, fleet, record, callerOptions);
        usual.start();
        net::sleepFor(base::Seconds(6));
        callerOptions.callersPerDaemon = usualCallers * (timesUsual - 1);
        callerOptions.idPrefix = "1111";
        Callers more(loop, fleet, record, callerOptions);
        if (hasTrouble)
            more.start();
        net::sleepFor(base::Millis(6500)); // hot_tenant
        more.stop();
        net::sleepFor(base::Seconds(3));
        usual.stop();
        std::set<std::string> executed;
        for (const LargeBodyReplica& replica : replicas)
            executed.insert(replica.executed.begin(), replica.executed.end());
        int lost = countLost(record, usual, executed) + countLost(record, more, executed);
        int machines = countMachinesWithEnds(record, fleet);
        fleet.stop();
        return verdict(record, lost > maxLost || machines >= machinesWithEnds,
            fmt::format("{} requests sent, {} served; ", usual.sent().size() + more.sent().size(),
                usual.servedCount() + more.servedCount())
                + endsText(lost, machines, fleet));
    }

    // ---- Case: a late order after a long restart ------------------------------------------------

    // The routes of lab::labConfiguration() before an engine with models and memory as in sachhem-core.
    std::string largeModelConfiguration(const std::map<std::string, double>& modelMb)
    {
        Json json = Json::parse(lab::labConfiguration(1));
        for (Json& service : json.at("services")) {
            if (!service.contains("engine"))
                continue;
            Json& engine = service.at("engine");
            engine["slots"] = 64;
            engine["kvCapacity"] = 232000;
            engine["weightsMb"] = 140000;
            engine["adapterSlots"] = 8;
            engine["loadsPerS"] = 4.2;
            engine["models"] = Json::array();
            for (const auto& [model, size] : modelMb)
                engine["models"].push_back({ { "name", model }, { "weightsMb", size }, { "loadS", 6 },
                    { "diskS", 0.84 }, { "warmS", 0.4 }, { "adapters", 0 }, { "adapterMb", 66 } });
        }
        for (Json& route : json.at("routes"))
            route["timeoutMs"] = 6000;
        return json.dump();
    }

    int runLateOrder(net::Loop& loop, Record& record, bool hasTrouble)
    {
        constexpr base::Millis lateDelay { 11500 }; // applied_late: 2 to 12 s
        constexpr int lateEveryNth = 2;             // a share of 0.5
        constexpr base::Millis downTime { 4500 };   // srv_crash
        std::map<std::string, double> modelMb;
        for (int i = 1; i <= 8; ++i)
            modelMb[fmt::format("m{}", i)] = 72700;
        Fleet fleet(loop, {}, record);
        if (!fleet.start())
            return cannotRun;
        fleet.store().put("op/config", largeModelConfiguration(modelMb));
        EngineReplicaOptions options;
        options.id = "i-1";
        options.modelMb = modelMb;
        options.loaded = { "m1" };
        EngineReplica replica(loop, fleet.store(), record, options);
        std::vector<std::unique_ptr<EngineReplica>> rest;
        CallerOptions otherOptions;
        otherOptions.idPrefix = "2222";
        otherOptions.callersPerDaemon = 5;
        for (const char* model : { "m4", "m5", "m6", "m7", "m8" }) {
            options.id = fmt::format("i-1{}", model);
            options.loaded = { model };
            rest.push_back(std::make_unique<EngineReplica>(loop, fleet.store(), record, options));
            if (!rest.back()->start())
                return cannotRun;
            otherOptions.kinds.emplace_back("stream", model);
        }
        if (!replica.start() || !fleet.waitReady())
            return cannotRun;
        Callers others(loop, fleet, record, otherOptions); // the models of the other replicas are in use
        others.start();
        net::sleepFor(base::Seconds(4));
        CallerOptions second;
        second.callersPerDaemon = 1;
        second.kinds = { { "stream", "m2" } };
        Callers askSecond(loop, fleet, record, second);
        if (hasTrouble)
            replica.setLate(lateEveryNth, lateDelay);
        askSecond.start();
        for (int i = 0; i < 300 && !replica.holds("m2"); ++i)
            net::sleepFor(base::Millis(20));
        bool isLoaded = replica.holds("m2");
        replica.setLate(0, lateDelay);
        askSecond.stop();
        replica.crash();
        net::sleepFor(downTime);
        replica.restart();
        CallerOptions third;
        third.callersPerDaemon = 1;
        third.idPrefix = "1111";
        third.kinds = { { "stream", "m3" } };
        Callers askThird(loop, fleet, record, third);
        askThird.start();
        net::sleepFor(base::Seconds(12));
        askThird.stop();
        others.stop();
        int orders = replica.orderCount();
        int unanswered = replica.unansweredCount();
        bool isOvercommitted = replica.wasOvercommitted();
        fleet.stop();
        if (!isLoaded || (hasTrouble && !unanswered))
            return cannotRun;
        return verdict(record, isOvercommitted,
            fmt::format(
                "{} orders, {} unanswered; the replica was {}ordered to load more than it holds; {} requests for "
                "m3 sent, {} served",
                orders, unanswered, isOvercommitted ? "" : "not ", askThird.sent().size(), askThird.servedCount()));
    }

    // ---- Case: streams that are taken up while their model is missing ---------------------------

    // A client's stream over all its tries.
    struct TakenUpStream {
        std::string id;
        std::set<std::string> versions; // of the replicas' software, of all its events
        int lastEvent = 0;
        int status = 0; // of the last try
    };

    // One try; false if the channel ended before the stream did.
    bool readStream(net::Loop& loop, const base::Address& daemon, TakenUpStream& stream, bool isTakeUp, Record& record)
    {
        constexpr base::Seconds timeLimit { 15 };
        std::string id = stream.id + (isTakeUp ? "2" : "1");
        net::HttpRequest call = lab::labRequest("/stream/", id, "m1");
        for (net::HttpHeader& header : call.headers) {
            if (header.name == "Deadline-Ms")
                header.value = isTakeUp ? "10000" : "15000";
        }
        if (isTakeUp) {
            call.headers.push_back({ "Last-Event-Id", std::to_string(stream.lastEvent) });
            call.headers.push_back({ "Resumes", stream.id + "1" });
        }
        auto connection = net::HttpConnection::create(loop, daemon);
        base::TimePoint deadline = base::Clock::now() + timeLimit;
        net::HttpResponse response;
        stream.status = 0;
        bool isEnd = false;
        std::string text;
        if (connection->connect(deadline) == net::HttpCallError::None
            && connection->send(call, deadline) == net::HttpCallError::None
            && connection->readHead(response, deadline) == net::HttpCallError::None) {
            stream.status = response.status;
            while (!isEnd && connection->readSome(text, isEnd, deadline) == net::HttpCallError::None) { }
        }
        std::string versions;
        for (size_t at = text.find("id: "); response.status == 200 && at != std::string::npos;
             at = text.find("id: ", at + 1)) {
            size_t data = text.find("data: ", at);
            size_t end = text.find("\n\n", at);
            if (data == std::string::npos || end == std::string::npos)
                break;
            stream.lastEvent = std::stoi(text.substr(at + 4));
            std::string version = text.substr(data + 6, text.find(' ', data + 6) - data - 6);
            stream.versions.insert(version);
            versions += version + " ";
        }
        record.write(fmt::format("request {}{} at {}: status {}, {}, events of versions {}up to event {}", id,
            isTakeUp ? " takes up " + stream.id + "1" : "", base::formatAddress(daemon), stream.status,
            isEnd ? "whole" : "broken off", versions, stream.lastEvent));
        return isEnd && response.status == 200;
    }

    int runTakeUp(net::Loop& loop, Record& record, bool hasTrouble)
    {
        constexpr int streams = 8;
        constexpr int maxMixed = 2;              // ORDER: more than two streams
        constexpr base::Millis downTime { 600 }; // srv_crash
        const std::map<std::string, double> modelMb { { "m1", 72700 }, { "m2", 72700 }, { "m3", 72700 },
            { "m4", 72700 } };
        Fleet fleet(loop, {}, record);
        if (!fleet.start())
            return cannotRun;
        Json configuration = Json::parse(largeModelConfiguration(modelMb));
        for (Json& route : configuration.at("routes")) {
            route["timeoutMs"] = 15000;
            route["targetLatencyMs"] = 600;
            route["maxAttempts"] = 1;
            if (route.contains("targetGapMs"))
                route["targetGapMs"] = 600;
        }
        fleet.store().put("op/config", configuration.dump());
        EngineReplicaOptions options;
        options.modelMb = modelMb;
        options.events = 40;
        options.timePerEvent = base::Millis(100);
        options.id = "i-1";
        options.loaded = { "m1" };
        EngineReplica first(loop, fleet.store(), record, options);
        std::vector<std::unique_ptr<EngineReplica>> rest;
        for (const char* model : { "m2", "m3", "m4" }) {
            options.id = fmt::format("i-1{}", model);
            options.loaded = { model };
            rest.push_back(std::make_unique<EngineReplica>(loop, fleet.store(), record, options));
            if (!rest.back()->start())
                return cannotRun;
        }
        if (!first.start() || !fleet.waitReady())
            return cannotRun;
        net::sleepFor(base::Seconds(4));
        Daemon* hub = fleet.hub();
        std::vector<Daemon*> members;
        for (auto& daemon : fleet.daemons()) {
            if (daemon.get() != hub)
                members.push_back(daemon.get());
        }
        if (!hub || members.size() < 2)
            return cannotRun;
        // The other models are in use, so the hub has no reason to unload them.
        CallerOptions otherOptions;
        otherOptions.callersPerDaemon = 3;
        otherOptions.idPrefix = "2222";
        otherOptions.kinds = { { "stream", "m2" }, { "stream", "m3" }, { "stream", "m4" } };
        Callers others(loop, fleet, record, otherOptions);
        others.start();
        net::sleepFor(base::Seconds(2));
        std::vector<TakenUpStream> all(streams);
        int running = streams;
        for (int i = 0; i < streams; ++i) {
            all[static_cast<size_t>(i)].id = fmt::format("{:015x}", i + 1);
            loop.spawn([&, &stream = all[static_cast<size_t>(i)]] {
                // Retries reach other daemons.
                if (!readStream(loop, members[0]->clientAddress, stream, false, record) && stream.lastEvent)
                    readStream(loop, members[1]->clientAddress, stream, true, record);
                --running;
            });
        }
        net::sleepFor(base::Millis(1500));
        if (hasTrouble) {
            first.crash();
            net::sleepFor(downTime);
            first.restartAs("i-3", "v2");
        }
        while (running)
            net::sleepFor(base::Millis(20));
        others.stop();
        int mixed = 0;
        int begun = 0;
        for (const TakenUpStream& stream : all) {
            mixed += stream.versions.size() > 1;
            begun += stream.lastEvent > 0;
        }
        fleet.stop();
        if (begun < streams)
            return cannotRun;
        return verdict(record, mixed > maxMixed,
            fmt::format("{} of {} streams hold events of replicas of two software versions (allowed {})", mixed,
                streams, maxMixed));
    }

    // ---- Case: a crashing part far back in a long prompt ----------------------------------------

    // A prompt of `count` parts that no other request has, the last one included.
    std::vector<std::string> newParts(int count, int request)
    {
        std::vector<std::string> parts;
        for (int i = 0; i < count; ++i)
            parts.push_back(fmt::format("{:04x}{:04x}:60", request, i));
        return parts;
    }

    constexpr const char* crashingPart = "bad00bad";
    constexpr base::Millis contactTime { 3000 };
    constexpr size_t crashesBefore = 5; // BUDGET: later than contactMs after the fifth crash
    constexpr int maxArrivals = 3;      // BUDGET: more than three requests

    // Six replicas that hold m1, crash on the part and are back 3 s later, empty, under another identifier.
    void addCrashingReplicas(net::Loop& loop, Fleet& fleet, Replicas& replicas)
    {
        for (int i = 1; i <= 6; ++i) {
            lab::ReplicaStandInOptions options;
            options.id = fmt::format("i-{}", i);
            options.service = "engine";
            options.isEngine = true;
            options.batchSlots = 64;
            options.modelSizesMb = { { "m1", 40 }, { "m2", 40 }, { "m3", 40 } };
            options.loadedModels = { "m1" };
            options.restartDelay = base::Millis(3000);
            options.processingTime = base::Millis(60);
            options.eventsPerStream = 12;
            lab::ReplicaStandIn& replica = replicas.add(options);
            replica.faults().crashingParts = { crashingPart };
            replica.faults().eventsBeforeCrash = 1;
            replica.setOnStarted([&replicas, &replica, &fleet, &loop, old = std::make_shared<std::string>(options.id)] {
                loop.spawn([&fleet, id = *old] { // three intervals of silence, less the time until the new start
                    net::sleepFor(base::Millis(600));
                    fleet.store().remove("servers/" + id);
                });
                *old = replica.id();
                replicas.publish(replica);
            });
        }
    }

    struct CrashCount {
        size_t crashes = 0;
        int late = 0; // arrivals later than contactMs after the fifth crash
        base::TimePoint fifth = base::timeNever;
    };

    CrashCount countCrashes(const Replicas& replicas, Record& record, base::TimePoint startedAt)
    {
        std::vector<base::TimePoint> crashes;
        std::vector<base::TimePoint> arrivals;
        for (const auto& replica : replicas.all) {
            for (const lab::PartEvent& crash : replica->history().crashes)
                crashes.push_back(crash.at);
            for (const lab::PartEvent& arrival : replica->history().crashingArrivals)
                arrivals.push_back(arrival.at);
        }
        std::sort(crashes.begin(), crashes.end());
        std::sort(arrivals.begin(), arrivals.end());
        for (base::TimePoint crash : crashes)
            record.write(fmt::format("a replica crashed at {:.3f}", base::secondsOf(crash - startedAt)));
        for (base::TimePoint arrival : arrivals)
            record.write(fmt::format(
                "a request with the crashing part reached a replica at {:.3f}", base::secondsOf(arrival - startedAt)));
        CrashCount count;
        count.crashes = crashes.size();
        if (crashes.size() < crashesBefore)
            return count;
        count.fifth = crashes[crashesBefore - 1];
        count.late = static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(),
            [&](base::TimePoint arrival) { return arrival > count.fifth + contactTime; }));
        return count;
    }

    int runLongPrompt(net::Loop& loop, Record& record, bool hasTrouble, size_t crashingPosition)
    {
        constexpr int partCount = 40;
        constexpr int minSound = 20; // LOST: 20 or more of each
        Fleet fleet(loop, {}, record);
        if (!fleet.start())
            return cannotRun;
        fleet.store().put("op/config", lab::labConfiguration(1));
        Replicas replicas(loop, fleet.store());
        base::TimePoint startedAt = base::Clock::now();
        addCrashingReplicas(loop, fleet, replicas);
        if (!fleet.waitReady())
            return cannotRun;
        net::sleepFor(base::Seconds(4));
        // Sound requests, in and outside the disturbance, and how many of them began.
        struct SoundRequest {
            base::TimePoint sentAt {};
            bool isOutside = false;
            bool hasBegun = false;
        };
        std::vector<SoundRequest> sound;
        int underWay = 0;
        auto send = [&](int number, bool isCrashing, bool isOutside, Daemon& daemon) {
            ++underWay;
            size_t index = sound.size();
            if (!isCrashing)
                sound.push_back({ base::Clock::now(), isOutside, false });
            loop.spawn([&, number, isCrashing, index] {
                std::vector<std::string> parts = newParts(partCount, number);
                if (isCrashing)
                    parts[crashingPosition - 1] = std::string(crashingPart) + ":60";
                std::string id = fmt::format("{:012x}{}", number, isCrashing ? "cccc" : "0000");
                auto connection = net::HttpConnection::create(loop, daemon.clientAddress);
                auto result = net::httpCall(*connection,
                    lab::labRequest("/stream/", id, "m1", "secret-1", fmt::format("{}", fmt::join(parts, ","))),
                    base::Clock::now() + base::Seconds(6));
                // The gateway sends the head of a stream with its first event.
                bool hasBegun = result.response.status == 200 && !result.response.headers.empty();
                if (!isCrashing)
                    sound[index].hasBegun = hasBegun;
                record.write(fmt::format("request {} at {}{}: {}, {}", id, daemon.name,
                    isCrashing ? " with the crashing part" : "", hasBegun ? "begun" : "not begun",
                    result.error == net::HttpCallError::None ? fmt::format("status {}", result.response.status)
                                                             : net::httpCallErrorName(result.error)));
                --underWay;
            });
        };
        auto& daemons = fleet.daemons();
        int number = 0;
        for (int i = 0; i < 30; ++i) {
            send(++number, false, true, *daemons[static_cast<size_t>(i) % daemons.size()]);
            net::sleepFor(base::Millis(100));
        }
        for (int i = 0; i < 50; ++i) {
            ++number;
            if (hasTrouble)
                send(number, true, false, *daemons[static_cast<size_t>(i) % daemons.size()]);
            // A sound request with the same caller and the same other parts, at another machine.
            send(number, false, false, *daemons[static_cast<size_t>(i + 1) % daemons.size()]);
            net::sleepFor(base::Millis(600));
        }
        while (underWay)
            net::sleepFor(base::Millis(20));
        CrashCount count = countCrashes(replicas, record, startedAt);
        int outside = 0;
        int outsideBegun = 0;
        int inside = 0;
        int insideBegun = 0;
        for (const SoundRequest& request : sound) {
            if (request.isOutside) {
                ++outside;
                outsideBegun += request.hasBegun;
            } else if (count.crashes >= crashesBefore && request.sentAt > count.fifth + 2 * contactTime) {
                ++inside;
                insideBegun += request.hasBegun;
            }
        }
        fleet.stop();
        replicas.stop();
        bool isLost = inside >= minSound && outside >= minSound && 2 * insideBegun * outside < outsideBegun * inside;
        return verdict(record, count.late > maxArrivals || isLost,
            fmt::format(
                "{} crashes; BUDGET: {} requests with the part reached replicas later than 3 s after the fifth "
                "(allowed {}); LOST: of the sound requests {} of {} began outside the disturbance, {} of {} from "
                "6 s after the fifth crash",
                count.crashes, count.late, maxArrivals, outsideBegun, outside, insideBegun, inside));
    }

    // ---- Case: requests with a crashing part that come at once ---------------------------------

    int runCrashBurst(net::Loop& loop, Record& record, bool hasTrouble)
    {
        constexpr int partCount = 10;
        constexpr int requestsAtOnce = 6;
        constexpr int bursts = 4;
        constexpr base::Millis gap { 5000 }; // between two bursts
        Fleet fleet(loop, {}, record);
        if (!fleet.start())
            return cannotRun;
        fleet.store().put("op/config", lab::labConfiguration(1));
        Replicas replicas(loop, fleet.store());
        base::TimePoint startedAt = base::Clock::now();
        addCrashingReplicas(loop, fleet, replicas);
        if (!fleet.waitReady())
            return cannotRun;
        net::sleepFor(base::Seconds(4));
        int underWay = 0;
        int number = 0;
        auto& daemons = fleet.daemons();
        auto send = [&](bool isCrashing) {
            ++number;
            ++underWay;
            Daemon& daemon = *daemons[static_cast<size_t>(number) % daemons.size()];
            loop.spawn([&, number = number, isCrashing, &daemon = daemon] {
                std::vector<std::string> parts = newParts(partCount, number);
                if (isCrashing)
                    parts[1] = std::string(crashingPart) + ":60";
                std::string id = fmt::format("{:012x}{}", number, isCrashing ? "cccc" : "0000");
                auto connection = net::HttpConnection::create(loop, daemon.clientAddress);
                auto result = net::httpCall(*connection,
                    lab::labRequest("/stream/", id, "m1", "secret-1", fmt::format("{}", fmt::join(parts, ","))),
                    base::Clock::now() + base::Seconds(6));
                record.write(
                    fmt::format("request {} at {}{}: {}", id, daemon.name, isCrashing ? " with the crashing part" : "",
                        result.error == net::HttpCallError::None ? fmt::format("status {}", result.response.status)
                                                                 : net::httpCallErrorName(result.error)));
                --underWay;
            });
        };
        for (int burst = 0; burst < bursts; ++burst) {
            for (int i = 0; i < requestsAtOnce; ++i)
                send(hasTrouble);
            net::sleepFor(gap);
        }
        while (underWay)
            net::sleepFor(base::Millis(20));
        CrashCount count = countCrashes(replicas, record, startedAt);
        fleet.stop();
        replicas.stop();
        return verdict(record, count.late > maxArrivals,
            fmt::format(
                "{} crashes; {} requests with the part reached replicas later than 3 s after the fifth (allowed "
                "{})",
                count.crashes, count.late, maxArrivals));
    }

    // ---- Case: all machines are killed while two versions serve -----------------------------------

    int runKillAll(net::Loop& loop, Record& record, bool hasTrouble)
    {
        constexpr base::Millis interval { 25 };        // between two new streams
        constexpr base::Seconds steadyTime { 8 };      // before the kill
        constexpr base::Millis comeBackAfter { 4500 }; // more than contactMs after the new starts
        constexpr int minTakenUp = 12;                 // LOST: 12 or more streams
        Fleet fleet(loop, {}, record);
        if (!fleet.start())
            return cannotRun;
        fleet.store().put("op/config", lab::labConfiguration(1));
        Replicas replicas(loop, fleet.store());
        for (int i = 1; i <= 4; ++i) {
            lab::ReplicaStandInOptions options;
            options.id = fmt::format("i-{}", i);
            options.service = "engine";
            options.version = i <= 2 ? "v1" : "v2";
            options.isEngine = true;
            options.batchSlots = 64;
            options.modelSizesMb = { { "m1", 40 }, { "m2", 40 }, { "m3", 40 } };
            options.loadedModels = { "m1" };
            options.processingTime = base::Millis(40);
            options.eventsPerStream = 13; // as the sheets say
            replicas.add(options);
        }
        if (!fleet.waitReady())
            return cannotRun;
        net::sleepFor(base::Seconds(4));
        int underWay = 0;
        int number = 0;
        int broken = 0;
        int goneOn = 0;
        int newStreams = 0;
        int newBegun = 0;
        auto& daemons = fleet.daemons();
        base::TimePoint killedAt = base::timeNever;
        auto call = [&](Daemon& daemon, const std::string& id, int lastEvent, const std::string& resumes, int& status) {
            net::HttpRequest request = lab::labRequest("/stream/", id, "m1");
            if (lastEvent) {
                request.headers.push_back({ "Last-Event-Id", std::to_string(lastEvent) });
                request.headers.push_back({ "Resumes", resumes });
            }
            auto connection = net::HttpConnection::create(loop, daemon.clientAddress);
            base::TimePoint deadline = base::Clock::now() + base::Seconds(6);
            net::HttpResponse response;
            std::string text;
            bool isEnd = false;
            if (connection->connect(deadline) == net::HttpCallError::None
                && connection->send(request, deadline) == net::HttpCallError::None
                && connection->readHead(response, deadline) == net::HttpCallError::None) {
                status = response.status;
                while (!isEnd && connection->readSome(text, isEnd, deadline) == net::HttpCallError::None) { }
            }
            size_t last = text.rfind("id: ");
            int event = status == 200 && last != std::string::npos ? std::stoi(text.substr(last + 4)) : 0;
            return std::pair(isEnd && status == 200, event);
        };
        auto sendStream = [&](bool isAfter) {
            ++number;
            ++underWay;
            size_t at = static_cast<size_t>(number) % daemons.size();
            loop.spawn([&, number = number, at, isAfter] {
                std::string id = fmt::format("{:015x}1", number);
                int status = 0;
                auto [isWhole, event] = call(*daemons[at], id, 0, "", status);
                newStreams += isAfter;
                newBegun += isAfter && event > 0;
                if (!isWhole && event > 0 && killedAt != base::timeNever) {
                    base::TimePoint comesBackAt = killedAt + comeBackAfter;
                    while (base::Clock::now() < comesBackAt)
                        net::sleepFor(base::Millis(20));
                    ++broken;
                    std::string next = fmt::format("{:015x}2", number);
                    auto [isWholeNow, lastNow] = call(*daemons[(at + 1) % daemons.size()], next, event, id, status);
                    goneOn += isWholeNow || lastNow > event;
                    record.write(
                        fmt::format("stream {} was broken off after event {}; taken up at {}: status {}, {}", id, event,
                            daemons[(at + 1) % daemons.size()]->name, status, isWholeNow ? "whole" : "not gone on"));
                }
                --underWay;
            });
        };
        base::TimePoint steadyUntil = base::Clock::now() + steadyTime;
        while (base::Clock::now() < steadyUntil) {
            sendStream(false);
            net::sleepFor(interval);
        }
        if (hasTrouble) {
            killedAt = base::Clock::now();
            for (auto& daemon : daemons)
                fleet.kill(*daemon, SIGKILL);
        }
        net::sleepFor(comeBackAfter - base::Millis(100));
        for (int i = 0; i < 40; ++i) {
            sendStream(true);
            net::sleepFor(interval);
        }
        while (underWay)
            net::sleepFor(base::Millis(20));
        fleet.stop();
        replicas.stop();
        if (hasTrouble && broken < minTakenUp)
            return cannotRun;
        bool isLost = broken >= minTakenUp && 2 * goneOn * newStreams < newBegun * broken;
        return verdict(record, isLost,
            fmt::format("{} of {} streams that were taken up went on; {} of {} new streams began meanwhile", goneOn,
                broken, newBegun, newStreams));
    }

    // ---- Trial: the same crashing request at several machines at once -------------------------------

    int runCrashRequest(net::Loop& loop, Record& record, bool hasTrouble)
    {
        constexpr const char* body = "a request that crashes its replica";
        constexpr int requestsAtOnce = 6;
        constexpr int bursts = 4;
        constexpr base::Millis gap { 5000 };
        constexpr size_t crashesBeforeRetries = 3; // BUDGET: after it has crashed the third
        Fleet fleet(loop, {}, record);
        if (!fleet.start())
            return cannotRun;
        fleet.store().put("op/config", lab::labConfiguration(1));
        Replicas replicas(loop, fleet.store());
        for (int i = 1; i <= 8; ++i) {
            lab::ReplicaStandInOptions options;
            options.id = fmt::format("i-{}", i);
            options.restartDelay = base::Millis(3000);
            options.processingTime = base::Millis(30);
            lab::ReplicaStandIn& replica = replicas.add(options);
            replica.faults().crashingBodies = { body };
            replica.setOnStarted([&replicas, &replica, &fleet, old = std::make_shared<std::string>(options.id)] {
                fleet.store().remove("servers/" + *old);
                *old = replica.id();
                replicas.publish(replica);
            });
        }
        if (!fleet.waitReady())
            return cannotRun;
        net::sleepFor(base::Seconds(4));
        int underWay = 0;
        int number = 0;
        auto& daemons = fleet.daemons();
        for (int burst = 0; burst < bursts; ++burst) {
            for (int i = 0; i < requestsAtOnce; ++i) {
                ++underWay;
                loop.spawn([&, number = ++number] {
                    net::HttpRequest call = lab::labRequest("/safe/", fmt::format("{:016x}", number), "");
                    if (hasTrouble)
                        call.body = body;
                    auto connection = net::HttpConnection::create(
                        loop, daemons[static_cast<size_t>(number) % daemons.size()]->clientAddress);
                    net::httpCall(*connection, call, base::Clock::now() + base::Seconds(6));
                    --underWay;
                });
            }
            net::sleepFor(gap);
        }
        while (underWay)
            net::sleepFor(base::Millis(20));
        std::vector<base::TimePoint> crashes;
        std::vector<base::TimePoint> arrivals;
        for (const auto& replica : replicas.all) {
            for (const lab::PartEvent& crash : replica->history().crashes)
                crashes.push_back(crash.at);
            for (const lab::PartEvent& arrival : replica->history().crashingArrivals)
                arrivals.push_back(arrival.at);
        }
        std::sort(crashes.begin(), crashes.end());
        bool isSeen = crashes.size() >= crashesBeforeRetries;
        auto late = std::count_if(arrivals.begin(), arrivals.end(), [&](base::TimePoint arrival) {
            return isSeen && arrival > crashes[crashesBeforeRetries - 1] + contactTime;
        });
        fleet.stop();
        replicas.stop();
        return verdict(record, late > maxArrivals,
            fmt::format("{} crashes, {} arrivals; {} later than 3 s after the third crash (allowed {})", crashes.size(),
                arrivals.size(), late, maxArrivals));
    }

    // ---- Trial: timers on a loop that is never idle --------------------------------------------------

    int runBusyLoop(net::Loop& loop, Record& record)
    {
        constexpr int maxMillis = 200;
        bool isOver = false;
        for (int i = 0; i < 20; ++i) {
            loop.spawn([&] {
                while (!isOver)
                    boost::this_fiber::yield();
            });
        }
        long long longest = 0;
        for (int i = 0; i < 10; ++i) {
            base::TimePoint begunAt = base::Clock::now();
            net::sleepFor(base::Millis(50));
            longest = std::max(longest, base::millisOf(base::Clock::now() - begunAt));
        }
        isOver = true;
        return verdict(
            record, longest > maxMillis, fmt::format("the longest of 10 waits of 50 ms took {} ms", longest));
    }

} // namespace

int runCase(net::Loop& loop, const std::string& name, const std::string& recordPath, bool hasTrouble)
{
    Record record(recordPath);
    if (name == "foreign-entry")
        return runForeignEntry(loop, record, hasTrouble);
    if (name == "long-prompt")
        return runLongPrompt(loop, record, hasTrouble, 36);
    if (name == "long-prompt-control") // the same part at a place where it is found
        return runLongPrompt(loop, record, hasTrouble, 6);
    if (name == "kill-all")
        return runKillAll(loop, record, hasTrouble);
    if (name == "crash-request")
        return runCrashRequest(loop, record, hasTrouble);
    if (name == "busy-loop")
        return runBusyLoop(loop, record);
    if (name == "crash-burst")
        return runCrashBurst(loop, record, hasTrouble);
    if (name == "take-up")
        return runTakeUp(loop, record, hasTrouble);
    if (name == "late-order")
        return runLateOrder(loop, record, hasTrouble);
    if (name == "large-requests")
        return runLargeRequests(loop, record, hasTrouble);
    return cannotRun;
}

} // namespace rattanshunt::review
