#include "connection/http/caller_watch.h"

#include <sys/epoll.h>

namespace pistachioquay {

caller_watch::caller_watch(int callerSocket, int stopEvent)
    : m_epoll(::epoll_create1(EPOLL_CLOEXEC))
{
    // Only the end of the stream is of interest: waiting body bytes must not make the descriptor readable.
    epoll_event closed{};
    closed.events = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
    ::epoll_ctl(m_epoll.get(), EPOLL_CTL_ADD, callerSocket, &closed);
    if (stopEvent >= 0) {
        epoll_event stopped{};
        stopped.events = EPOLLIN;
        ::epoll_ctl(m_epoll.get(), EPOLL_CTL_ADD, stopEvent, &stopped);
    }
}

bool caller_watch::isGone() const
{
    if (m_epoll.get() < 0) {
        return false;
    }
    epoll_event event{};
    return ::epoll_wait(m_epoll.get(), &event, 1, 0) > 0;
}

} // namespace pistachioquay
