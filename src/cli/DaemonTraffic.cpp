// Traffic threads, and what the control thread publishes to them.
#include "cli/DaemonImpl.h"

namespace rattanshunt::cli {

// ---- Traffic threads -------------------------------------------------------------------------

bool Daemon::Impl::startTraffic(std::string& error)
{
    for (size_t i = 0; i < m_settings.trafficThreads; ++i) {
        auto traffic = std::make_unique<Traffic>();
        Traffic* state = traffic.get();
        net::Event ready;
        bool isListening = false;
        base::Address address = m_addresses.client;
        traffic->thread = std::thread([this, state, &ready, &isListening, &address, &error] {
            state->loop.run([&] {
                state->entry = std::make_unique<entry::Entry>(state->loop, *m_backbone);
                isListening = state->entry->listen(address, error);
                m_loop.post([&ready] { ready.set(); });
                state->stop.waitUntil();
                state->entry->abort();
            });
            state->hasEnded = true;
        });
        ready.waitUntil();
        m_traffic.push_back(std::move(traffic));
        if (!isListening)
            return false;
        m_addresses.client = address;
    }
    return true;
}

void Daemon::Impl::onEachTraffic(const std::function<void(Traffic&)>& task)
{
    for (auto& traffic : m_traffic)
        net::runOn(traffic->loop, [&] { task(*traffic); });
}

void Daemon::Impl::stopTraffic()
{
    for (auto& traffic : m_traffic)
        traffic->loop.post([state = traffic.get()] { state->stop.set(); });
    for (auto& traffic : m_traffic) {
        while (!traffic->hasEnded)
            net::sleepFor(drainPoll);
    }
}

reports::Book Daemon::Impl::readBook() const
{
    reports::Book book;
    for (auto& traffic : m_traffic) {
        if (traffic->entry)
            traffic->entry->readBook(book);
    }
    return book;
}

size_t Daemon::Impl::requestsUnderWay() const
{
    size_t sum = 0;
    for (auto& traffic : m_traffic)
        sum += traffic->underWay.load();
    return sum;
}

// ---- Publishing ------------------------------------------------------------------------------

void Daemon::Impl::planCatalog()
{
    if (m_isCatalogPlanned)
        return;
    m_isCatalogPlanned = true;
    m_loop.timers().subscribe(base::Clock::now() + catalogDelay, [this] {
        m_isCatalogPlanned = false;
        publishCatalog();
    });
}

void Daemon::Impl::publishCatalog()
{
    auto catalog = resources::catalogBuild(m_fleet->mirror(), m_loads);
    m_budget->setCatalog(catalog);
    m_placement->setCatalog(catalog);
    m_backbone->publishCatalog(std::move(catalog));
}

void Daemon::Impl::publishLoop()
{
    fleet::Freshness last = fleet::Freshness::Fresh;
    while (!m_isStopped) {
        base::TimePoint now = base::Clock::now();
        m_backbone->publishServeUntil(m_fleet->serveUntil(now));
        fleet::Freshness freshness = m_fleet->freshness(now);
        if (freshness != last)
            base::logEvent(freshness == fleet::Freshness::CutOff ? LogLevel::Warning : LogLevel::Info,
                "fleet.freshness",
                { { "state", fleet::freshnessName(freshness) }, { "revision", m_fleet->mirror().revision } });
        last = freshness;
        for (auto& traffic : m_traffic)
            traffic->loop.post([state = traffic.get()] { state->underWay = state->entry->requestsUnderWay(); });
        net::sleepFor(publishInterval);
    }
}

} // namespace rattanshunt::cli
