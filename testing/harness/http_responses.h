// Forms of HTTP responses, whole and broken, that each client of this project is tested with.
//
//   const std::string response = GENERATE(from_range(malformedResponses("X-Request-Id: 1\r\n")));
//   raw_server server([&](raw_connection &peer, int) { peer.send(response); });
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "testing/harness/raw_socket.h"

namespace pistachioquay::testing {

// malformedResponses returns responses that HTTP/1.1 does not allow, or that no request of a client can have. `headers`
// are header lines that each of them has behind its status line. Thread safe.
inline std::vector<std::string> malformedResponses(std::string_view headers = "")
{
    const std::string fields = "\r\n" + std::string(headers);
    const std::string ok = "HTTP/1.1 200 OK" + fields;
    const std::string end = "Content-Length: 2\r\n\r\nok";
    const std::string chunks = "\r\n2\r\nok\r\n0\r\n\r\n";
    return {
        "no head at all",
        // Status lines. The first two are followed by a valid response.
        "HTTP/1.1 000 OK" + fields + end + ok + end,
        "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok + end,
        "HTTP/1.1 000 OK" + fields + end,
        "HTTP/1.1 099 OK" + fields + end,
        "HTTP/1.1 20 OK" + fields + end,
        "HTTP/1.1 2000 OK" + fields + end,
        "HTTP/1.1 600 OK" + fields + end,
        "HTTP/1.1 999 OK" + fields + end,
        "HTTP/0.9 200 OK" + fields + end,
        "HTTP/2.0 200 OK" + fields + end,
        // Header lines.
        ok + "X Odd: 1\r\n" + end,
        ok + "X-Odd : 1\r\n" + end,
        ok + "X\tOdd: 1\r\n" + end,
        ok + "X\x01Odd: 1\r\n" + end,
        ok + "X\x7fOdd: 1\r\n" + end,
        ok + std::string("X\0Odd: 1\r\n", 10) + end,
        ok + "X-Odd: a\x01z\r\n" + end,
        ok + "X-Odd: a\rz\r\n" + end,
        ok + "no colon\r\n" + end,
        ok + ": no name\r\n" + end,
        // Lengths and transfer codings.
        ok + "Content-Length: -2\r\n\r\nok",
        ok + "Content-Length: +2\r\n\r\nok",
        ok + "Content-Length: 2, 3\r\n\r\nok",
        ok + "Content-Length: 1\r\n" + end,
        ok + "Content-Length: 2\r\nContent-Length: 1\r\n\r\nok",
        ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n" + chunks,
        ok + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n" + chunks,
        ok + "Transfer-Encoding: gzip\r\n\r\nok",
        ok + "Transfer-Encoding: identity\r\n\r\nok",
        ok + "Transfer-Encoding: chunked, identity\r\n" + chunks,
        ok + "Transfer-Encoding: gzip, chunked\r\n" + chunks,
        ok + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" + chunks,
    };
}

// malformedChunks returns responses with a valid head whose chunks HTTP/1.1 does not allow. Thread safe.
inline std::vector<std::string> malformedChunks(std::string_view headers = "")
{
    const std::string head = "HTTP/1.1 200 OK\r\n" + std::string(headers) + "Transfer-Encoding: chunked\r\n\r\n";
    return {head + "x\r\nok\r\n0\r\n\r\n", head + "1\r\nok\r\n0\r\n\r\n", head + "2\r\nok0\r\n\r\n"};
}

// delimitedResponses returns whole responses that end at a length, at a last chunk with trailers, and behind an interim
// response. Cut anywhere, they are no whole response. Thread safe.
inline std::vector<std::string> delimitedResponses(std::string_view headers = "")
{
    const std::string head = "HTTP/1.1 200 OK\r\n" + std::string(headers);
    return {head + "Content-Length: 6\r\n\r\nanswer",
            head + "Transfer-Encoding: chunked\r\n\r\n3\r\nans\r\n3;x=y\r\nwer\r\n0\r\nX-Sum: 1\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\n" + std::string(headers) + "\r\n" + head + "Content-Length: 6\r\n\r\nanswer"};
}

// sendsPartByIndex returns a script that reads a request up to `requestEnd` and sends as many bytes of the response as
// the connection's number, so that successive connections cut it at each place. Thread safe.
inline raw_server::script
sendsPartByIndex(std::string response, std::string requestEnd = "\r\n\r\n", bool isReset = false)
{
    return
        [response = std::move(response), requestEnd = std::move(requestEnd), isReset](raw_connection &peer, int index) {
            peer.receiveUntil(requestEnd);
            peer.send(response.substr(0, static_cast<std::size_t>(index)));
            if (isReset) {
                peer.reset();
            }
        };
}

// A response to a request with this method, and the body that its receiver gets.
struct whole_exchange
{
    std::string method;
    std::string response;
    std::string body;
};

// wholeExchanges returns responses that are whole before their connection ends. Thread safe.
inline std::vector<whole_exchange> wholeExchanges(std::string_view headers = "")
{
    const std::string head = " OK\r\n" + std::string(headers);
    const std::string length = "Content-Length: 6\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    return {{"GET", "HTTP/1.1 200" + head + length + "\r\nanswer", "answer"},
            {"GET", "HTTP/1.0 200" + head + length + "\r\nanswer", "answer"},
            {"GET", "HTTP/1.1 200" + head + length + length + "\r\nanswer", "answer"},
            {"GET", "HTTP/1.1 200" + head + "Content-Length: 0\r\n\r\n", ""},
            {"GET", "HTTP/1.1 200" + head + chunked + "6\r\nanswer\r\n0\r\n\r\n", "answer"},
            {"GET", "HTTP/1.1 200" + head + chunked + "0\r\nX-Sum: 1\r\n\r\n", ""},
            {"GET", "HTTP/1.1 204" + head + "\r\n", ""},
            {"GET", "HTTP/1.1 304" + head + length + "\r\n", ""},
            {"HEAD", "HTTP/1.1 200" + head + length + "\r\n", ""},
            {"HEAD", "HTTP/1.1 200" + head + chunked, ""},
            {"HEAD", "HTTP/1.1 200" + head + "\r\n", ""},
            {"GET", "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200" + head + length + "\r\nanswer", "answer"}};
}

} // namespace pistachioquay::testing
