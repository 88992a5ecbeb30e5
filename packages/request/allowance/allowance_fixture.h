// Nodes that obtain tokens from desks over a network which delays, loses and repeats messages, on a simulated clock.
//
//   allowance_world world(6, 2, rules);
//   world.setLimitsEverywhere({{account, {20, 5}}});
//   world.request(0, account);
//   world.run(milliseconds(5));
#pragma once

#include <algorithm>
#include <variant>

#include "base/random.h"
#include "request/allowance/borrower.h"

namespace pistachioquay::testing {

using limit_map = std::unordered_map<std::uint64_t, allowance_limit>;

class allowance_world
{
public:
    // A request whose token was used: when its client sent it, and when it reached a worker.
    struct used_token
    {
        time_point sentAt;
        time_point usedAt;
        std::uint64_t account = 0;
    };
    struct node
    {
        std::uint64_t key = 0;
        std::uint64_t process = 0;
        std::size_t dataCentre = 0;
        duration clockOffset{0}; // the clocks of the nodes differ
        borrower_state borrower;
        desk_state desk;
        bool isRunning = true;
        bool isCut = false;
        time_point frozenUntil;
        std::unordered_map<std::uint64_t, time_point> sentAt; // by ticket
    };

    allowance_world(std::size_t nodeCount, std::size_t dataCentres, const allowance_rules &rules)
        : m_rules(rules)
    {
        for (std::size_t index = 0; index < nodeCount; ++index) {
            nodes.push_back({index + 1, 0, index % dataCentres, seconds(1000) * static_cast<int>(index)});
            start(index);
        }
    }
    // start starts a new process of the node, which ends the previous one.
    void start(std::size_t index)
    {
        node &each = nodes.at(index);
        each.process = ++m_lastProcess;
        each.borrower = makeBorrower(each.key, each.process, local(each));
        each.borrower.isNeeded = true;
        each.borrower.nodeCount = static_cast<std::uint32_t>(nodes.size());
        each.desk = makeDesk(each.key, each.process, m_rules, local(each));
        each.isRunning = true;
        each.sentAt.clear();
        setLimits(each.desk, m_limits, local(each));
        rankDesks(index, 0);
    }
    // rankDesks lets a node see the desks of each data centre in an order that is rotated by `turn`.
    void rankDesks(std::size_t index, std::size_t turn)
    {
        node &each = nodes.at(index);
        std::vector<desk_group> groups(dataCentreCount());
        for (const node &other : nodes) {
            groups.at((other.dataCentre + groups.size() - each.dataCentre) % groups.size()).push_back(other.key);
        }
        for (desk_group &group : groups) {
            std::rotate(group.begin(), group.begin() + static_cast<std::ptrdiff_t>(turn % group.size()), group.end());
        }
        if (isNaive) {
            each.borrower.lentUntil = {}; // forgets that another desk still counts the right
        }
        setDesks(each.borrower, groups, local(each));
    }
    void setLimitsEverywhere(const limit_map &limits)
    {
        m_limits = limits;
        for (node &each : nodes) {
            setLimits(each.desk, limits, local(each));
        }
    }
    void request(std::size_t index, std::uint64_t account)
    {
        node &each = nodes.at(index);
        if (isAwake(each)) {
            const time_point sentAt = now;
            each.sentAt[requestToken(each.borrower, account, local(each))] = sentAt;
        }
    }
    // run lets the time pass in steps of `tick`.
    void run(milliseconds length)
    {
        for (const time_point until = now + length; now < until; now += tick) {
            deliver();
            for (node &each : nodes) {
                if (isAwake(each)) {
                    turn(each);
                }
            }
        }
    }
    // usedIn returns how many requests were both sent and reached a worker between two times.
    std::size_t usedIn(std::uint64_t account, time_point from, time_point to) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(used, [&](const used_token &each) {
            return each.account == account && each.sentAt >= from && each.usedAt <= to;
        }));
    }

    std::vector<node> nodes;
    std::vector<used_token> used;
    std::map<std::uint64_t, std::size_t> denied; // by account
    std::map<std::uint64_t, std::size_t> unavailable;
    std::uint64_t messages = 0;
    std::uint64_t lossPercent = 0;
    std::uint64_t repeatPercent = 0;
    std::uint64_t returnPercent = 0; // of the tokens, because no worker accepted the request
    milliseconds minDelay{1};
    milliseconds maxDelay{4};
    milliseconds tick{1};
    bool isNaive = false;
    random_generator generator{1};
    time_point now{seconds(100)};

private:
    using message = std::variant<allowance_ask, allowance_answer>;
    struct flight
    {
        std::size_t from = 0;
        std::size_t to = 0;
        message content;
    };

    bool isAwake(const node &each) const
    {
        return each.isRunning && now >= each.frozenUntil;
    }
    time_point local(const node &each) const
    {
        return now + each.clockOffset;
    }
    std::size_t dataCentreCount() const
    {
        return std::ranges::max(nodes, {}, &node::dataCentre).dataCentre + 1;
    }
    void send(std::size_t from, std::size_t to, const message &content)
    {
        ++messages;
        if (from == to) {
            m_flights.emplace(now, flight{from, to, content});
            return;
        }
        const bool isLost = generator() % 100 < lossPercent;
        const std::uint64_t copies = isLost ? 0 : generator() % 100 < repeatPercent ? 2 : 1;
        for (std::uint64_t copy = 0; copy < copies; ++copy) {
            const auto span = static_cast<std::uint64_t>((maxDelay - minDelay).count() + 1);
            const milliseconds late(copy * (generator() % 2500)); // a repeated message may come much later
            m_flights.emplace(now + minDelay + milliseconds(generator() % span) + late, flight{from, to, content});
        }
    }
    void deliver()
    {
        while (!m_flights.empty() && m_flights.begin()->first <= now) {
            const flight arrived = m_flights.extract(m_flights.begin()).mapped();
            node &to = nodes.at(arrived.to);
            const bool isCut = arrived.from != arrived.to && (to.isCut || nodes.at(arrived.from).isCut);
            if (!to.isRunning || isCut) {
                continue;
            }
            if (!isAwake(to)) {
                m_flights.emplace(to.frozenUntil, arrived); // stays in the buffer of the socket
                continue;
            }
            if (const auto *ask = std::get_if<allowance_ask>(&arrived.content)) {
                if (const auto answer = handleAsk(to.desk, *ask, local(to))) {
                    send(arrived.to, arrived.from, *answer);
                }
            } else {
                receiveAnswer(to.borrower, std::get<allowance_answer>(arrived.content), local(to));
            }
        }
    }
    void turn(node &each)
    {
        for (const allowance_ask &ask : collectAsks(each.borrower, local(each))) {
            send(each.key - 1, ask.desk - 1, ask);
        }
        for (const token_outcome &outcome : takeOutcomes(each.borrower)) {
            if (outcome.result != token_result::Granted) {
                ++(outcome.result == token_result::Denied ? denied : unavailable)[outcome.account];
            } else if (generator() % 100 < returnPercent) {
                returnToken(each.borrower, outcome);
            } else {
                used.push_back({each.sentAt.at(outcome.ticket), now, outcome.account});
            }
            each.sentAt.erase(outcome.ticket);
        }
    }

    allowance_rules m_rules;
    limit_map m_limits;
    std::uint64_t m_lastProcess = 0;
    std::multimap<time_point, flight> m_flights;
};

} // namespace pistachioquay::testing
