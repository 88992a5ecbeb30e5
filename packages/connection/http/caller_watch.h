// Tells whether the sender of a request has closed its connection, or the server stops, while the connection's thread
// waits for something else. `fd` can be polled together with other sockets.
//
//   caller_watch watch(callerSocket, stopEvent);
//   if (watch.isGone()) abortCall();
#pragma once

#include "connection/http/listen_socket.h"

namespace pistachioquay {

// A connection whose sending side was shut down counts as closed, even if the caller could still read.
class caller_watch
{
public:
    // A watch that never reports anything.
    caller_watch() = default;
    // Watches the socket and, if `stopEvent` is not -1, an eventfd. Both stay owned by the caller.
    caller_watch(int callerSocket, int stopEvent);

    // fd returns a descriptor that becomes readable when the caller is gone; -1 for a watch of nothing. Thread safe.
    int fd() const
    {
        return m_epoll.get();
    }
    // isGone is true after the caller closed its connection or the server began to stop. Does not block. Thread safe.
    bool isGone() const;

private:
    unique_fd m_epoll;
};

} // namespace pistachioquay
