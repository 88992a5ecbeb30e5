// Measures membership at several sizes of a data centre, on a simulated clock: bytes, CPU and memory per node, and the
// time until all know of a drain, a death and a new position. Prints lines `name value unit`.
//
//   pq_bench_membership [SIZE]      default: 25 50 100 200 500 1050
#include <algorithm>
#include <iostream>
#include <numeric>

#include <malloc.h>

#include "testing/bench/datagram_network.h"

using namespace pistachioquay;

namespace {

constexpr std::uint64_t seed = 20'261;
constexpr std::size_t servicesPerDataCentre = 590;
constexpr std::size_t designNodes = 1'050;
constexpr std::size_t replacementsPerDay = 1'200; // of the whole fleet, here all in one data centre of 1,050 nodes
constexpr std::size_t rackNodes = 40;
constexpr std::size_t otherDataCentres = 7;
constexpr std::size_t otherNodes = 25; // fill the datagrams of a link as 1,050 nodes would
constexpr std::size_t repetitions = 5;
constexpr seconds measured{60};
constexpr seconds patience{120}; // bound of each wait

class bench
{
public:
    explicit bench(std::size_t size)
        : m_size(size)
        , m_network({.seed = seed})
    {
    }

    void runAll()
    {
        const std::size_t before = mallinfo2().uordblks;
        join();
        const auto used = static_cast<double>(mallinfo2().uordblks - before);
        print("memory", used / static_cast<double>(m_size) / 1e6, "MB/node");
        measure("idle", measured, [] {});
        churn();
        spread("drain", 0, &bench::drainOne);
        spread("drain_loss20", 0.2, &bench::drainOne);
        spread("position", 0, &bench::advance);
        spread("position_loss20", 0.2, &bench::advance);
        spread("death", 0, &bench::killOne);
        measure("rack", seconds(30), [this] {
            for (std::size_t killed = 0; killed < std::max<std::size_t>(1, rackNodes * m_size / designNodes);
                 ++killed) {
                m_network.kill(running(m_size / 4));
            }
        });
    }

    void runLinks()
    {
        for (std::size_t index = 0; index < m_size + otherDataCentres * otherNodes; ++index) {
            addNode(index < m_size ? "be-0" : "be-" + std::to_string(1 + index % otherDataCentres));
        }
        m_network.run(measured);
        settle();
        measure("linked", measured, [] {});
    }

private:
    using knows = std::function<bool(const membership_state &)>;
    void print(const std::string &name, double value, const std::string &unit) const
    {
        std::cout << "membership.n" << m_size << "." << name << " " << value << " " << unit << std::endl;
    }

    void addNode(const std::string &dataCentre = "be-0")
    {
        const std::size_t index = m_network.nodes.size();
        const std::string service = "service-" + std::to_string(index % servicesPerDataCentre);
        m_network.add(service + "@" + toText(datagram_network::endpointOf(index)),
                      dataCentre,
                      service,
                      {running(0), running(1), running(2)});
        m_network.setState(index, member_state::Ready, {3, 0});
    }

    std::size_t running(std::size_t nth) const
    {
        for (std::size_t index = 0; index < m_network.nodes.size(); ++index) {
            if (m_network.nodes[index].isRunning && nth-- == 0) {
                return index;
            }
        }
        return 0;
    }

    void join()
    {
        const time_point start = m_network.now;
        for (std::size_t index = 0; index < m_size; ++index) {
            addNode();
        }
        m_network.run(patience * 5, [this] {
            return std::ranges::all_of(m_network.nodes, [this](const auto &each) {
                return each.state.liveKeys.size() + 1 == m_size && !each.state.isLiveDirty;
            });
        });
        print("join_all_at_once", secondsSince(start), "s");
        settle();
    }

    void settle()
    {
        m_network.run(patience, [this] {
            return std::ranges::all_of(m_network.nodes, [](const auto &each) {
                return !each.isRunning || each.state.pending.empty();
            });
        });
    }

    double secondsSince(time_point start) const
    {
        return std::chrono::duration<double>(m_network.now - start).count();
    }

