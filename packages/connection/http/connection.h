// One libcurl handle with at most one socket, as the client pool keeps it. Private to the client.
#pragma once

#include <curl/curl.h>

#include "base/clock.h"
#include "connection/http/listen_socket.h"

namespace pistachioquay::internal {

// Not thread safe. Its address must not change, because libcurl keeps a pointer to it for the socket callbacks.
class connection
{
public:
    connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;
    ~connection();

    // begin resets the handle for a new call. On a kept socket the call cannot open another one: libcurl silently sends
    // a request again on a new connection when a kept one fails, which would run a non-idempotent request twice.
    void begin();
    // isOpen is true while there is a socket.
    bool isOpen() const
    {
        return m_socket >= 0;
    }
    // hasPeerClosed is true if a kept socket was closed by the peer or has unexpected bytes to read. Does not block.
    bool hasPeerClosed() const;

    CURLM *multi = nullptr;
    CURL *easy = nullptr;
    time_point idleSince;
    std::uint64_t generation = 0;

private:
    static curl_socket_t openSocket(void *self, curlsocktype purpose, curl_sockaddr *address);
    static int closeSocket(void *self, curl_socket_t socket);

    int m_socket = -1;
    bool m_mayOpen = true;
};

} // namespace pistachioquay::internal
