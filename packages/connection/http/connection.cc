#include "connection/http/connection.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pistachioquay::internal {

namespace {

// libcurl's buffers for each direction; with the buffer of the call they stay under 64 KiB a request each way.
constexpr long curlBufferBytes = 16L * 1024;

bool initialiseLibrary()
{
    return curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK;
}

} // namespace

connection::connection()
{
    static const bool isReady = initialiseLibrary();
    if (isReady) {
        multi = curl_multi_init();
        easy = curl_easy_init();
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, 1L);
        curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    }
}

connection::~connection()
{
    curl_easy_cleanup(easy);
    curl_multi_cleanup(multi);
}

void connection::begin()
{
    m_mayOpen = m_socket < 0;
    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, curlBufferBytes);
    curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, curlBufferBytes);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &connection::openSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &connection::closeSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
}

bool connection::hasPeerClosed() const
{
    pollfd watched{m_socket, POLLIN | POLLRDHUP, 0};
    return ::poll(&watched, 1, 0) != 0;
}

curl_socket_t connection::openSocket(void *self, curlsocktype, curl_sockaddr *address)
{
    auto *const owner = static_cast<connection *>(self);
    if (!owner->m_mayOpen) {
        return CURL_SOCKET_BAD;
    }
    owner->m_mayOpen = false;
    owner->m_socket = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    return owner->m_socket;
}

int connection::closeSocket(void *self, curl_socket_t socket)
{
    auto *const owner = static_cast<connection *>(self);
    if (owner->m_socket == socket) {
        owner->m_socket = -1;
    }
    return ::close(socket);
}

} // namespace pistachioquay::internal
