// Heads of HTTP/1.1 messages, as the server and the client exchange them with their users.
//
//   const request_head head{"GET", "/orders/7?full=1", {{"Accept", "text/plain"}}, 0, false};
//   const auto type = findHeader(head.headers, "accept");
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachioquay {

// One header line.
struct header_field
{
    std::string name;
    std::string value;

    friend bool operator==(const header_field &, const header_field &) = default;
};

using header_list = std::vector<header_field>;

// Request line and headers.
struct request_head
{
    std::string method;
    std::string target; // as sent, with the query
    header_list headers;
    std::optional<std::uint64_t> bodyLength = 0; // empty: chunked
    bool expectsContinue = false; // the sender waits for "100 Continue" before it sends the body

    friend bool operator==(const request_head &, const request_head &) = default;
};

// Status and headers of a final response.
struct response_head
{
    unsigned status = 0;
    header_list headers;
    std::optional<std::uint64_t> bodyLength; // empty: chunked

    friend bool operator==(const response_head &, const response_head &) = default;
};

// How a read of a body ended.
enum class read_state
{
    Data,
    End, // the body is complete
    Cut, // the body ended before its announced end
};

// Result of one read: `bytes` is above 0 only for Data.
struct read_result
{
    read_state state = read_state::End;
    std::size_t bytes = 0;

    friend bool operator==(const read_result &, const read_result &) = default;
};

// Fills a part of the buffer; blocks until there is at least one byte or the body ends.
using body_reader = std::function<read_result(std::span<char>)>;

// A response to send. The body is `text`, or what `read` returns if `read` is set. Status 0 closes the connection
// without a response.
struct http_response
{
    response_head head;
    std::string text;
    body_reader read;
};

// setBody gives a response a whole body, which is sent in one piece with the head, or the reader of one to stream. HEAD
// responses keep the announced length and have no body. Not thread safe for one response.
void setBody(http_response &response, std::optional<std::string> whole, body_reader read);

// textResponse builds a response with a whole body. Thread safe.
http_response textResponse(unsigned status, std::string_view contentType, std::string text);

// isSameHeaderName compares header names without regard to case. Thread safe.
bool isSameHeaderName(std::string_view left, std::string_view right);

// isHeaderName returns whether `text` is a token, as RFC 9110 requires of the name of a header. Thread safe.
bool isHeaderName(std::string_view text);

// isHeaderValue returns whether `text` has no control characters other than tabs. Thread safe.
bool isHeaderValue(std::string_view text);

// findHeader returns the value of the first header with this name. Thread safe. The view lives as long as `headers`.
std::optional<std::string_view> findHeader(const header_list &headers, std::string_view name);

// eraseHeader removes all headers with this name. Not thread safe for one list.
void eraseHeader(header_list &headers, std::string_view name);

// setHeader replaces all headers with this name by one. Not thread safe for one list.
void setHeader(header_list &headers, std::string_view name, std::string_view value);

// endToEndHeaders returns the headers that a proxy forwards: without the hop-by-hop headers, those that `Connection`
// names, and the framing (`Content-Length`, `Transfer-Encoding`, `Expect`), which each hop sets itself. Thread safe.
header_list endToEndHeaders(const header_list &headers);

// pathOf returns the target without its query. Thread safe. The view lives as long as `target`.
std::string_view pathOf(std::string_view target);

// parseCount reads a decimal number without sign; empty for any other text or on overflow. Thread safe.
std::optional<std::uint64_t> parseCount(std::string_view text);

// isBodiless is true if a response to `method` with this status has no body by definition. Thread safe.
bool isBodiless(std::string_view method, unsigned status);

} // namespace pistachioquay
