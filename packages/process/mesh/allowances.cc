#include "process/mesh/allowances.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "base/hash.h"

namespace pistachioquay::internal {

namespace {

constexpr milliseconds desksRefreshInterval{250}; // as for the workers of a service
constexpr std::size_t desksPerDataCentre = 3; // candidates: the one in use and two for when it does not answer
constexpr std::size_t maxDataCentres = 16; // whose desks are asked
constexpr milliseconds maxTokenWait{
    1500}; // longest wait of a request; three data centres without an answer take 600 ms
constexpr seconds deniedLogInterval{10}; // between log lines about one account
constexpr unsigned maxLocalRounds = 4; // asks to the own desk are answered at once and may cause further ones

// Returns the time by a clock that also runs while the VM is suspended, unlike the steady clock. A delegation must not
// last longer at a desk whose VM was suspended.
time_point allowanceNow()
{
    return time_point(std::chrono::duration_cast<duration>(bootNow().time_since_epoch()));
}

std::unordered_map<std::uint64_t, allowance_limit> limitsOf(const account_table &table)
{
    std::unordered_map<std::uint64_t, allowance_limit> limits;
    for (const client_account &account : table.accounts) {
        if (account.ratePerS > 0 && std::isfinite(account.ratePerS) && std::isfinite(account.burst)) {
            limits[hash64(account.name)] = {account.ratePerS, std::max(0.0, account.burst)};
        }
    }
    return limits;
}

// A node that may be a desk. Nodes with the fastest links come first, because all nodes of the data centre ask them.
struct desk_candidate
{
    std::uint32_t slowness = 0;
    std::uint64_t node = 0;
    std::string nodeId;
    endpoint address;

