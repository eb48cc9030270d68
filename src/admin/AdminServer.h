// The operators' HTTP interface of one daemon: resources, keys, status, report, explanations, counters, probes.
// docs/API.md has the list of paths. Control thread only.
#pragma once

#include <functional>
#include <memory>

#include "admin/ResourceApi.h"
#include "entry/DaemonContext.h"
#include "net/Http.h"
#include "reports/BurnReport.h"

namespace rattanshunt::admin {

// Reads from the rest of the daemon.
struct AdminSources {
    std::function<reports::RequestStats()> requestStats; // of this daemon, all threads
    std::function<size_t()> requestsInFlight;
};

class AdminServer {
public:
    AdminServer(fleet::Fleet&, entry::DaemonContext&, AdminSources);
    ~AdminServer();

    bool listen(base::Address& address, std::string& error);
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::admin
