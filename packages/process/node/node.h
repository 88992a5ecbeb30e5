// One running node: owns the sockets, the threads and the parts, and joins them.
//
//   node running(settings);
//   BOOST_LEAF_CHECK(running.start());
//   waitForSignal();
//   running.shutDown();
//
// Threads: gossip, log reader, rendezvous, sync client, fold, worker health, announcements, the sync server's, the
// control port's, and one for each HTTP connection.
#pragma once

#include <memory>

#include "base/error.h"
#include "process/settings/settings.h"

namespace pistachioquay {

class node
{
public:
    explicit node(node_settings settings);
    ~node();
    node(const node &) = delete;
    node &operator=(const node &) = delete;

    // start opens all ports and starts all threads. Not thread safe. Fails with Unavailable if a port is in use; then
    // nothing is left running.
    result<void> start();

    // shutDown drains: announces it, refuses new work, lets running requests end within the drain timeout of the
    // settings, and stops all threads. Not thread safe; can be repeated.
    void shutDown();

private:
    struct parts;
    node_settings m_settings;
    std::unique_ptr<parts> m_parts;
};

} // namespace pistachioquay
