// Account quotas, in class HubSync: grants and reservations of the hub, and grants and fallback shares of a member.
#include "base/Counters.h"
#include "base/Log.h"
#include "hub/HubSyncInternal.h"

namespace rattanshunt::hub {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using quota::TokenVerdict;
using Json = nlohmann::json;

namespace {

    int64_t microsOf(base::Duration duration)
    {
        return std::chrono::duration_cast<base::Micros>(duration).count();
    }

    constexpr size_t maxReleases = 1000; // that wait for the next sync; more are left to lapse at the hub

} // namespace

quota::AccountLimit HubSync::limitOf(const gateway::Account& account) const
{
    return { account.rate, account.burst, m_options.quotaSlack, m_options.quotaWindow };
}

// ---- The hub -----------------------------------------------------------------------------------

// Charges tokens that were spent without a grant from the hub.
void HubSync::chargeUngranted(const std::string& account, double tokens)
{
    if (!m_configuration || tokens <= 0)
        return;
    auto found = m_configuration->accounts.find(account);
    if (found != m_configuration->accounts.end())
        quota::hubQuotaCharge(m_quota.hub, account, limitOf(found->second), tokens, BootClock::now());
}

// Logs accounts that have become short or are no longer, and adds to the metrics.
void HubSync::recordReservations(const std::string& account, BootTime now)
{
    quota::ReservationCounts& counted = m_quota.counted;
    const quota::ReservationCounts& counts = m_quota.reservations.counts;
    auto add = [](const char* name, uint64_t count, uint64_t& known) {
        if (count != known)
            base::counterAdd(name, static_cast<int64_t>(count - known));
        known = count;
    };
    add("quota_reservations_held_total", counts.made, counted.made);
    add("quota_reservations_for_retry_total", counts.promised, counted.promised);
    add("quota_reservations_taken_total", counts.taken, counted.taken);
    add("quota_reservations_expired_total", counts.expired, counted.expired);
    add("quota_reservations_released_total", counts.released, counted.released);
    bool isShort = quota::accountIsShort(m_quota.reservations, account, now);
    if (isShort == m_quota.shortAccounts.contains(account))
        return;
    if (isShort) {
        m_quota.shortAccounts.insert(account);
        base::counterAdd("quota_shortages_total");
    } else {
        m_quota.shortAccounts.erase(account);
    }
    base::logEvent(LogLevel::Info, isShort ? "quota.short" : "quota.short_ended", { { "account", account } });
}

void HubSync::settleReservations()
{
    BootTime now = BootClock::now();
    if (!m_configuration || termIsOver(m_term, now))
        return;
    for (const auto& [name, account] : m_configuration->accounts) {
        if (account.rate <= 0 || !m_quota.reservations.accounts.contains(name))
            continue;
        quota::tokensSettle(m_quota.reservations, m_quota.hub, name, limitOf(account), now);
        recordReservations(name, now);
    }
}

// Precondition: this daemon is the hub.
quota::TokenAnswer HubSync::grantTokens(const gateway::Account& account, const quota::TokenAsk& ask, BootTime now)
{
    quota::TokenAnswer answer;
    if (!m_options.quotaReservations) {
        bool isGranted = quota::hubQuotaTake(m_quota.hub, account.name, limitOf(account), ask.tokens, now);
        answer.verdict = isGranted ? TokenVerdict::Granted : TokenVerdict::Refused;
        return answer;
    }
    answer = quota::tokensAsk(m_quota.reservations, m_quota.hub, account.name, limitOf(account), ask, now);
    recordReservations(account.name, now);
    return answer;
}

Json HubSync::handleGrantCall(const Json& body)
{
    BootTime now = BootClock::now();
    if (termIsOver(m_term, now) || !m_configuration)
        return Json { { "hub", false } };
    auto account = m_configuration->accounts.find(body.value("account", ""));
    if (account == m_configuration->accounts.end())
        return Json { { "hub", true }, { "tokens", 0.0 } };
    quota::TokenAsk ask;
    ask.tokens = body.value("need", 0.0);
    ask.route = body.value("route", "");
    ask.priority = body.value("priority", ask.priority);
    ask.maxWait = base::Millis(std::max<int64_t>(0, body.value("max_wait_ms", int64_t(0))));
    ask.maxRetryDelay = base::Millis(std::max<int64_t>(0, body.value("max_retry_ms", int64_t(0))));
    ask.requestKey = body.value("key", "");
    quota::TokenAnswer answer = grantTokens(account->second, ask, now);
    Json reply { { "hub", true }, { "start", m_incarnation } };
    double tokens = answer.verdict == TokenVerdict::Granted ? ask.tokens : 0;
    // Further tokens save calls. While the account is short they could be used better elsewhere.
    double further = ask.tokens * (grantPrefetchFactor - 1);
    if (tokens > 0 && !quota::accountIsShort(m_quota.reservations, account->first, now)
        && quota::hubQuotaTake(m_quota.hub, account->first, limitOf(account->second), further, now))
        tokens += further;
    reply["tokens"] = tokens;
    if (answer.verdict == TokenVerdict::GrantedLater) {
        reply["starts_in_us"] = microsOf(answer.startsIn);
        reply["reservation"] = answer.reservation;
    }
    if (answer.retryIn)
        reply["retry_in_us"] = microsOf(*answer.retryIn);
    if (answer.wasReserved)
        reply["reserved"] = true;
    return reply;
}

void HubSync::applyMemberQuota(const Json& body, BootTime now)
{
    Json unused = body.value("unused", Json::object());
    for (auto& [account, tokens] : unused.items())
        quota::hubQuotaReturn(m_quota.hub, account, tokens.get<double>());
    Json spent = body.value("spent", Json::object());
    for (auto& [account, tokens] : spent.items())
        chargeUngranted(account, tokens.get<double>());
    if (!body.contains("released") || !m_configuration)
        return;
    for (const Json& row : body.at("released")) {
        auto account = m_configuration->accounts.find(row.at(0).get<std::string>());
        if (account == m_configuration->accounts.end() || row.at(3).get<std::string>() != m_incarnation)
            continue;
        quota::tokensRelease(m_quota.reservations, m_quota.hub, account->first, limitOf(account->second),
            row.at(1).get<uint64_t>(), row.at(2).get<double>(), now);
        recordReservations(account->first, now);
    }
}

// ---- A member ----------------------------------------------------------------------------------

// Returns what was reported as spent, in case the call fails.
std::map<std::string, double> HubSync::addQuotaToRequest(Json& body)
{
    Json unused = Json::object();
    for (auto& [account, share] : m_quota.local.shares) {
        // Grants that were not spent since the last sync are returned.
        if (share.grantedTokens > 0)
            unused[account] = std::exchange(share.grantedTokens, 0);
    }
    if (!unused.empty())
        body["unused"] = std::move(unused);
    std::map<std::string, double> unreported = quota::localQuotaTakeUnreported(m_quota.local);
    if (!unreported.empty())
        body["spent"] = unreported;
    if (m_quota.releases.empty())
        return unreported;
    Json released = Json::array();
    for (const QuotaSync::Release& release : m_quota.releases)
        released.push_back({ release.account, release.reservation, release.tokens, release.hubIncarnation });
    m_quota.releases.clear();
    body["released"] = std::move(released);
    return unreported;
}

bool HubSync::spendAlone(const gateway::Account& account, double tokens)
{
    base::counterAdd("quota_decided_alone_total");
    double drawn = randomFraction();
    quota::AccountLimit limit = limitOf(account);
    return quota::localQuotaSpendLowUsage(
               m_quota.local, account.name, limit, tokens, memberCount(), drawn, BootClock::now())
        || quota::localQuotaSpendFallback(
            m_quota.local, account.name, limit, tokens, memberCount(), drawn, BootClock::now());
}

QuotaAnswer HubSync::quotaTake(const gateway::Account& account, const quota::TokenAsk& ask)
{
    QuotaAnswer answer;
    BootTime now = BootClock::now();
    auto finish = [&](bool isGranted) {
        answer.verdict = isGranted ? TokenVerdict::Granted : TokenVerdict::Refused;
        return answer;
    };
    if (account.rate <= 0)
        return finish(true);
    if (!termIsOver(m_term, now)) {
        quota::TokenAnswer granted = grantTokens(account, ask, now);
        return { granted.verdict, now + granted.startsIn, granted.retryIn, true, granted.wasReserved,
            granted.reservation, m_incarnation };
    }
    if (quota::localQuotaSpend(m_quota.local, account.name, ask.tokens)) {
        answer.isFromHub = true;
        return finish(true);
    }
    if (!m_hubRecord || !m_isHubReachable || !m_peers)
        return finish(spendAlone(account, ask.tokens));
    auto millis = [](base::Duration duration) { return std::max<int64_t>(0, base::millisOf(duration)); };
    Json call { { "account", account.name }, { "need", ask.tokens }, { "route", ask.route },
        { "priority", ask.priority }, { "max_wait_ms", millis(ask.maxWait - grantTimeout / 3) },
        { "max_retry_ms", millis(ask.maxRetryDelay) }, { "key", ask.requestKey } };
    net::PeerResult result = m_peers->call(m_hubRecord->address, "grant", call, base::Clock::now() + grantTimeout);
    if (result.error != net::PeerError::None || !result.body.is_object() || !result.body.value("hub", false))
        return finish(spendAlone(account, ask.tokens));
    const Json& body = result.body;
    answer.isFromHub = true;
    answer.wasReserved = body.value("reserved", false);
    m_quota.local.shares[account.name].grantedTokens += body.value("tokens", 0.0);
    if (quota::localQuotaSpend(m_quota.local, account.name, ask.tokens))
        return finish(true);
    if (body.contains("retry_in_us"))
        answer.retryIn = base::Micros(body.at("retry_in_us").get<int64_t>());
    if (!body.contains("starts_in_us"))
        return finish(false);
    // Counts from the answer's arrival, so that the tokens are not used before their time.
    BootTime answeredAt = BootClock::now();
    answer.verdict = TokenVerdict::GrantedLater;
    answer.usableAt = answeredAt + base::Micros(body.at("starts_in_us").get<int64_t>());
    answer.reservation = body.value("reservation", uint64_t(0));
    answer.hubIncarnation = body.value("start", "");
    if (answer.usableAt > now + ask.maxWait) { // the answer took too long
        quotaRelease(account.name, ask.tokens, answer);
        return finish(false);
    }
    return answer;
}

bool HubSync::quotaUseReserved(const gateway::Account& account, double tokens, const QuotaAnswer& answer)
{
    BootTime now = BootClock::now();
    bool isOwn = answer.hubIncarnation == m_incarnation;
    bool isHubKnown = isOwn ? !termIsOver(m_term, now)
                            : m_isHubReachable && m_hubRecord && m_hubRecord->incarnation == answer.hubIncarnation;
    if (isHubKnown && now - answer.usableAt <= quota::reservationLifetime)
        return true;
    base::counterAdd("quota_reservations_lost_total");
    if (isHubKnown)
        quotaRelease(account.name, tokens, answer);
    return spendAlone(account, tokens);
}

void HubSync::quotaRelease(const std::string& account, double tokens, const QuotaAnswer& answer)
{
    if (answer.hubIncarnation == m_incarnation) {
        if (!m_term.isHeld || !m_configuration)
            return;
        auto found = m_configuration->accounts.find(account);
        if (found == m_configuration->accounts.end())
            return;
        BootTime now = BootClock::now();
        quota::tokensRelease(
            m_quota.reservations, m_quota.hub, account, limitOf(found->second), answer.reservation, tokens, now);
        recordReservations(account, now);
        return;
    }
    if (m_quota.releases.size() < maxReleases)
        m_quota.releases.push_back({ account, answer.reservation, tokens, answer.hubIncarnation });
}

void HubSync::quotaReturn(const std::string& account, double tokens)
{
    if (m_term.isHeld)
        quota::hubQuotaReturn(m_quota.hub, account, tokens);
    else
        m_quota.local.shares[account].grantedTokens += tokens;
}

} // namespace rattanshunt::hub
