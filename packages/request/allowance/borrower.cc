#include "request/allowance/borrower.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace pistachioquay {

namespace {

using desk_link = borrower_state::desk_link;

constexpr std::size_t maxReturns = maxAskEntries; // kept for the next ask; further tokens are lost
constexpr unsigned maxTries = 2; // of an ask

bool isSilent(const borrower_state &borrower, std::uint64_t desk)
{
    const auto link = borrower.links.find(desk);
    return link == borrower.links.end() || link->second.isSilent;
}

// Returns the first desk of the group that answers; the first one if none does.
std::uint64_t currentDesk(const borrower_state &borrower, const desk_group &group)
{
    const auto answering = std::ranges::find_if(group, [&](std::uint64_t desk) {
        return !isSilent(borrower, desk);
    });
    return answering != group.end() ? *answering : group.front();
}

// Returns the desks to ask, in order. A desk that still has the right of this node goes before its successor, which has
// no right of this node yet.
std::vector<std::uint64_t> desksToAsk(const borrower_state &borrower, time_point now)
{
    std::vector<std::uint64_t> desks;
    if (now < borrower.lentUntil && !isSilent(borrower, borrower.lentToNode)) {
        desks.push_back(borrower.lentToNode);
    }
    for (const desk_group &group : borrower.groups) {
        desks.push_back(currentDesk(borrower, group));
    }
    return desks;
}

void endTicket(borrower_state &borrower, std::uint64_t id, token_outcome outcome)
{
    outcome.ticket = id;
    outcome.account = borrower.tickets.at(id).account;
    borrower.outcomes.push_back(outcome);
    borrower.tickets.erase(id);
}

// Queues the request for the next desk, or ends it if no other desk is left.
void askNextDesk(borrower_state &borrower, std::uint64_t id, time_point now)
{
    const auto found = borrower.tickets.find(id);
    if (found == borrower.tickets.end()) {
        return;
    }
    borrower_state::ticket_state &ticket = found->second;
    const auto recordDenial = [&](std::int64_t retryAfterMs) {
        ticket.retryAfterMs = std::min(ticket.retryAfterMs.value_or(retryAfterMs), retryAfterMs);
    };
    for (const std::uint64_t desk : desksToAsk(borrower, now)) {
        if (std::ranges::find(ticket.tried, desk) != ticket.tried.end()) {
            continue;
        }
        ticket.tried.push_back(desk);
        desk_link &link = borrower.links.at(desk);
        const auto denied = link.denials.find(ticket.account);
        if (denied != link.denials.end() && now < denied->second.until) {
            recordDenial(denied->second.retryAfterMs);
            continue;
        }
        if (!link.isSilent) {
            link.waiting.push_back(id);
            return;
        }
    }
    token_outcome outcome;
    outcome.result = ticket.retryAfterMs ? token_result::Denied : token_result::Unavailable;
    outcome.retryAfterMs = ticket.retryAfterMs.value_or(0);
    endTicket(borrower, id, outcome);
}

void recordDenial(desk_link &link, const token_grant &grant, time_point now)
{
    std::erase_if(link.denials, [&](const auto &item) {
        return item.second.until <= now;
    });
    const milliseconds stated(std::clamp(grant.retryAfterMs, minAllowanceRetry.count(), maxAllowanceRetry.count()));
    link.denials[grant.account] = {now + std::min(stated, longestDenial), stated.count()};
}

// Returns whether the own right may be counted at the desk from its last stamp on.
bool mayDelegate(const borrower_state &borrower, std::uint64_t desk, const desk_link &link, time_point now)
{
    const bool isFree = borrower.lentTo == link.process || now >= borrower.lentUntil;
    return desk == homeDesk(borrower) && link.process != 0 && isFree && now >= borrower.startedAt + delegationTime
        && now < link.stampReceivedAt + delegationTime;
}

allowance_ask makeAsk(borrower_state &borrower, std::uint64_t desk, desk_link &link, time_point now)
{
    allowance_ask ask;
    ask.node = borrower.node;
    ask.process = borrower.process;
    ask.desk = desk;
    ask.sequence = ++link.sequence;
    ask.nodeCount = borrower.nodeCount;
    ask.deskProcess = link.process;
    ask.stamp = link.stamp;
    ask.delegates = mayDelegate(borrower, desk, link, now);
    if (ask.delegates) {
        // The desk counts from the stamp, which it issued before it was received here.
        const time_point end = link.stampReceivedAt + delegationTime;
        borrower.lentUntil = borrower.lentTo == link.process ? std::max(borrower.lentUntil, end) : end;
        borrower.lentTo = link.process;
        borrower.lentToNode = desk;
    }
    ask.returned = std::exchange(link.returns, {});
    return ask;
}

// Moves waiting tickets into an ask, as many as fit.
void openAsk(borrower_state &borrower, std::uint64_t desk, desk_link &link, time_point now)
{
    borrower_state::open_ask open{makeAsk(borrower, desk, link, now), {}, now};
    std::vector<std::uint64_t> left;
    for (const std::uint64_t id : link.waiting) {
        const auto ticket = borrower.tickets.find(id);
        if (ticket == borrower.tickets.end()) {
            continue;
        }
        std::vector<wanted_tokens> &wanted = open.ask.wanted;
        auto entry = std::ranges::find(wanted, ticket->second.account, &wanted_tokens::account);
        if (entry == wanted.end() && wanted.size() < maxAskEntries) {
            entry = wanted.insert(wanted.end(), {ticket->second.account, 0});
        }
        if (entry == wanted.end() || entry->count >= maxTokensPerEntry) {
            left.push_back(id);
        } else {
            ++entry->count;
            open.tickets.push_back(id);
        }
    }
    link.waiting = std::move(left);
    link.lastAskAt = now;
    link.open = std::move(open);
}

time_point answerDue(const borrower_state::open_ask &open)
{
    return open.sentAt + (open.tries < maxTries ? firstAnswerTimeout : firstAnswerTimeout + secondAnswerTimeout);
}

// Gives an unanswered desk up: its requests ask other desks.
void recordSilence(borrower_state &borrower, desk_link &link, time_point now)
{
    link.isSilent = true;
    std::vector<std::uint64_t> tickets = std::exchange(link.waiting, {});
    tickets.insert(tickets.begin(), link.open->tickets.begin(), link.open->tickets.end());
    link.open.reset();
    for (const std::uint64_t id : tickets) {
        askNextDesk(borrower, id, now);
    }
}

// Returns when the desk gets an ask even if no request waits: it is to keep the own right, or it may answer again.
std::optional<time_point> renewalDue(const borrower_state &borrower, std::uint64_t desk, const desk_link &link)
{
    if (link.isSilent) {
        return link.lastAskAt + probeInterval;
    }
    if (desk != homeDesk(borrower)) {
        return std::nullopt;
    }
    return link.lastAskAt + (borrower.lentTo == link.process ? renewalInterval : firstRenewalInterval);
}

void applyGrant(borrower_state &borrower,
                desk_link &link,
                const allowance_answer &answer,
                const token_grant &grant,
                std::vector<std::uint64_t> &tickets,
                time_point now)
{
    std::uint32_t left = std::min(grant.granted, maxTokensPerEntry);
    for (std::uint64_t &id : tickets) {
        const auto ticket = borrower.tickets.find(id);
        if (left == 0 || ticket == borrower.tickets.end() || ticket->second.account != grant.account) {
            continue;
        }
        --left;
        endTicket(borrower, id, {0, 0, token_result::Granted, 0, answer.desk, answer.deskProcess, answer.stamp});
    }
    for (; left > 0 && link.returns.size() < maxReturns; --left) {
        link.returns.push_back({grant.account, answer.stamp}); // its request was abandoned
    }
    if (grant.canGrant && grant.retryAfterMs > 0) {
        recordDenial(link, grant, now);
        for (const std::uint64_t id : tickets) {
            const auto ticket = borrower.tickets.find(id);
            if (ticket != borrower.tickets.end() && ticket->second.account == grant.account) {
                const std::int64_t stated = link.denials.at(grant.account).retryAfterMs;
                ticket->second.retryAfterMs = std::min(ticket->second.retryAfterMs.value_or(stated), stated);
            }
        }
    }
}

} // namespace

