// One daemon (`rattanshunt serve`): the control thread, the traffic threads and everything that runs on them.
#pragma once

#include <memory>
#include <string>

#include "settings/Settings.h"

namespace rattanshunt::cli {

// The addresses that a daemon listens on, with the ports that the system chose where 0 was requested.
struct DaemonAddresses {
    base::Address client;
    base::Address peer;
    base::Address admin;
};

// A daemon on its own threads. Every method is safe from any thread.
class Daemon {
public:
    explicit Daemon(const settings::Settings&);
    ~Daemon(); // if it is running, stops it at once, not gracefully

    // -- commands --
    void start();

    // Starts a graceful stop, or a stop at once without notifying other daemons. Returns at once; join() waits for the
    // end.
    void requestStop(bool isGraceful);

    // Waits until the daemon has ended. Returns 0 after a stop, 1 if an address could not be bound.
    int join();

    // Blocks all threads until thaw(), like a suspended process. For tests.
    void freeze();
    void thaw();

    // -- queries --
    bool waitListening(base::Duration limit); // false if the daemon has ended or does not listen within `limit`
    bool waitReady(base::Duration limit);     // likewise for readiness to serve
    DaemonAddresses addresses() const;        // valid after waitListening() returned true

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

// Runs a daemon in the calling thread until SIGTERM or SIGINT, which stop it gracefully, or SIGQUIT, which stops it at
// once. Returns the process's exit code.
int daemonRun(const settings::Settings&);

} // namespace rattanshunt::cli
