// Tells whether libcurl has received a whole response head. It reports success also for a connection that was closed
// within the head.
//
//   std::size_t onHeader(char *data, std::size_t, std::size_t size, void *watch)
//   {
//       addHeadLine(*static_cast<head_watch *>(watch), {data, size});
//       return size;
//   }
#pragma once

#include <string_view>

namespace pistachioquay {

struct head_watch
{
    bool isEnded = false; // the empty line behind the last head that has begun was received

    friend bool operator==(const head_watch &, const head_watch &) = default;
};

// addHeadLine adds a line as libcurl passes it to a header function. Not thread safe for one watch.
inline void addHeadLine(head_watch &watch, std::string_view line)
{
    if (line.starts_with("HTTP/")) {
        watch.isEnded = false;
    } else if (line == "\r\n") {
        watch.isEnded = true;
    }
}

// isWholeHead returns whether the head of a final response with this status was received. Thread safe.
inline bool isWholeHead(const head_watch &watch, long status)
{
    constexpr long firstFinalStatus = 200;
    return watch.isEnded && status >= firstFinalStatus;
}

} // namespace pistachioquay
