// A caller sends one request whose body is framed by a transfer coding that the gateway does not know.
#include "Deployment.h"

using namespace review;

int main(int, char** arguments)
{
    Record record(std::string(arguments[1]) + "/record.txt");
    std::string directory = temporaryDirectory();
    Store store;
    store.put("op/config", configuration().dump());
    PlainReplica replica("i-7f3a91c2", store, record);
    Gateway gateway("front-port-louis-1", store.port(), directory);
    gateway.start();
    if (!gateway.waitReady(Millis(15000)))
        finish(2);
    sleepFor(Millis(2500));

    Response before = call(gateway.clientPort(), siteRequest("POST", "/send/before", "0000000000000001", "first"));
    record.add("sent 0000000000000001, answered " + std::to_string(before.status));
    if (before.status != 200)
        finish(2);

    // The body of the one request that is sent. It would be a request by itself.
    std::string inner = "POST /send/inner HTTP/1.1\r\nHost: " + std::string(siteHost)
        + "\r\nRequest-Id: 00000000000000aa\r\nAuthorization: Token " + otherKey
        + "\r\nDeadline-Ms: 4000\r\nContent-Length: 5\r\n\r\ninner";
    char size[16];
    snprintf(size, sizeof(size), "%zx", inner.size());
    std::string coding = hasTrouble() ? "chunked, identity" : "chunked";
    std::string outer = "POST /send/outer HTTP/1.1\r\nHost: " + std::string(siteHost)
        + "\r\nRequest-Id: 0000000000000002\r\nAuthorization: Token " + siteKey
        + "\r\nDeadline-Ms: 4000\r\nTransfer-Encoding: " + coding + "\r\n\r\n";
    std::string body = hasTrouble() ? inner : std::string(size) + "\r\n" + inner + "\r\n0\r\n\r\n";
    auto connection = Connection::open(gateway.clientPort());
    connection->send(outer + body);
    record.add("sent 0000000000000002 (Transfer-Encoding: " + coding + "), with a body of "
        + std::to_string(inner.size()) + " bytes");
    for (int i = 0; i < 2; ++i) {
        Response response;
        bool isAnswered = connection->readResponse(response, Millis(5000));
        record.add(isAnswered ? "answered " + std::to_string(response.status)
                    + " id=" + headerOf(response.headers, "Request-Id") + " " + response.body.substr(0, 40)
                              : "no further answer");
        if (!isAnswered)
            break;
    }
    sleepFor(Millis(500));
    bool isBroken = false;
    for (const Run& run : replica.runs()) {
        if (run.id == "00000000000000aa") {
            record.add(
                "BROKEN UNASKED: the replica ran 00000000000000aa, which was sent only inside the body of another");
            isBroken = true;
        }
        if (run.id == "0000000000000002" && run.body != inner) {
            record.add("BROKEN UNASKED: the replica ran 0000000000000002 with another body than the caller's");
            isBroken = true;
        }
    }
    record.add(isBroken ? "the rule was broken" : "the rule held");
    gateway.stop();
    finish(isBroken ? 1 : 0);
}
