// Callers that nobody controls send chunked bodies under heads of legal size that hold many short headers, stop just
// before the end of the body and stay connected. The platform ends a process that exceeds the memory of its machine,
// and starts it again.
#include "Deployment.h"

using namespace review;

namespace {

constexpr int memoryMb = 182;       // of a machine of sites/msc-notices.toml
constexpr size_t crowdSize = 800;   // connections to each machine
constexpr size_t headBytes = 16000; // the configuration allows 16384
constexpr int waves = 4;
constexpr Millis waveTime { 9000 };

// A chunked body of 64 bytes in chunks of one byte, without its last chunk.
std::string crowdRequest(size_t number)
{
    std::string text = "POST /send/crowd HTTP/1.1\r\nHost: " + std::string(siteHost) + "\r\nRequest-Id: c"
        + std::to_string(number) + "\r\nAuthorization: Token " + siteKey + "\r\nTransfer-Encoding: chunked\r\n";
    while (text.size() + 7 < headBytes)
        text += "a:\r\n";
    text += "\r\n";
    for (int i = 0; i < 64; ++i)
        text += "1\r\nx\r\n";
    return text;
}

} // namespace

int main(int, char** arguments)
{
    Record record(std::string(arguments[1]) + "/record.txt");
    std::string directory = temporaryDirectory();
    Store store;
    store.put("op/config", configuration().dump());
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
        for (Gateway* gateway : gateways)
            callers.emplace_back([&, gateway] { callInTurn(*gateway, record, isStopped, answered, unanswered); });
        sleepFor(Millis(2000));
        for (int wave = 0; wave < waves; ++wave) {
            Clock::time_point endsAt = Clock::now() + waveTime;
            std::vector<std::unique_ptr<Connection>> crowd;
            for (Gateway* gateway : gateways) {
                for (size_t i = 0; hasTrouble() && i < crowdSize; ++i) {
                    auto connection = Connection::open(gateway->clientPort());
                    if (connection && connection->send(crowdRequest(i)))
                        crowd.push_back(std::move(connection));
                }
            }
            record.add("wave " + std::to_string(wave + 1) + ": " + std::to_string(crowd.size())
                + " connections of the crowd; memory " + std::to_string(first.residentBytes() >> 20) + " and "
                + std::to_string(second.residentBytes() >> 20) + " MB");
            std::this_thread::sleep_until(endsAt);
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
