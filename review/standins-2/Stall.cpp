// Callers that nobody controls send small chunked bodies, stop just before their end and stay connected. A caller whose
// connection is closed comes back at once.
#include "Deployment.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace review;

namespace {

constexpr size_t crowdSize = 1800;
constexpr int clients = 10;
constexpr Millis contactTime { 3000 }; // contactMs of sites/msc-notices.toml
constexpr Millis calmTime { 4000 };
constexpr Millis crowdTime { 15000 };

int openSocket(uint16_t port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (fd >= 0 && connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        close(fd);
        fd = -1;
    }
    return fd;
}

std::string crowdRequest()
{
    return "POST /send/crowd HTTP/1.1\r\nHost: " + std::string(siteHost) + "\r\nRequest-Id: c1\r\nAuthorization: Token "
        + siteKey + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwait\r\n";
}

// Keeps the crowd connected until `endsAt`. Returns how many connections there were at most.
size_t stayConnected(uint16_t port, Clock::time_point endsAt)
{
    std::vector<pollfd> sockets(crowdSize, { -1, POLLIN, 0 });
    std::string request = crowdRequest();
    size_t most = 0;
    while (Clock::now() < endsAt) {
        size_t connected = 0;
        for (pollfd& each : sockets) {
            if (each.fd < 0) {
                each.fd = openSocket(port);
                if (each.fd >= 0)
                    send(each.fd, request.data(), request.size(), MSG_NOSIGNAL);
            }
            connected += each.fd >= 0;
        }
        most = std::max(most, connected);
        poll(sockets.data(), sockets.size(), 20);
        for (pollfd& each : sockets) {
            // Answered or closed.
            if (each.fd >= 0 && each.revents) {
                close(each.fd);
                each.fd = -1;
            }
        }
    }
    for (pollfd& each : sockets) {
        if (each.fd >= 0)
            close(each.fd);
    }
    return most;
}

// What one ordinary caller met.
struct Attempt {
    double at = 0;
    int client = 0;
    int status = 0; // 0: the channel was closed without an answer
};

} // namespace

int main(int, char** arguments)
{
    Record record(std::string(arguments[1]) + "/record.txt");
    std::string directory = temporaryDirectory();
    Store store;
    store.put("op/config", configuration().dump());
    PlainReplica replica("i-7f3a91c2", store, record, Millis(5));
    PlainReplica other("i-02d9e6b4", store, record, Millis(5));
    Gateway gateway("front-port-louis-1", store.port(), directory);
    gateway.start();
    if (!gateway.waitReady(Millis(15000)))
        finish(2);
    sleepFor(Millis(2500));

    std::mutex mutex;
    std::vector<Attempt> attempts;
    std::vector<std::pair<double, bool>> probes;
    std::atomic<bool> isStopped = false;
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            for (int i = 0; !isStopped; ++i) {
                std::string id = "o" + std::to_string(client) + "-" + std::to_string(i);
                double at = record.seconds();
                Response response = call(gateway.clientPort(), siteRequest("GET", "/status/notice", id), Millis(1000));
                record.add("ordinary request " + id + ": "
                    + (response.status ? "answered " + std::to_string(response.status) : std::string("no answer")));
                std::lock_guard lock(mutex);
                attempts.push_back({ at, client, response.status });
                sleepFor(Millis(300));
            }
        });
    }
    threads.emplace_back([&] {
        while (!isStopped) {
            bool isReady = gateway.isReady();
            record.add(std::string("readiness: ") + (isReady ? "200" : "not 200"));
            {
                std::lock_guard lock(mutex);
                probes.emplace_back(record.seconds(), isReady);
            }
            sleepFor(Millis(1000));
        }
    });
    sleepFor(calmTime);
    if (hasTrouble()) {
        record.add("the crowd begins");
        size_t most = stayConnected(gateway.clientPort(), Clock::now() + crowdTime);
        record.add("the crowd ends; it had " + std::to_string(most) + " connections at most; the machine uses "
            + std::to_string(gateway.residentBytes() >> 20) + " MB of 182");
    } else
        sleepFor(crowdTime);
    sleepFor(calmTime);
    isStopped = true;
    for (std::thread& thread : threads)
        thread.join();

    // The longest time in which no channel was taken, and who tried in it.
    std::sort(attempts.begin(), attempts.end(), [](const Attempt& a, const Attempt& b) { return a.at < b.at; });
    double since = attempts.front().at;
    double longest = 0;
    double longestFrom = 0;
    for (const Attempt& attempt : attempts) {
        if (attempt.status) {
            if (attempt.at - since > longest) {
                longest = attempt.at - since;
                longestFrom = since;
            }
            since = attempt.at;
        }
    }
    std::set<int> tried;
    for (const Attempt& attempt : attempts) {
        if (attempt.at > longestFrom && attempt.at < longestFrom + longest)
            tried.insert(attempt.client);
    }
    bool wasReady = true;
    for (auto [at, isReady] : probes)
        wasReady = wasReady && (isReady || at < longestFrom || at > longestFrom + longest);
    record.add("longest time without a channel taken: " + std::to_string(longest) + " s from "
        + std::to_string(longestFrom) + " s; " + std::to_string(tried.size()) + " clients tried; the machine said "
        + (wasReady ? "that it is ready" : "at times that it is not ready"));
    bool isBroken = longest > std::chrono::duration<double>(contactTime).count() && tried.size() >= 7 && wasReady;
    record.add(isBroken ? "BROKEN RECOVER" : "the rule held");
    gateway.stop();
    finish(isBroken ? 1 : 0);
}