    friend auto operator<=>(const desk_candidate &, const desk_candidate &) = default;
};

desk_candidate candidateOf(double linkBytesPerMs, const std::string &nodeId, const endpoint &address)
{
    return {UINT32_MAX - static_cast<std::uint32_t>(linkBytesPerMs), hash64(nodeId), nodeId, address};
}

// Returns the number of nodes; 0 if it is not known yet. A node that knows only a part of them would take too large a
// share: before it has read the directory, or if the store has lost the records of the others and none was heard yet.
std::uint32_t knownNodes(const mesh_context &context)
{
    const auto &nodes = context.fleet.nodes;
    const bool isKnown = context.directoryNodes > 0 && (context.isDirectoryComplete || !nodes.empty());
    if (!isKnown) {
        return 0;
    }
    const std::size_t own = std::max(context.directoryNodes, nodes.size() + 1);
    return std::accumulate(nodes.begin(),
                           nodes.end(),
                           static_cast<std::uint32_t>(own),
                           [](std::uint32_t most, const auto &item) {
                               const std::uint32_t told = item.second.record.nodesKnown;
                               return std::max(most, std::min(told, static_cast<std::uint32_t>(maxNodes)));
                           });
}

} // namespace

allowance_keeper::allowance_keeper(mesh_context &context, send_function send)
    : m_context(context)
    , m_send(std::move(send))
    , m_timer(context.executor)
{
}

void allowance_keeper::start()
{
    const time_point now = allowanceNow();
    const std::uint64_t node = hash64(m_context.options.nodeId);
    m_desk = makeDesk(node, m_context.processId, m_context.options.allowances, now);
    m_borrower = makeBorrower(node, m_context.processId, now);
    spawnDuty(
        m_context.executor,
        "allowances",
        [this] {
            return exchangeLoop();
        },
        failureReporter(m_context));
}

void allowance_keeper::stop()
{
    m_timer.cancel();
}

awaitable<void> allowance_keeper::exchangeLoop()
{
    while (!m_context.isStopped) {
        const time_point now = allowanceNow();
        applyConfig(now);
        exchange(now);
        m_wakeAt = nextWake(m_borrower, now);
        m_timer.expires_after(m_wakeAt - now);
        co_await m_timer.async_wait(awaitResult);
    }
}

// Applies the limits of a new configuration.
void allowance_keeper::applyConfig(time_point now)
{
    if (m_table == m_context.config.table) {
        return;
    }
    const bool isSame = m_table != nullptr && m_table->accounts.accounts == m_context.config.table->accounts.accounts;
    m_table = m_context.config.table;
    if (isSame) {
        return;
    }
    const auto limits = limitsOf(m_table->accounts);
    setLimits(m_desk, limits, now);
    setNeeded(m_borrower, !limits.empty());
    m_deniedLoggedAt.clear();
    m_context.log(log_line("allowance", "limits").add("version", m_table->version).add("accounts", limits.size()));
}

void allowance_keeper::refreshDesks(time_point now)
{
    if (now - m_desksAt < desksRefreshInterval) {
        return;
    }
    m_desksAt = now;
    const mesh_options &options = m_context.options;
    const fleet_state &fleet = m_context.fleet;
    m_borrower.nodeCount = knownNodes(m_context);
    setNodeCount(m_desk, m_borrower.nodeCount, now);

    std::map<std::string, std::vector<desk_candidate>> byDataCentre;
    for (const auto &[id, node] : fleet.nodes) {
        const node_record &record = node.record;
        if (!record.isLeaving && !isSilent(fleet, node, steadyNow())) {
            byDataCentre[record.dataCentre].push_back(candidateOf(record.linkBytesPerMs, id, record.gossip));
        }
    }
    const desk_candidate own = candidateOf(options.linkBytesPerMs, options.nodeId, options.gossip);
    std::vector<desk_candidate> home = std::move(byDataCentre[options.dataCentre]);
    byDataCentre.erase(options.dataCentre);
    std::vector<desk_group> groups;
    m_deskAddresses.clear();
    const auto addGroup = [&](std::vector<desk_candidate> candidates, bool isHome) {
        std::ranges::sort(candidates);
        candidates.resize(std::min(candidates.size(), desksPerDataCentre));
        if (isHome && !m_context.isStopping && std::ranges::find(candidates, own) == candidates.end()) {
            candidates.push_back(own); // grants its own part if no other node answers
        }
        desk_group &group = groups.emplace_back();
        for (const desk_candidate &candidate : candidates) {
            group.push_back(candidate.node);
            m_deskAddresses[candidate.node] = {candidate.nodeId, candidate.address};
        }
    };
    if (!m_context.isStopping) {
        home.push_back(own);
    }
    addGroup(std::move(home), true);
    for (auto &[dataCentre, candidates] : byDataCentre) {
        if (groups.size() < maxDataCentres) {
            addGroup(std::move(candidates), false);
        }
    }
    setDesks(m_borrower, std::move(groups), now);
    const std::uint64_t desk = homeDesk(m_borrower);
    if (desk != m_loggedDesk) {
        m_loggedDesk = desk;
        m_context.log(log_line("allowance", "desk-changed").add("desk", deskName()));
    }
}

std::string allowance_keeper::deskName() const
{
    const auto found = m_deskAddresses.find(homeDesk(m_borrower));
    return found == m_deskAddresses.end() ? "" : found->second.nodeId;
}

// Sends what is due to the desks, and resumes the requests that have their outcome.
void allowance_keeper::exchange(time_point now)
{
    if (m_borrower.isNeeded) {
        refreshDesks(now);
    }
    bool isDone = false;
    for (unsigned round = 0; round < maxLocalRounds && !isDone; ++round) {
        isDone = true;
        for (const allowance_ask &ask : collectAsks(m_borrower, now)) {
            if (ask.desk == m_borrower.node) {
                isDone = false;
                receiveAnswer(m_borrower, handleAsk(m_desk, ask, now).value_or(allowance_answer{}), now);
            } else if (const auto to = m_deskAddresses.find(ask.desk); to != m_deskAddresses.end()) {
                m_send(to->second.address, ask);
            }
        }
    }
    resumeEnded();
    if (nextWake(m_borrower, now) < m_wakeAt) {
        m_timer.cancel();
    }
}

void allowance_keeper::resumeEnded()
{
    for (const token_outcome &outcome : takeOutcomes(m_borrower)) {
        const auto found = m_waiters.find(outcome.ticket);
        if (found == m_waiters.end()) {
            continue;
        }
        found->second->outcome = outcome;
        found->second->ended.notify();
    }
}

awaitable<token_outcome> allowance_keeper::acquire(const client_account &account, cancellation_token &cancellation)
{
    const time_point now = allowanceNow();
    applyConfig(now);
    const std::uint64_t key = hash64(account.name);
    if (account.ratePerS <= 0 || !m_borrower.isNeeded) {
        co_return token_outcome{.account = key, .result = token_result::Granted};
    }
    const std::uint64_t ticket = requestToken(m_borrower, key, now);
    const auto waiting = std::make_shared<waiter>(m_context.executor);
    m_waiters[ticket] = waiting;
    exchange(now);
    cancellation.onCancel([waiting] {
        waiting->ended.notify();
    });
    if (cancellation.isCancelled()) {
        waiting->ended.notify();
    }
    co_await waiting->ended.waitUntil(steadyNow() + maxTokenWait);
    cancellation.onCancel(nullptr);
    m_waiters.erase(ticket);
    if (waiting->outcome.ticket != ticket) {
        abandonToken(m_borrower, ticket);
    }
    const token_outcome outcome = waiting->outcome;
    m_context.metrics.count(outcome.result == token_result::Granted      ? "allowance_requests_granted_total"
                                : outcome.result == token_result::Denied ? "allowance_requests_denied_total"
                                                                         : "allowance_requests_undecided_total");
    if (outcome.result == token_result::Denied) {
        logDenied(account.name, outcome, allowanceNow());
    }
    co_return outcome;
}

void allowance_keeper::giveBack(const token_outcome &token)
{
    returnToken(m_borrower, token);
    exchange(allowanceNow());
}

void allowance_keeper::onAsk(const allowance_ask &ask, const endpoint &from)
{
    if (ask.desk != m_desk.node) {
        return;
    }
    const time_point now = allowanceNow();
    applyConfig(now);
    if (const auto answer = handleAsk(m_desk, ask, now)) {
        m_send(from, *answer);
    }
}

void allowance_keeper::onAnswer(const allowance_answer &answer)
{
    const time_point now = allowanceNow();
    receiveAnswer(m_borrower, answer, now);
    exchange(now);
}

void allowance_keeper::logDenied(const std::string &name, const token_outcome &outcome, time_point now)
{
    const auto [logged, isNew] = m_deniedLoggedAt.try_emplace(outcome.account, now);
    if (!isNew && now - logged->second < deniedLogInterval) {
        return;
    }
    logged->second = now;
    m_context.log(
        log_line("allowance", "account-over").add("account", name).add("retry_after_ms", outcome.retryAfterMs));
}

std::string allowance_keeper::metricsText() const
{
    if (!m_borrower.isNeeded) {
        return {};
    }
    const auto line = [](const std::string &name, auto value) {
        return "pistachioquay_allowance_" + name + " " + std::to_string(value) + "\n";
    };
    const bool isDelegated = allowanceNow() < m_borrower.lentUntil;
    return line("desk{node=\"" + deskName() + "\"}", 1) + line("delegated", isDelegated ? 1 : 0)
        + line("requests_waiting", m_waiters.size()) + line("desk_members", m_desk.members.size())
        + line("desk_nodes", m_desk.nodeCount) + line("desk_tokens_granted_total", m_desk.counters.granted)
        + line("desk_tokens_denied_total", m_desk.counters.denied)
        + line("desk_tokens_returned_total", m_desk.counters.returned);
}

} // namespace pistachioquay::internal