borrower_state makeBorrower(std::uint64_t node, std::uint64_t process, time_point now)
{
    borrower_state borrower;
    borrower.node = node;
    borrower.process = process;
    borrower.startedAt = now;
    return borrower;
}

void setNeeded(borrower_state &borrower, bool isNeeded)
{
    borrower.isNeeded = isNeeded;
    if (isNeeded) {
        return;
    }
    while (!borrower.tickets.empty()) {
        endTicket(borrower, borrower.tickets.begin()->first, {.result = token_result::Granted});
    }
}

void setDesks(borrower_state &borrower, std::vector<desk_group> groups, time_point now)
{
    std::erase_if(groups, [](const desk_group &group) {
        return group.empty();
    });
    borrower.groups = std::move(groups);
    std::map<std::uint64_t, desk_link> before = std::exchange(borrower.links, {});
    const auto keep = [&](std::uint64_t desk) {
        const auto known = before.extract(desk);
        borrower.links.emplace(desk, known ? std::move(known.mapped()) : desk_link{});
    };
    for (const desk_group &group : borrower.groups) {
        std::ranges::for_each(group, keep);
    }
    if (now < borrower.lentUntil && before.contains(borrower.lentToNode)) {
        keep(borrower.lentToNode); // it is still asked until the delegation ends
    }
    for (const auto &[desk, link] : before) {
        std::vector<std::uint64_t> tickets = link.waiting;
        if (link.open) {
            tickets.insert(tickets.end(), link.open->tickets.begin(), link.open->tickets.end());
        }
        for (const std::uint64_t id : tickets) {
            askNextDesk(borrower, id, now);
        }
    }
}

