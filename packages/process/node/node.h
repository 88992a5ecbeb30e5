// One running node: owns its components, sockets and threads, and connects the components to each other.
//
//   node running(settings);
//   BOOST_LEAF_CHECK(running.start());
//   waitForSignal();
//   running.shutDown();
//
// Threads: gossip, log reader, rendezvous, sync client, version events (the only one that folds records), worker
// health, announcements, two for claims, those of the sync server and of the control port, and one for each HTTP
// connection.
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

    // shutDown drains the node and stops it: announces the drain, refuses new requests, gives running requests the
    // drain timeout of the settings to end, and stops all threads. Not thread safe; can be repeated.
    void shutDown();

private:
    struct components;
    node_settings m_settings;
    std::unique_ptr<components> m_components;
};

} // namespace pistachioquay
