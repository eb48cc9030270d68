// One daemon: the control thread, the traffic threads and everything that runs on them.
#pragma once

#include <memory>
#include <string>

#include "settings/Settings.h"

namespace rattanshunt::cli {

// The addresses that a daemon listens on; ports are known even if 0 was asked for.
struct DaemonAddresses {
    base::Address client;
    base::Address peer;
    base::Address admin;
};

// A daemon on threads of its own. Every method is safe from any thread.
class Daemon {
public:
    explicit Daemon(const settings::Settings&);
    ~Daemon(); // stops at once if it still runs

    // -- commands --
    void start();

    // Begins a graceful stop, or ends at once without a word to anybody. join() waits for the end.
    void requestStop(bool isGraceful);

    // 0 after a stop, 1 if an address could not be bound.
    int join();

    // Holds all threads still, as a paused process, until thaw(). For tests.
    void freeze();
    void thaw();

    // -- queries --
    bool waitListening(base::Duration limit); // false if it has ended or has not come so far in time
    bool waitReady(base::Duration limit);
    DaemonAddresses addresses() const; // valid once it listens

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

// Runs until SIGTERM or SIGINT and a graceful stop, or until SIGQUIT, which stops at once. Gives the process's exit
// code.
int daemonRun(const settings::Settings&);

} // namespace rattanshunt::cli