std::uint64_t requestToken(borrower_state &borrower, std::uint64_t account, time_point now)
{
    const std::uint64_t id = ++borrower.lastTicket;
    borrower.tickets[id].account = account;
    askNextDesk(borrower, id, now);
    return id;
}

void abandonToken(borrower_state &borrower, std::uint64_t ticket)
{
    borrower.tickets.erase(ticket);
}

void returnToken(borrower_state &borrower, const token_outcome &outcome)
{
    const auto link = borrower.links.find(outcome.desk);
    if (outcome.result == token_result::Granted && link != borrower.links.end()
        && link->second.process == outcome.deskProcess && link->second.returns.size() < maxReturns) {
        link->second.returns.push_back({outcome.account, outcome.grantStamp});
    }
}

std::vector<allowance_ask> collectAsks(borrower_state &borrower, time_point now)
{
    std::vector<allowance_ask> asks;
    if (!borrower.isNeeded) {
        return asks;
    }
    for (auto &[desk, link] : borrower.links) {
        if (link.open && now >= answerDue(*link.open)) {
            if (link.open->tries < maxTries) {
                ++link.open->tries;
                asks.push_back(link.open->ask);
            } else {
                recordSilence(borrower, link, now);
            }
        }
    }
    for (auto &[desk, link] : borrower.links) {
        const auto renewal = renewalDue(borrower, desk, link);
        const bool hasContent = !link.waiting.empty() || !link.returns.empty();
        if (!link.open && (hasContent || (renewal && now >= *renewal))) {
            openAsk(borrower, desk, link, now);
            asks.push_back(link.open->ask);
        }
    }
    return asks;
}

void receiveAnswer(borrower_state &borrower, const allowance_answer &answer, time_point now)
{
    const auto found = borrower.links.find(answer.desk);
    if (found == borrower.links.end() || answer.process != borrower.process || answer.deskProcess == 0) {
        return;
    }
    desk_link &link = found->second;
    link.isSilent = link.isSilent && answer.sequence + 1 < link.sequence;
    if (!link.open || link.open->ask.sequence != answer.sequence) {
        return;
    }
    const bool isOtherProcess = link.process != answer.deskProcess;
    if (isOtherProcess) {
        link.returns.clear();
        link.denials.clear();
    }
    if (isOtherProcess || answer.stamp > link.stamp) {
        link.process = answer.deskProcess;
        link.stamp = answer.stamp;
        link.stampReceivedAt = now;
    }
    std::vector<std::uint64_t> tickets = std::move(link.open->tickets);
    link.open.reset();
    for (const token_grant &grant : answer.grants) {
        applyGrant(borrower, link, answer, grant, tickets, now);
    }
    for (const std::uint64_t id : tickets) {
        askNextDesk(borrower, id, now);
    }
}

std::vector<token_outcome> takeOutcomes(borrower_state &borrower)
{
    return std::exchange(borrower.outcomes, {});
}

time_point nextWake(const borrower_state &borrower, time_point now)
{
    time_point wake = now + renewalInterval;
    for (const auto &[desk, link] : borrower.links) {
        if (link.open) {
            wake = std::min(wake, answerDue(*link.open));
        } else if (const auto renewal = renewalDue(borrower, desk, link)) {
            wake = std::min(wake, *renewal);
        }
    }
    return std::max(wake, now);
}

std::uint64_t homeDesk(const borrower_state &borrower)
{
    return borrower.groups.empty() ? 0 : currentDesk(borrower, borrower.groups.front());
}

} // namespace pistachioquay