    void measure(const std::string &name, duration length, const std::function<void()> &event)
    {
        std::vector<std::uint64_t> before;
        for (const auto &each : m_network.nodes) {
            before.push_back(each.sentBytes + each.receivedBytes);
        }
        const duration cpuBefore = m_network.cpuTime;
        const time_point end = m_network.now + length;
        event();
        m_network.run(end - m_network.now);
        const double span = std::chrono::duration<double>(length).count();
        double total = 0, largest = 0;
        for (std::size_t index = 0; index < before.size(); ++index) {
            const auto &each = m_network.nodes[index];
            const auto bytes = static_cast<double>(each.sentBytes + each.receivedBytes - before[index]);
            total += bytes / span / 1e3;
            largest = std::max(largest, bytes / span / 1e3);
        }
        const double cpu = std::chrono::duration<double>(m_network.cpuTime - cpuBefore).count();
        print(name + ".bytes_mean", total / static_cast<double>(before.size()), "KB/s/node");
        print(name + ".bytes_max", largest, "KB/s/node");
        print(name + ".cpu", cpu / span / static_cast<double>(before.size()) * 100, "%/node");
    }

    void churn()
    {
        const std::size_t count = std::max<std::size_t>(1, 300 * replacementsPerDay * m_size / designNodes / 86'400);
        const duration gap = duration(seconds(300)) / static_cast<std::int64_t>(count);
        measure("churn", seconds(300), [&] {
            for (std::size_t done = 0; done < count; ++done) {
                const std::size_t leaving = running(m_network.generator() % m_size);
                m_network.drain(leaving);
                m_network.run(seconds(2));
                m_network.leave(leaving);
                m_network.kill(leaving);
                addNode();
                m_network.run(gap - seconds(2));
            }
        });
    }

    knows drainOne(std::size_t index)
    {
        m_network.drain(index);
        return [this, index](const membership_state &state) {
            return state.members.at(keyOf(index)).data.state == member_state::Draining;
        };
    }

    knows killOne(std::size_t index)
    {
        m_network.kill(index);
        return [this, index](const membership_state &state) {
            return !isLive(state.members.at(keyOf(index)));
        };
    }

    std::uint64_t keyOf(std::size_t index) const
    {
        return memberKey(m_network.nodes[index].options.self.nodeId);
    }

    knows advance(std::size_t index)
    {
        const std::uint64_t position = ++m_position;
        m_network.setPosition(index, position);
        return [position](const membership_state &state) {
            return state.self.position >= position;
        };
    }

    void spread(const std::string &name, double loss, knows (bench::*event)(std::size_t))
    {
        std::vector<double> times;
        std::size_t missed = 0;
        for (std::size_t round = 0; round < repetitions; ++round) {
            const std::size_t source = running(m_network.generator() % (m_size / 2));
            m_network.options.loss = loss;
            const time_point start = m_network.now;
            const knows isKnown = (this->*event)(source);
            std::vector<std::size_t> waiting(m_network.nodes.size());
            std::iota(waiting.begin(), waiting.end(), 0);
            std::erase_if(waiting, [&](std::size_t index) {
                return index == source || !m_network.nodes[index].isRunning;
            });
            m_network.run(patience, [&] {
                std::erase_if(waiting, [&](std::size_t index) {
                    const bool isDone = isKnown(m_network.nodes[index].state);
                    if (isDone) {
                        times.push_back(secondsSince(start));
                    }
                    return isDone;
                });
                return waiting.empty();
            });
            missed += waiting.size();
            m_network.options.loss = 0;
            settle();
        }
        std::ranges::sort(times);
        print(name + ".p50", times[times.size() / 2], "s");
        print(name + ".p99", times[times.size() * 99 / 100], "s");
        print(name + ".max", times.back(), "s");
        print(name + ".not_reached", static_cast<double>(missed), "nodes");
    }

    std::size_t m_size;
    datagram_network m_network;
    std::uint64_t m_position = 0;
};

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::size_t> sizes = {25, 50, 100, 200, 500, 1'050};
    if (argc > 1) {
        sizes = {std::stoul(argv[1])};
    }
    std::cout << "membership.seed " << seed << " number" << std::endl;
    for (const std::size_t size : sizes) {
        bench(size).runAll();
        bench(size).runLinks();
    }
}
