// Messages between a node and a desk, which grants the requests of client accounts within their allowances.
//
//   const allowance_ask ask{.node = own, .process = process, .sequence = 1, .wanted = {{account, 2}}};
//   const std::optional<allowance_answer> answer = handleAsk(desk, ask, now);
//
// Accounts and nodes are named by the hash of their names (`hash64`). A node has at most one ask to a desk without an
// answer; it repeats a lost one with the same sequence, and the desk then repeats its answer.
#pragma once

#include <cstdint>
#include <vector>

namespace pistachioquay {

inline constexpr std::size_t maxAskEntries = 64; // accounts in an ask, so that it fits into one datagram
inline constexpr std::uint32_t maxTokensPerEntry = 1000; // larger numbers of an ask count as this

// Requests of one account that wait for tokens. Each request needs one token.
struct wanted_tokens
{
    std::uint64_t account = 0;
    std::uint32_t count = 0;

    friend auto operator<=>(const wanted_tokens &, const wanted_tokens &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(account, count);
    }
};

// A token that was not used, because its request ended without having reached a worker.
struct returned_token
{
    std::uint64_t account = 0;
    std::int64_t grantStamp = 0; // stamp of the answer that granted it

    friend auto operator<=>(const returned_token &, const returned_token &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(account, grantStamp);
    }
};

struct allowance_ask
{
    std::uint64_t node = 0; // that asks
    std::uint64_t process = 0; // of that node
    std::uint64_t desk = 0; // node that is asked
    std::uint64_t sequence = 0; // ascending for each process and desk
    std::uint32_t nodeCount = 0; // nodes that the sender knows; 0: not known yet
    bool delegates = false; // lends the right of the sender to the desk, from `stamp` on
    std::uint64_t deskProcess = 0; // that issued `stamp`
    std::int64_t stamp = 0; // last stamp received from the desk
    std::vector<wanted_tokens> wanted;
    std::vector<returned_token> returned;

    friend bool operator==(const allowance_ask &, const allowance_ask &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(node, process, desk, sequence, nodeCount, delegates, deskProcess, stamp, wanted, returned);
    }
};

// What a desk has decided for the waiting requests of one account.
struct token_grant
{
    std::uint64_t account = 0;
    std::uint32_t granted = 0; // number of tokens, at most as many as were asked for
    bool canGrant = false; // the desk knows the account and may grant tokens at times; false: it decides nothing
    std::int64_t retryAfterMs = 0; // until there is a token for a request that got none

    friend auto operator<=>(const token_grant &, const token_grant &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(account, granted, canGrant, retryAfterMs);
    }
};

struct allowance_answer
{
    std::uint64_t desk = 0; // node that answers
    std::uint64_t deskProcess = 0;
    std::int64_t stamp = 0; // microseconds by the clock of the desk; only the desk interprets it
    std::uint64_t process = 0; // of the ask
    std::uint64_t sequence = 0; // of the ask
    std::vector<token_grant> grants;

    friend bool operator==(const allowance_answer &, const allowance_answer &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(desk, deskProcess, stamp, process, sequence, grants);
    }
};

} // namespace pistachioquay
