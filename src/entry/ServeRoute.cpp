// Serves calls to services other than model engines.
//
// Calls of repeatable routes are retried. Any other call is executed at most once; if the caller sent an idempotency
// key, a claim in the KV store extends this guarantee to repeated calls with the same key, and stores the response for
// them.
#include "base/Counters.h"
#include "base/Log.h"
#include "entry/AttemptLoop.h"
#include "entry/OwnResponse.h"

namespace rattanshunt::entry {

using attempts::AttemptOutcome;

namespace {

    constexpr int maxCallAttempts = 3;
    constexpr size_t maxIdempotencyKeyBytes = 256;

    // Headers that are forwarded to a service. The API key and connection headers are not.
    bool isForwardedHeader(const std::string& name)
    {
        static const std::vector<std::string> names
            = { "Content-Type", "Accept", "Accept-Language", "Idempotency-Key", "User-Agent" };
        return std::any_of(
            names.begin(), names.end(), [&](const std::string& item) { return net::httpNameEquals(item, name); });
    }

    net::HttpRequest serviceRequest(const RequestState& request)
    {
        const net::HttpRequest& message = request.exchange.request();
        net::HttpRequest forwarded { message.method, message.target, {}, message.body };
        for (const net::HttpHeader& header : message.headers) {
            if (isForwardedHeader(header.name))
                forwarded.headers.push_back(header);
        }
        forwarded.headers.push_back({ headerRequestId, request.id });
        forwarded.headers.push_back({ "X-Account", request.account });
        return forwarded;
    }

    AttemptOutcome sendOnce(ThreadState& thread, RequestState& request, const resources::Route& route,
        const resources::EndpointInfo& endpoint, net::HttpResponse& response)
    {
        // A pooled connection may be closed by the service while the call is sent, which leaves the outcome unknown. A
        // call that must not be retried therefore uses a new connection.
        net::PooledConnection pooled = route.isRepeatable
            ? thread.connectionPool.acquire(endpoint.address, { request.id })
            : net::PooledConnection { net::HttpConnection::create(thread.loop, endpoint.address), {} };
        net::HttpConnection* connection = pooled.connection.get();
        // A call that must not be retried continues after its caller disconnects, so that its outcome can be stored.
        if (route.isRepeatable)
            request.connectionToCancel = connection;
        auto guard = std::make_unique<ActiveConnectionGuard>(thread, connection);
        net::HttpCallError error = net::HttpCallError::None;
        bool wasReused = connection->isConnected();
        if (!wasReused)
            error = connection->connect(
                std::min(request.deadline, base::Clock::now() + thread.context.settings.connectTimeout));
        bool isSent = error == net::HttpCallError::None;
        if (!isSent)
            thread.replicaScheduler.recordFailure(endpoint);
        if (isSent)
            error = connection->send(serviceRequest(request), request.deadline);
        if (error == net::HttpCallError::None)
            error = readOwnHead(
                *connection, wasReused, request.id, response, request.deadline, "service_answers_foreign_total");
        request.responseMemory = gateway::ResponseMemoryShare(thread.responseMemory);
        bool isEnd = false;
        while (error == net::HttpCallError::None && !isEnd) {
            std::string piece;
            error = connection->readSome(piece, isEnd, request.deadline);
            if (error == net::HttpCallError::None && !request.responseMemory.append(response.body, piece)) {
                base::counterAdd("service_answers_too_large_total");
                error = net::HttpCallError::Malformed;
            }
        }
        request.connectionToCancel = nullptr;
        guard.reset();
        if (!isSent)
            return AttemptOutcome::NotExecuted;
        if (error != net::HttpCallError::None)
            return AttemptOutcome::Unknown;
        // A reused connection may hold the late copy of an earlier response. Only connections whose responses carry
        // request ids are reused, so there a response without one is not this request's.
        std::string_view responseRequestId = net::httpHeader(response.headers, headerRequestId);
        if (responseRequestId.empty() && wasReused) {
            base::counterAdd("service_answers_foreign_total");
            return AttemptOutcome::Unknown;
        }
        if (!responseRequestId.empty())
            thread.connectionPool.release(std::move(pooled), request.id);
        // A service sets this header if it refused the call before executing any of it.
        if (net::httpHeader(response.headers, "X-Not-Run") == "true")
            return AttemptOutcome::NotExecuted;
        return AttemptOutcome::Complete;
    }

    bool respondWith(
        RequestState& request, int status, const std::string& contentType, std::string body, bool isBodyOmitted = false)
    {
        std::vector<net::HttpHeader> headers
            = { { headerRequestId, request.id }, { headerOutcome, outcomeName(Outcome::Complete) } };
        if (isBodyOmitted)
            headers.push_back({ "X-Body-Omitted", "true" });
        if (!contentType.empty())
            headers.push_back({ "Content-Type", contentType });
        request.firstByteAt = base::Clock::now();
        return request.exchange.respond({ status, std::move(headers), std::move(body) });
    }

    // Sends the call, and retries it if the route is repeatable or if the call was certainly not executed.
    AttemptsResult callWithRetries(ThreadState& thread, RequestState& request, const resources::Route& route,
        const resources::Service& service, net::HttpResponse& response, attempts::RequestProgress& progress)
    {
        progress.retryClass = route.isRepeatable ? attempts::RetryClass::Idempotent : attempts::RetryClass::AtMostOnce;
        progress.maxAttempts = route.isRepeatable ? maxCallAttempts : 1;
        std::set<std::string> excludedEndpoints;
        return attemptsRun(thread, request, progress, [&]() -> Attempt {
            auto endpoint = thread.replicaScheduler.chooseServiceEndpoint(service.pool,
                base::stableHash(request.id, static_cast<uint64_t>(progress.attemptsMade)), excludedEndpoints);
            if (!endpoint)
                return {};
            Reason reason = checkBeforeSend(thread, request);
            AttemptOutcome result = AttemptOutcome::NotExecuted;
            if (reason == Reason::None) {
                response = {};
                result = sendOnce(thread, request, route, *endpoint, response);
                excludedEndpoints.insert(endpoint->id);
            }
            endpoint->load->ownInFlight.fetch_sub(1, std::memory_order_relaxed);
            if (reason != Reason::None)
                return { .reason = reason };
            return { result, true };
        });
    }

