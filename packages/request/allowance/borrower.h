// Borrower: a node's side of the allowances of client accounts. It obtains a token from a desk for each request, and
// decides to which desk the node delegates its own right (see desk.h).
//
//   setDesks(borrower, groups, now);                            // when the fleet has changed
//   const std::uint64_t ticket = requestToken(borrower, account, now);
//   for (const allowance_ask &ask : collectAsks(borrower, now)) send(ask);  // after each change, and at `nextWake`
//   receiveAnswer(borrower, answer, now);
//   for (const token_outcome &outcome : takeOutcomes(borrower)) resume(outcome);
//
// A request asks the desk of the own data centre first, then those of the other data centres. A desk has at most one
// ask of the node without an answer; further requests wait for the answer and are sent in one ask.
//
// Load pattern: one account sends many times its usual load. A denied account does not ask the same desk again before
// there can be a token, so the load causes no flood of asks; other accounts do not wait for it.
//
// Not thread safe: the functions work on the state of one event loop. `now` must come from a clock that also runs while
// the VM is suspended.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "request/allowance/desk.h"
#include "request/allowance/exchange.h"

namespace pistachioquay {

inline constexpr milliseconds renewalInterval{300}; // a delegation survives the loss of two renewals
inline constexpr milliseconds firstRenewalInterval{100}; // while the own right is not delegated
inline constexpr milliseconds probeInterval{500}; // of a desk that has not answered
inline constexpr milliseconds firstAnswerTimeout{60}; // then the ask is repeated
inline constexpr milliseconds secondAnswerTimeout{140}; // then other desks are asked
inline constexpr milliseconds longestDenial{100}; // longest time for which a desk is not asked again for an account

// How a request for a token ended.
enum class token_result : std::uint8_t
{
    Granted,
    Denied, // the account is over its allowance
    Unavailable, // no desk has answered that can grant tokens of the account
};

struct token_outcome
{
    std::uint64_t ticket = 0;
    std::uint64_t account = 0;
    token_result result = token_result::Unavailable;
    std::int64_t retryAfterMs = 0; // until there may be a token; if Denied
    std::uint64_t desk = 0; // that granted the token
    std::uint64_t deskProcess = 0;
    std::int64_t grantStamp = 0;

    friend auto operator<=>(const token_outcome &, const token_outcome &) = default;
};

// Nodes of one data centre that may be its desk, in the order of preference. All nodes compute the same order from the
// same view of the fleet.
using desk_group = std::vector<std::uint64_t>;

struct borrower_state
{
    struct denial
    {
        time_point until; // the desk is not asked before
        std::int64_t retryAfterMs = 0; // as the desk has stated
    };
    struct open_ask
    {
        allowance_ask ask;
        std::vector<std::uint64_t> tickets;
        time_point sentAt;
        unsigned tries = 1;
    };
    struct desk_link
    {
        std::uint64_t process = 0; // of the desk; 0: it has not answered yet
        std::int64_t stamp = 0;
        time_point stampReceivedAt;
        time_point lastAskAt;
        std::uint64_t sequence = 0;
        std::optional<open_ask> open;
        std::vector<std::uint64_t> waiting; // tickets for the next ask
        std::vector<returned_token> returns; // for the next ask
        std::unordered_map<std::uint64_t, denial> denials; // by account
        bool isSilent = false; // the last ask was not answered
    };
    struct ticket_state
    {
        std::uint64_t account = 0;
        std::vector<std::uint64_t> tried; // desks
        std::optional<std::int64_t> retryAfterMs; // shortest one of the desks that have denied
    };

    std::uint64_t node = 0;
    std::uint64_t process = 0;
    std::uint32_t nodeCount = 0; // nodes that this node knows; 0: not known yet
    bool isNeeded = false; // an account has a limit; otherwise nothing is sent
    time_point startedAt;
    std::uint64_t lentTo = 0; // process of the desk to which the own right is delegated
    std::uint64_t lentToNode = 0;
    time_point lentUntil;
    std::vector<desk_group> groups; // the one of the own data centre is the first
    std::map<std::uint64_t, desk_link> links; // by node of the desk
    std::unordered_map<std::uint64_t, ticket_state> tickets;
    std::uint64_t lastTicket = 0;
    std::vector<token_outcome> outcomes;
};

// makeBorrower returns the state of a process that starts now. It does not delegate its right before a delegation of an
// earlier process of the node must have ended.
borrower_state makeBorrower(std::uint64_t node, std::uint64_t process, time_point now);

// setNeeded starts or ends the use of desks. Without a limit of any account, nothing is sent, and the requests that
// still wait get their tokens.
void setNeeded(borrower_state &borrower, bool isNeeded);

// setDesks replaces the desks. The group of the own data centre is the first one.
void setDesks(borrower_state &borrower, std::vector<desk_group> groups, time_point now);

// requestToken starts a request for a token and returns its ticket. The outcome may be available at once.
std::uint64_t requestToken(borrower_state &borrower, std::uint64_t account, time_point now);

// abandonToken ends a request for a token whose outcome is no longer needed. A token that arrives later is returned.
void abandonToken(borrower_state &borrower, std::uint64_t ticket);

// returnToken returns a token whose request ended without having reached a worker.
void returnToken(borrower_state &borrower, const token_outcome &outcome);

// collectAsks returns the asks to send now: new ones, repeated ones and renewals of the delegation.
std::vector<allowance_ask> collectAsks(borrower_state &borrower, time_point now);

// receiveAnswer applies the answer of a desk. One that no open ask of this process has caused is ignored.
void receiveAnswer(borrower_state &borrower, const allowance_answer &answer, time_point now);

// takeOutcomes returns the requests for tokens that have ended since the last call.
std::vector<token_outcome> takeOutcomes(borrower_state &borrower);

// nextWake returns when `collectAsks` must be called next if nothing happens before.
time_point nextWake(const borrower_state &borrower, time_point now);

// homeDesk returns the desk of the own data centre that the node prefers; 0: none is known.
std::uint64_t homeDesk(const borrower_state &borrower);

} // namespace pistachioquay
