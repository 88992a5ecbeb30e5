// Takes a token for each request of a client account with an allowance, and grants tokens to other nodes as a desk.
// Decisions are in request/allowance. Private to the mesh library.
//
//   allowances.start();
//   const token_outcome token = co_await allowances.acquire(*account, cancellation);
//   if (token.result != token_result::Granted) return refuse(token);
//   ...
//   if (!hasReachedWorker) allowances.giveBack(token);
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "connection/loop/async_event.h"
#include "connection/loop/http_client.h"
#include "process/mesh/context.h"
#include "request/allowance/borrower.h"
#include "request/allowance/desk.h"

namespace pistachioquay::internal {

// Not thread safe: belongs to one loop.
class allowance_keeper
{
public:
    using send_function = std::function<void(const endpoint &to, const mesh_datagram &datagram)>;

    allowance_keeper(mesh_context &context, send_function send);

    // start starts the exchange with the desks on the loop.
    void start();
    // stop wakes the task, which ends if the node is stopped.
    void stop();
    // acquire waits for the token of a request. Accounts without a limit get theirs at once. `cancellation` ends the
    // wait.
    awaitable<token_outcome> acquire(const client_account &account, cancellation_token &cancellation);
    // giveBack returns the token of a request that ended without having reached a worker.
    void giveBack(const token_outcome &token);
    // onAsk answers another node, and onAnswer applies the answer of a desk.
    void onAsk(const allowance_ask &ask, const endpoint &from);
    void onAnswer(const allowance_answer &answer);
    // metricsText returns the state of the own desk and of the delegation in the Prometheus text format.
    std::string metricsText() const;

private:
    // A request that waits for its token.
    struct waiter
    {
        explicit waiter(const net::any_io_executor &executor)
            : ended(executor)
        {
        }
        token_outcome outcome; // its ticket is set when the wait has ended
        async_event ended;
    };
    struct desk_address
    {
        std::string nodeId;
        endpoint address;
    };

    awaitable<void> exchangeLoop();
    void applyConfig(time_point now);
    void refreshDesks(time_point now);
    void exchange(time_point now);
    void resumeEnded();
    std::string deskName() const;
    void logDenied(const std::string &name, const token_outcome &outcome, time_point now);

    mesh_context &m_context;
    send_function m_send;
    net::steady_timer m_timer;
    desk_state m_desk;
    borrower_state m_borrower;
    std::shared_ptr<const route_table> m_table; // whose limits are applied
    std::unordered_map<std::uint64_t, desk_address> m_deskAddresses; // by node
    std::unordered_map<std::uint64_t, std::shared_ptr<waiter>> m_waiters; // by ticket
    std::unordered_map<std::uint64_t, time_point> m_deniedLoggedAt; // by account
    time_point m_desksAt; // of the last refresh
    time_point m_wakeAt; // when `m_timer` expires
    std::uint64_t m_loggedDesk = 0;
};

} // namespace pistachioquay::internal
