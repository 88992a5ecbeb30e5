// Guards against a damaged or inconsistent response that passes as records: a fold of such records would fork the
// configuration.
#include <catch2/catch.hpp>

#include "connection/log_client/log_response.h"
#include "testing/property.h"

using namespace pistachioquay;
using internal::decodeBatch;
using internal::decodeOffset;
using internal::read_request;

namespace {

std::string record(std::uint64_t offset, std::string_view data = "b25l")
{
    return R"({"offset": )" + std::to_string(offset) + R"(, "time_ms": 5, "data": ")" + std::string(data) + R"("})";
}

std::string batch(std::uint64_t first, std::uint64_t next, const std::string &records)
{
    return R"({"first": )" + std::to_string(first) + R"(, "next": )" + std::to_string(next) + R"(, "records": [)"
        + records + "]}";
}

bool isRefused(const std::string &body, const read_request &request = {1, 100})
{
    const auto tried = attempt([&] {
        return decodeBatch(body, request);
    });
    return !tried && tried.failure().kind == error_kind::Corrupt;
}

bool isAccepted(const std::string &body, const read_request &request = {1, 100})
{
    return static_cast<bool>(attempt([&] {
        return decodeBatch(body, request);
    }));
}

} // namespace

TEST_CASE("contiguous batches are accepted")
{
    CHECK(isAccepted(batch(1, 1, "")));
    CHECK(isAccepted(batch(1, 3, record(1) + "," + record(2))));
    CHECK(isAccepted(batch(1, 9, record(4)), {4, 100}));
    CHECK(isAccepted(batch(5, 9, record(5)), {1, 100}));
    CHECK(isAccepted(batch(5, 5, ""), {1, 100}));
    CHECK(isAccepted(batch(2, 9, record(8)), {std::nullopt, 1}));
    CHECK(isAccepted(batch(9, 9, ""), {std::nullopt, 1}));
}

TEST_CASE("gaps, repeats and offsets outside the stream are refused")
{
    CHECK(isRefused(batch(1, 9, record(1) + "," + record(3))));
    CHECK(isRefused(batch(1, 9, record(1) + "," + record(1))));
    CHECK(isRefused(batch(1, 9, record(2))));
    CHECK(isRefused(batch(1, 2, record(1) + "," + record(2))));
    CHECK(isRefused(batch(3, 9, record(1))));
    CHECK(isRefused(batch(9, 3, "")));
    CHECK(isRefused(batch(1, 4, ""), {7, 100}));
    CHECK(isRefused(batch(1, 9, record(7)), {std::nullopt, 1}));
    CHECK(isRefused(batch(1, 9, ""), {std::nullopt, 1}));
    CHECK(isRefused(batch(1, 9, record(1) + "," + record(2)), {1, 1}));
}

TEST_CASE("malformed texts and fields are refused")
{
    for (const char *text : {"",
                             "[]",
                             "null",
                             "<html>",
                             "{}",
                             R"({"first": 1, "next": 1})",
                             R"({"first": 0, "next": 1, "records": []})",
                             R"({"first": 1, "next": "1", "records": []})",
                             R"({"first": 1, "next": 1, "records": {}})",
                             R"({"first": 1, "next": 1, "records": []} trailing)",
                             R"({"first": 1, "first": 1, "next": 1, "records": []})",
                             R"({"first": 1, "next": 2, "records": [7]})",
                             R"({"first": 1, "next": 2, "records": [{"offset": 1, "data": ""}]})",
                             R"({"first": 1, "next": 2, "records": [{"offset": 1, "time_ms": -1, "data": ""}]})",
                             R"({"first": 1, "next": 2, "records": [{"offset": 1, "time_ms": 1}]})",
                             R"({"first": 1, "next": 2, "records": [{"offset": -1, "time_ms": 1, "data": ""}]})"}) {
        CAPTURE(text);
        CHECK(isRefused(text));
    }
}

TEST_CASE("bad base64 is refused, and good base64 is decoded")
{
    for (const char *data : {"b25", "b25l=", "b2=l", "b===", "====", "b25*", "b25-", "b 5l", "b25lb"}) {
        CAPTURE(data);
        CHECK(isRefused(batch(1, 2, record(1, data))));
    }
    const auto decoded = attempt([] {
        return decodeBatch(batch(1, 4, record(1, "") + "," + record(2, "b24=") + "," + record(3, "bw==")), {1, 9});
    });
    REQUIRE(decoded);
    CHECK(decoded->records[0].data.empty());
    CHECK(decoded->records[1].data == "on");
    CHECK(decoded->records[2].data == "o");
}

TEST_CASE("a batch that is cut off anywhere is refused")
{
    const std::string whole = batch(1, 3, record(1) + "," + record(2));
    for (std::size_t size = 0; size < whole.size(); ++size) {
        CHECK(isRefused(whole.substr(0, size)));
    }
}

TEST_CASE("any accepted batch has contiguous offsets from the requested one on")
{
    const bool isKept = holds("an accepted batch answers the request", 100, [] {
        const auto first = *rc::gen::inRange<std::uint64_t>(1, 5);
        const auto next = *rc::gen::inRange<std::uint64_t>(1, 8);
        const auto from = *rc::gen::inRange<std::uint64_t>(1, 8);
        const auto offsets = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 8));
        std::string records;
        for (const std::uint64_t offset : offsets) {
            records += (records.empty() ? "" : ",") + record(offset);
        }
        const auto decoded = attempt([&] {
            return decodeBatch(batch(first, next, records), {from, 100});
        });
        std::uint64_t expected = std::max(from, first);
        bool isRight = first <= next && from <= next;
        for (const std::uint64_t offset : offsets) {
            isRight = isRight && offset == expected++ && offset < next;
        }
        RC_ASSERT(static_cast<bool>(decoded) == isRight);
    });
    CHECK(isKept);
}

TEST_CASE("an append response needs a positive offset")
{
    CHECK(*attempt([] {
        return decodeOffset(R"({"offset": 7})");
    }) == 7);
    for (const char *text : {"", "{}", R"({"offset": 0})", R"({"offset": "7"})", R"({"offset": 7)"}) {
        CAPTURE(text);
        const auto tried = attempt([&] {
            return decodeOffset(text);
        });
        REQUIRE_FALSE(tried);
        CHECK(tried.failure().kind == error_kind::Corrupt);
    }
}
