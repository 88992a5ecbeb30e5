// Measures the processor time of one request's key lookup and allowance check, asker and desk together, and the control
// bytes of a node without requests. Prints `name value unit`; seeds are fixed.
#include <iostream>
#include <string>

#include "connection/wire/codec.h"
#include "request/allowance/borrower.h"
#include "version/accounts/accounts.h"

using namespace pistachioquay;

namespace {

constexpr std::size_t requestCount = 200'000;
constexpr std::size_t datagramHeaderBytes = 28; // of IP and UDP
constexpr milliseconds idleTime{60'000};

void answerAll(borrower_state &node, desk_state &desk, time_point now)
{
    for (const allowance_ask &ask : collectAsks(node, now)) {
        receiveAnswer(node, *handleAsk(desk, ask, now), now);
    }
}

void measureCheck(std::size_t accountCount)
{
    time_point now{seconds(10)};
    account_table table;
    std::unordered_map<std::uint64_t, allowance_limit> limits;
    for (std::size_t index = 0; index < accountCount; ++index) {
        table.accounts.push_back({"account-" + std::to_string(index), std::nullopt, 1000, 1000});
        addKey(table, "key-" + std::to_string(index), static_cast<std::uint32_t>(index));
        limits[hash64(table.accounts.back().name)] = {1000, 1000};
    }
    desk_state desk = makeDesk(1, 1, {5, 0.1, 20}, now);
    setNodeCount(desk, 1, now);
    setLimits(desk, limits, now);
    borrower_state node = makeBorrower(1, 1, now - delegationTime);
    node.isNeeded = true;
    setDesks(node, {{1}}, now);
    std::size_t granted = 0;
    const auto startedAt = steadyNow();
    for (std::size_t index = 0; index < requestCount; ++index) {
        now += std::chrono::microseconds(500);
        const client_account *account = findAccount(table, "key-" + std::to_string(index * 7919 % accountCount));
        requestToken(node, hash64(account->name), now);
        answerAll(node, desk, now);
        for (const token_outcome &outcome : takeOutcomes(node)) {
            granted += outcome.result == token_result::Granted ? 1U : 0U;
        }
    }
    const double totalNs = std::chrono::duration<double, std::nano>(steadyNow() - startedAt).count();
    const std::string prefix = "check." + std::to_string(accountCount) + "-accounts.";
    std::cout << prefix << "time " << totalNs / static_cast<double>(requestCount) << " ns\n";
    std::cout << prefix << "granted " << granted << " of " << requestCount << " requests\n";
}

void measureIdle(std::size_t nodeCount)
{
    time_point now{seconds(10)};
    desk_state desk = makeDesk(1, 1, {5, 0.1, 20}, now);
    setNodeCount(desk, static_cast<std::uint32_t>(nodeCount), now);
    std::vector<borrower_state> nodes;
    for (std::size_t index = 0; index < nodeCount; ++index) {
        nodes.push_back(makeBorrower(index + 2, index + 2, now));
        nodes.back().isNeeded = true;
        setDesks(nodes.back(), {{1}}, now);
    }
    std::size_t bytes = 0;
    for (const time_point until = now + idleTime; now < until; now += milliseconds(10)) {
        for (borrower_state &node : nodes) {
            for (const allowance_ask &ask : collectAsks(node, now)) {
                const allowance_answer answer = *handleAsk(desk, ask, now);
                bytes += encodeMessage(ask, 1).size() + encodeMessage(answer, 1).size() + 2 * datagramHeaderBytes;
                receiveAnswer(node, answer, now);
            }
        }
    }
    const double perSecond = static_cast<double>(bytes) * 1000 / static_cast<double>(idleTime.count());
    std::cout << "idle." << nodeCount << "-nodes.bytes " << perSecond / static_cast<double>(nodeCount)
              << " B/s a node\n";
}

} // namespace

int main()
{
    measureCheck(85);
    measureCheck(10'000);
    measureIdle(85);
    measureIdle(300);
}