    idempotency::Claim claimForRequest(ThreadState& thread, const RequestState& request)
    {
        const net::HttpRequest& message = request.exchange.request();
        idempotency::Claim claim;
        claim.operation = base::randomId() + base::randomId();
        claim.runner = thread.context.settings.name;
        claim.incarnation = thread.context.incarnation;
        std::string text = message.method + "\n" + message.target + "\n" + message.body;
        claim.digest = base::hexEncode(base::sha256(text)).substr(0, 32);
        return claim;
    }

    RequestResult respondFromClaim(RequestState& request, const idempotency::ClaimDecision& decision)
    {
        switch (decision.verdict) {
        case idempotency::ClaimVerdict::Stored:
            respondWith(request, decision.held.status, decision.held.contentType, decision.held.body,
                decision.held.isBodyOmitted);
            base::counterAdd("claims_answered_from_store_total");
            return { Reason::None, "", base::Millis(0), true };
        case idempotency::ClaimVerdict::Running:
            return { Reason::AlreadyRunning, "" };
        case idempotency::ClaimVerdict::Mismatch:
            return { Reason::IdempotencyKeyReused, "" };
        case idempotency::ClaimVerdict::OutcomeUnknown:
        case idempotency::ClaimVerdict::Run:
            break;
        }
        return { Reason::OutcomeUnknown, "" };
    }

    RequestResult serveWithClaim(ThreadState& thread, RequestState& request, const resources::Route& route,
        const resources::Service& service, const std::string& idempotencyKey)
    {
        idempotency::Claim claim = claimForRequest(thread, request);
        std::string kvKey = idempotency::claimKvKey(request.account.empty() ? "open" : request.account, idempotencyKey);
        idempotency::ClaimDecision decision;
        net::runOn(thread.context.controlLoop,
            [&] { decision = thread.context.claims.claim(kvKey, claim, request.deadline); });
        if (decision.kind == idempotency::ClaimDecision::Kind::Unavailable)
            return { Reason::ClaimUnavailable, "" };
        if (decision.verdict != idempotency::ClaimVerdict::Run)
            return respondFromClaim(request, decision);
        net::HttpResponse response;
        attempts::RequestProgress progress;
        AttemptsResult attemptsResult = callWithRetries(thread, request, route, service, response, progress);
        if (attemptsResult.step != attempts::NextStep::Deliver) {
            // If the response was lost, the claim stays without an outcome, and repeated calls get "outcome unknown".
            if (progress.attemptsPossiblyExecuted == 0)
                net::runOn(
                    thread.context.controlLoop, [&] { thread.context.claims.abandon(kvKey, decision.revision); });
            return attemptsResult.requestResult;
        }
        claim.isDone = true;
        claim.status = response.status;
        claim.contentType = std::string(net::httpHeader(response.headers, "Content-Type"));
        claim.isBodyOmitted = response.body.size() > idempotency::maxClaimBodyBytes;
        if (!claim.isBodyOmitted)
            claim.body = response.body;
        // Stored before the response is sent, so that a repeated call never learns less than the first caller.
        net::runOn(
            thread.context.controlLoop, [&] { thread.context.claims.storeOutcome(kvKey, claim, decision.revision); });
        bool isDelivered = respondWith(request, response.status, claim.contentType, std::move(response.body));
        return { isDelivered ? Reason::None : Reason::CallerGone, "", base::Millis(0), true };
    }

} // namespace

RequestResult serveRoute(ThreadState& thread, RequestState& request, const resources::Route& routeInCatalog)
{
    resources::Route route = routeInCatalog;
    auto catalog = thread.context.catalog();
    auto service = catalog->services.find(route.service);
    if (service == catalog->services.end())
        return { Reason::UnknownRoute, "the route's service does not exist" };
    std::string idempotencyKey(net::httpHeader(request.exchange.request().headers, "Idempotency-Key"));
    if (idempotencyKey.size() > maxIdempotencyKeyBytes)
        return { Reason::MalformedRequest, "Idempotency-Key: must be at most 256 bytes long" };
    RequestResult reserved = reserveTokens(thread, request, route.tokensPerCall, resources::PriorityClass::Normal);
    if (reserved.reason != Reason::None)
        return reserved;
    request.usedTokens = request.reservedTokens;
    if (!idempotencyKey.empty() && !route.isRepeatable)
        return serveWithClaim(thread, request, route, service->second, idempotencyKey);
    net::HttpResponse response;
    attempts::RequestProgress progress;
    AttemptsResult attemptsResult = callWithRetries(thread, request, route, service->second, response, progress);
    if (attemptsResult.step != attempts::NextStep::Deliver) {
        if (progress.attemptsPossiblyExecuted == 0)
            request.usedTokens = 0;
        return attemptsResult.requestResult;
    }
    std::string contentType(net::httpHeader(response.headers, "Content-Type"));
    bool isDelivered = respondWith(request, response.status, contentType, std::move(response.body));
    return { isDelivered ? Reason::None : Reason::CallerGone, "", base::Millis(0), true };
}

} // namespace rattanshunt::entry
