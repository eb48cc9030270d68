// The memory account of the process, replayed without a network, and how the server bounds what is no body.
#include <filesystem>
#include <fstream>

#include "GatewayFixture.h"
#include "net/MemoryAccount.h"
#include "settings/GatewaySettings.h"

using namespace rattanshunt;
using namespace rattanshunt::net;

namespace {

constexpr size_t megabyte = 1024 * 1024;
constexpr size_t bodyBytes = 4 * megabyte;

// The smallest machine.
MemoryPlan smallPlan()
{
    return memoryPlan(112 * megabyte, 2870);
}

std::string exchange(net::Loop& loop, const base::Address& address, const std::string& bytes)
{
    boost::asio::ip::tcp::socket socket(loop.io());
    boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip), address.port);
    awaitIo([&](auto handler) { socket.async_connect(endpoint, std::move(handler)); });
    loop.spawn([&] {
        awaitIo(
            [&](auto handler) { boost::asio::async_write(socket, boost::asio::buffer(bytes), std::move(handler)); });
    });
    char received[64] = {};
    IoResult result
        = awaitIo([&](auto handler) { socket.async_read_some(boost::asio::buffer(received), std::move(handler)); });
    socket.close();
    sleepFor(base::Millis(20)); // the writing fiber ends
    return std::string(received, result.bytes).substr(0, 12);
}

} // namespace

// 60 bodies of 4 MB that stop short of their end: the account never exceeds its limit, small requests go on, and as
// stalled bodies are closed, all others get their turn. Without the account all 240 MB are held.
Test(memory_account, large_bodies_that_stop_make_room_for_others_and_never_block_small_requests)
{
    MemoryAccount account(smallPlan());
    std::vector<std::unique_ptr<MemoryUse>> bodies;
    std::vector<std::unique_ptr<MemoryWatch>> watches;
    size_t heldCount = 0;
    size_t closedCount = 0;
    base::TimePoint now = base::Clock::now();
    for (int i = 0; i < 60; ++i) {
        auto body = std::make_unique<MemoryUse>(&account);
        for (int tries = 0; !body->resize(bodyBytes); ++tries) {
            cr_assert_lt(tries, 20, "no room was made for body %d", i);
            now += stallTime;
            account.closeStalled(now);
        }
        ++heldCount;
        MemoryUse* held = body.get();
        watches.push_back(std::make_unique<MemoryWatch>(&account, bodyBytes, [&closedCount, held] {
            held->set(0);
            ++closedCount;
        }));
        bodies.push_back(std::move(body));
        cr_assert_leq(account.usedBytes(), account.plan().limitBytes - account.plan().smallOnlyBytes);
        MemoryUse small(&account);
        cr_assert(small.resize(smallRequestBytes));
    }
    cr_assert_eq(heldCount, 60);
    cr_assert_geq(closedCount, 60 - (account.plan().limitBytes - account.plan().smallOnlyBytes) / bodyBytes);
    watches.clear();
    bodies.clear();
    cr_assert_eq(account.usedBytes(), 0);
    cr_assert(account.takeTrimRequest(now + base::Seconds(2)));
    cr_assert_not(account.takeTrimRequest(now + base::Seconds(9)));
}

Test(memory_account, the_one_that_holds_most_for_longest_is_closed_and_none_that_makes_progress)
{
    base::TimePoint start = base::Clock::now();
    base::TimePoint now = start + base::Seconds(10);
    std::map<uint64_t, MemoryHolding> holders {
        { 1, { megabyte, start } },                        // 10 s
        { 2, { 3 * megabyte, start + base::Seconds(6) } }, // 4 s: 12 MB s
        { 3, { 4 * megabyte, now - base::Millis(500) } },  // sends
        { 4, { 4 * megabyte, std::nullopt } },             // waits for memory itself
        { 5, { smallRequestBytes, start - base::Seconds(1000) } },
    };
    cr_assert_eq(memoryFindStalled(holders, now).value_or(0), 2);
    holders.erase(2);
    cr_assert_eq(memoryFindStalled(holders, now).value_or(0), 1);
    holders.erase(1);
    cr_assert_not(memoryFindStalled(holders, now).has_value());
}

