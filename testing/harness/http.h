// Simple HTTP calls of tests.
//
//   const http_answer answer = httpGet(address, "/status");
//   REQUIRE(answer.status == 200);
//   const http_answer created = httpPost(address, "/orders", "body", {{"Idempotency-Key", "k1"}});
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/endpoint.h"

namespace pistachioquay {

using http_headers = std::map<std::string, std::string>;

struct test_call
{
    std::string method = "GET";
    endpoint address;
    std::string path = "/";
    http_headers headers;
    std::string body;
    milliseconds timeout{10'000};
};

// `status` is 0 if no response came. `isWhole` is false if the call failed at any point, also in the middle of a body.
struct http_answer
{
    long status = 0;
    http_headers headers; // names in lower case
    std::string body;
    milliseconds time{0};
    bool isWhole = false;
    std::string failure; // why the call is not whole

    friend bool operator==(const http_answer &, const http_answer &) = default;
};

// httpCall sends one request on a connection of its own and waits for the whole response. Thread safe.
http_answer httpCall(const test_call &call);

// httpGet sends a GET. Thread safe.
http_answer httpGet(const endpoint &address, std::string_view path, const http_headers &headers = {});

// httpPost sends a POST. Thread safe.
http_answer
httpPost(const endpoint &address, std::string_view path, std::string_view body, const http_headers &headers = {});

// headerOf returns a response header by its lower-case name, or an empty text. Thread safe.
std::string headerOf(const http_answer &answer, const std::string &name);

// waitForHttp waits until a GET of `path` is answered with `status`. Thread safe.
bool waitForHttp(const endpoint &address, std::string_view path, long status, milliseconds atMost);

} // namespace pistachioquay
