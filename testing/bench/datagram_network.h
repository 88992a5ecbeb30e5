// Queue of datagrams in memory, with loss, delay, repetition, garbling and partitions, around the pure functions of
// membership and a simulated clock. Used by tests and the bench; not thread safe.
//
//   datagram_network network({.loss = 0.2, .seed = 1});
//   const std::size_t first = network.add("n0", "be-1", "orders", {});
//   network.run(seconds(10));
#pragma once

#include <functional>
#include <queue>

#include "process/membership/membership.h"

namespace pistachioquay {

struct network_options
{
    double loss = 0;
    double repeat = 0;
    double garble = 0;
    milliseconds minDelay{0};
    milliseconds maxDelay{1};
    std::uint64_t seed = 1;
};

class datagram_network
{
public:
    struct node
    {
        membership_options options;
        membership_state state;
        milliseconds phase{0};
        time_point pausedUntil;
        bool isRunning = true;
        int island = 0; // datagrams pass only inside one island
        std::uint64_t sentBytes = 0; // with 28 bytes of IP and UDP headers each
        std::uint64_t receivedBytes = 0;
        std::size_t largestDatagram = 0;
    };

    explicit datagram_network(const network_options &options);

    // add starts a node and returns its index.
    std::size_t add(const std::string &nodeId,
                    const std::string &dataCentre,
                    const std::string &service,
                    const std::vector<std::size_t> &seeds);
    // restart starts a new process under the same node id.
    void restart(std::size_t index, std::uint64_t started);
    void kill(std::size_t index);
    void pause(std::size_t index, duration length);
    void setState(std::size_t index, member_state worker, worker_load load = {});
    void setPosition(std::size_t index, std::uint64_t position);
    void drain(std::size_t index);
    void leave(std::size_t index);
    // rendezvous tells a node the gossip addresses of others, as stream `rendezvous` does.
    void rendezvous(std::size_t index, const std::vector<endpoint> &endpoints);
    // run advances the clock; `eachStep` is called every 5 ms and ends the run when it returns true.
    void run(duration length, const std::function<bool()> &eachStep = {});
    // endpointOf returns the gossip address of a node.
    static endpoint endpointOf(std::size_t index);
    std::uint64_t totalBytes() const;

    std::vector<node> nodes;
    network_options options;
    time_point now{seconds(1'000'000)};
    random_generator generator;
    duration cpuTime{0}; // spent inside the pure functions

private:
    struct event
    {
        time_point at;
        std::uint64_t order;
        std::size_t from;
        std::size_t to;
        std::string bytes; // empty: the pull below is done
        pull wanted;

        friend bool operator>(const event &left, const event &right)
        {
            return std::pair(left.at, left.order) > std::pair(right.at, right.order);
        }
    };

    template<class Decide>
    void decide(std::size_t index, Decide function);
    void perform(std::size_t index, const membership_actions &actions);
    void send(std::size_t from, const datagram &out);
    void push(duration delay, std::size_t from, std::size_t to, std::string bytes, const pull &wanted);
    void deliver(event next);
    void finishPull(std::size_t index, std::size_t server, const pull &wanted);
    bool draw(double probability);
    duration drawDelay();

    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
};

} // namespace pistachioquay
