// A tenant inside its usage cap asks for models that do not exist, each by another long name.
#include "Deployment.h"

using namespace review;

namespace {

constexpr int memoryMb = 182;          // of a machine of sites/msc-notices.toml
constexpr size_t nameBytes = 15500;    // the configuration allows heads of 16384 bytes
constexpr int requestsPerSecond = 130; // to each machine, of 200 tokens; the tenant has 61041 tokens a second
constexpr Millis duration { 80000 };
constexpr size_t connections = 480; // to each machine; a model that is not loaded is waited for
constexpr Millis interval { connections * 1000 / requestsPerSecond }; // between two requests on one connection

std::string nameOf(size_t number)
{
    return "m" + std::to_string(number) + std::string(nameBytes, 'x');
}

// Sends requests at a steady rate, on connections that are kept.
void askOn(Gateway& gateway, Record& record, const std::atomic<bool>& isStopped)
{
    std::atomic<int> sent = 0;
    std::map<int, int> answers;
    std::mutex mutex;
    std::vector<std::thread> threads;
    for (size_t i = 0; i < connections; ++i) {
        threads.emplace_back([&, i] {
            std::unique_ptr<Connection> connection;
            Clock::time_point nextAt = Clock::now() + interval * i / connections;
            while (!isStopped) {
                std::this_thread::sleep_until(nextAt);
                nextAt = std::max(nextAt + interval, Clock::now());
                if (!connection)
                    connection = Connection::open(gateway.clientPort());
                size_t number = static_cast<size_t>(++sent);
                std::string text = "POST /draft/x HTTP/1.1\r\nHost: " + std::string(siteHost)
                    + "\r\nRequest-Id: " + gateway.name() + "-n" + std::to_string(number) + "\r\nAuthorization: Token "
                    + siteKey + "\r\nDeadline-Ms: 6000\r\nToken-Count: 100,100\r\nModel: " + nameOf(number)
                    + "\r\nContent-Length: 0\r\n\r\n";
                Response response;
                bool isAnswered
                    = connection && connection->send(text) && connection->readResponse(response, Millis(8000));
                if (!isAnswered || headerOf(response.headers, "Connection") == "close")
                    connection.reset();
                std::lock_guard lock(mutex);
                ++answers[isAnswered ? response.status : 0];
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    for (auto [status, count] : answers)
        record.add("asked " + gateway.name() + " for unknown models: " + std::to_string(count) + " times answered "
            + std::to_string(status));
}

} // namespace

int main(int, char** arguments)
{
    Record record(std::string(arguments[1]) + "/record.txt");
    std::string directory = temporaryDirectory();
    Store store;
    Json models
        = { { { "name", "m0" }, { "weightsMb", 65100 }, { "loadS", 6 }, { "adapters", 4 }, { "adapterMb", 12 } } };
    store.put("op/config", configuration(models).dump());
    PlainReplica replica("i-7f3a91c2", store, record);
    Gateway first("front-port-louis-1", store.port(), directory, memoryMb);
    Gateway second("front-port-louis-2", store.port(), directory, memoryMb);
    Gateway* gateways[] = { &first, &second };
    for (Gateway* gateway : gateways)
        gateway->start();
    for (Gateway* gateway : gateways) {
        if (!gateway->waitReady(Millis(15000)))
            finish(2);
    }
    std::atomic<bool> isStopped = false;
    std::atomic<int> answered = 0;
    std::atomic<int> unanswered = 0;
    int ends[2] = { 0, 0 };
    {
        Machine machines[] = { { first, record, memoryMb }, { second, record, memoryMb } };
        std::vector<std::thread> callers;
        for (Gateway* gateway : gateways) {
            callers.emplace_back([&, gateway] { callInTurn(*gateway, record, isStopped, answered, unanswered); });
            if (hasTrouble())
                callers.emplace_back([&, gateway] { askOn(*gateway, record, isStopped); });
        }
        Clock::time_point endsAt = Clock::now() + duration;
        while (Clock::now() < endsAt && (machines[0].ends() < 3 || machines[1].ends() < 3)) {
            sleepFor(Millis(1000));
            record.add("memory " + std::to_string(first.residentBytes() >> 20) + " and "
                + std::to_string(second.residentBytes() >> 20) + " MB");
        }
        isStopped = true;
        for (std::thread& caller : callers)
            caller.join();
        for (size_t i = 0; i < 2; ++i) {
            ends[i] = machines[i].ends();
            record.add(gateways[i]->name() + ": ended " + std::to_string(ends[i]) + " times, peak "
                + std::to_string(machines[i].peakBytes() >> 20) + " MB of " + std::to_string(memoryMb));
        }
    }
    record.add("ordinary requests: " + std::to_string(answered) + " answered, " + std::to_string(unanswered)
        + " without an answer");
    for (Gateway* gateway : gateways)
        gateway->stop();
    bool isBroken = ends[0] >= 3 && ends[1] >= 3;
    record.add(
        isBroken ? "BROKEN Fault: on two machines of two, processes ended three times by themselves" : "the rule held");
    finish(isBroken ? 1 : 0);
}
