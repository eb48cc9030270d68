// HTTP interface of one daemon for operators: resources, API keys, status, report, explanations, counters and probes.
// docs/API.md lists the paths.
//
// All methods must be called on the control thread.
#pragma once

#include <functional>
#include <memory>

#include "admin/ResourceApi.h"
#include "entry/DaemonContext.h"
#include "net/Http.h"
#include "reports/BurnReport.h"

namespace rattanshunt::admin {

// Data that the server obtains from the rest of the daemon.
struct AdminSources {
    std::function<reports::RequestStats()> requestStats; // of all threads of this daemon
    std::function<size_t()> requestsInFlight;
};

class AdminServer {
public:
    AdminServer(fleet::Fleet&, entry::DaemonContext&, AdminSources);
    ~AdminServer();

    // Listens on `address` and sets it to the address that was bound. False if it cannot be bound; `error` says why.
    bool listen(base::Address& address, std::string& error);
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::admin