Test(memory_account, the_parts_of_a_plan_fit_into_the_machine_and_one_body_into_the_least_memory)
{
    for (size_t mb : { memoryLeastBytes(bodyBytes) / megabyte + 1, 112ul, 256ul, 512ul }) {
        MemoryPlan plan = memoryPlan(mb * megabyte, 2870);
        cr_assert_leq(plan.limitBytes + memoryReservedBytes(mb * megabyte), mb * megabyte);
        cr_assert(memoryMayTake(plan, connectionBytes, 0, bodyBytes), "%zu MB", mb);
        cr_assert_leq(plan.maxConnections * connectionBytes, plan.limitBytes);
    }
    MemoryPlan unknown = memoryPlan(0, 0);
    cr_assert(memoryMayTake(unknown, 1000 * megabyte, 0, bodyBytes));
    cr_assert_eq(unknown.maxConnections, HttpServerLimits().maxConnections);
}

// A process that could not hold one largest body beside its own share does not start.
Test(memory_account, settings_below_the_least_are_refused_with_the_field_and_the_least_value)
{
    std::string path = fmt::format("/tmp/rattanshunt-memory-test-{}", getpid());
    std::ofstream(path) << "--memory_mb=45\n--max_descriptors=599\n";
    std::vector<settings::SettingError> errors;
    settings::settingsReadFile(path, errors);
    std::filesystem::remove(path);
    cr_assert(errors.empty());
    settings::gatewaySettingsFromFlags(errors);
    std::map<std::string, std::string> allowed;
    for (const settings::SettingError& error : errors)
        allowed[error.flag] = error.allowed;
    cr_assert_str_eq(allowed["memory_mb"].c_str(), "0, or at least 46");
    cr_assert_str_eq(allowed["max_descriptors"].c_str(), "0, or at least 600");
}

// What a caller inside the limits sends is served; trailers and extensions without end are cut off.
Test(memory_account, chunks_of_one_byte_are_served_and_extensions_and_trailers_are_bounded, .timeout = 30)
{
    tests::runOnLoop([](Loop& loop) {
        HttpServerEvents events;
        size_t received = 0;
        events.onRequest = [&](HttpExchange& exchange) {
            received = exchange.request().body.size();
            exchange.respond({ 200, {}, "" });
        };
        events.onMalformed = [](int status, std::string_view) { return HttpResponse { status, {}, "" }; };
        MemoryAccount account(smallPlan());
        HttpServerLimits limits;
        limits.memory = &account;
        std::string error;
        auto server = httpServe(loop, { "127.0.0.1", 0 }, limits, events, error);
        std::string head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        std::string chunks;
        for (size_t i = 0; i < 200000; ++i)
            chunks += "1\r\nx\r\n";
        cr_expect_str_eq(exchange(loop, server->address, head + chunks + "0\r\n\r\n").c_str(), "HTTP/1.1 200");
        cr_expect_eq(received, 200000);
        std::string trailers = "0\r\nX-A: " + std::string(8000, 'a') + "\r\n\r\n";
        cr_expect_str_eq(exchange(loop, server->address, head + chunks + trailers).c_str(), "HTTP/1.1 200");
        std::string extensions;
        for (size_t i = 0; i < 2000; ++i)
            extensions += "1;name=" + std::string(200, 'e') + "\r\nx\r\n";
        cr_expect_str_eq(exchange(loop, server->address, head + extensions).c_str(), "HTTP/1.1 431");
        std::string endless = "0\r\n";
        for (size_t i = 0; i < 400; ++i)
            endless += "X-A: " + std::string(100, 'a') + "\r\n";
        cr_expect_str_eq(exchange(loop, server->address, head + endless).c_str(), "HTTP/1.1 431");
        server->stopAccepting();
        server->closeAll();
        sleepFor(base::Millis(700));
        cr_expect_eq(account.usedBytes(), 0);
    });
}
