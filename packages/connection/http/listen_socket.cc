#include "connection/http/listen_socket.h"

#include <cerrno>
#include <cstring>
#include <system_error>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pistachioquay {

namespace {

constexpr int listenBacklog = 1024;

boost::leaf::error_id failToListen(const endpoint &address, int code)
{
    const std::string where = toText(address);
    if (code == EADDRINUSE) {
        return fail(error_kind::Unavailable,
                    "port " + where + " is in use by another process",
                    "stop the process that listens there, or choose another port in the settings");
    }
    if (code == EADDRNOTAVAIL) {
        return fail(error_kind::InvalidArgument,
                    "address " + where + " does not belong to this machine",
                    "set an address of this machine in the settings");
    }
    if (code == EACCES) {
        return fail(error_kind::InvalidArgument,
                    "no permission to listen on " + where,
                    "choose a port above 1023 in the settings");
    }
    return fail(error_kind::Io,
                "cannot listen on " + where + ": " + std::generic_category().message(code),
                "check the address and the limit of open files");
}

} // namespace

unique_fd::~unique_fd()
{
    if (m_fd >= 0) {
        ::close(m_fd);
    }
}

result<listen_socket> openListenSocket(const endpoint &address)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    if (::inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr) != 1) {
        return fail(error_kind::InvalidArgument,
                    "\"" + address.ip + "\" is not an IPv4 number",
                    "give an address like 127.0.0.1");
    }
    unique_fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (fd.get() < 0) {
        return failToListen(address, errno);
    }
    const int enabled = 1;
    ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    auto *const generic = reinterpret_cast<sockaddr *>(&target);
    if (::bind(fd.get(), generic, sizeof target) != 0 || ::listen(fd.get(), listenBacklog) != 0) {
        return failToListen(address, errno);
    }
    socklen_t length = sizeof target;
    if (::getsockname(fd.get(), generic, &length) != 0) {
        return failToListen(address, errno);
    }
    return listen_socket{std::move(fd), endpoint{address.ip, ntohs(target.sin_port)}};
}

} // namespace pistachioquay
