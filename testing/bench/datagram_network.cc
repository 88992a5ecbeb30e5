#include "testing/bench/datagram_network.h"

#include <ctime>

#include "connection/wire/codec.h"

namespace pistachioquay {

namespace {

constexpr milliseconds stepLength{5};
constexpr milliseconds tickLength{50};
constexpr std::size_t headerBytes = 28;

duration threadTime()
{
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
}

std::string ipOf(std::size_t index)
{
    return "10." + std::to_string(index / 65'536) + "." + std::to_string(index / 256 % 256) + "."
        + std::to_string(index % 256);
}

std::size_t indexOf(const std::string &ip)
{
    const std::size_t second = ip.find('.', 3);
    const std::size_t third = ip.find('.', second + 1);
    return std::stoul(ip.substr(3, second)) * 65'536 + std::stoul(ip.substr(second + 1, third)) * 256
        + std::stoul(ip.substr(third + 1));
}

} // namespace

datagram_network::datagram_network(const network_options &chosen)
    : options(chosen)
    , generator(chosen.seed)
{
}

std::size_t datagram_network::add(const std::string &nodeId,
                                  const std::string &dataCentre,
                                  const std::string &service,
                                  const std::vector<std::size_t> &seeds)
{
    const std::size_t index = nodes.size();
    node added;
    member &self = added.options.self;
    self.nodeId = nodeId;
    self.started = 1'700'000'000'000 + index;
    self.dataCentre = dataCentre;
    self.service = service;
    self.gossip = endpointOf(index);
    self.sync = {ipOf(index), 7001};
    self.peer = {ipOf(index), 7002};
    self.control = {ipOf(index), 7003};
    self.slots = 6;
    self.schema = 1;
    for (const std::size_t seed : seeds) {
        added.options.seeds.push_back(endpointOf(seed));
    }
    added.phase = milliseconds(static_cast<std::int64_t>(generator() % 10) * stepLength.count());
    nodes.push_back(added);
    decide(index, [&](membership_state &state) {
        return startMembership(state, nodes[index].options, now);
    });
    return index;
}

void datagram_network::restart(std::size_t index, std::uint64_t started)
{
    nodes[index].isRunning = true;
    nodes[index].options.self.started = started;
    decide(index, [&](membership_state &state) {
        return startMembership(state, nodes[index].options, now);
    });
}

void datagram_network::kill(std::size_t index)
{
    nodes[index].isRunning = false;
}

void datagram_network::pause(std::size_t index, duration length)
{
    nodes[index].pausedUntil = now + length;
}

void datagram_network::setState(std::size_t index, member_state worker, worker_load load)
{
    decide(index, [&](membership_state &state) {
        return setLocal(state, state.self.version, state.self.position, worker, load, now, generator);
    });
}

void datagram_network::setPosition(std::size_t index, std::uint64_t position)
{
    decide(index, [&](membership_state &state) {
        return setLocal(state, position, position, state.self.state, state.self.load, now, generator);
    });
}

void datagram_network::drain(std::size_t index)
{
    decide(index, [&](membership_state &state) {
        return beginDrain(state, now);
    });
}

void datagram_network::leave(std::size_t index)
{
    decide(index, [&](membership_state &state) {
        return pistachioquay::leave(state, now);
    });
}

void datagram_network::rendezvous(std::size_t index, const std::vector<endpoint> &endpoints)
{
    decide(index, [&](membership_state &state) {
        return onRendezvous(state, endpoints, now);
    });
}

void datagram_network::run(duration length, const std::function<bool()> &eachStep)
{
    const time_point end = now + length;
    while (now < end) {
        now += stepLength;
        while (!m_events.empty() && m_events.top().at <= now) {
            event next = m_events.top();
            m_events.pop();
            deliver(std::move(next));
        }
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            if (nodes[index].isRunning && now >= nodes[index].pausedUntil
                && (now.time_since_epoch() + nodes[index].phase) % tickLength == duration(0)) {
                decide(index, [&](membership_state &state) {
                    return onTick(state, now, generator);
                });
            }
        }
        if (eachStep && eachStep()) {
            return;
        }
    }
}

endpoint datagram_network::endpointOf(std::size_t index)
{
    return {ipOf(index), 7000};
}

std::uint64_t datagram_network::totalBytes() const
{
    std::uint64_t total = 0;
    for (const node &each : nodes) {
        total += each.sentBytes + each.receivedBytes;
    }
    return total;
}

template<class Decide>
void datagram_network::decide(std::size_t index, Decide function)
{
    const duration before = threadTime();
    const membership_actions actions = function(nodes[index].state);
    cpuTime += threadTime() - before;
    perform(index, actions);
}

void datagram_network::perform(std::size_t index, const membership_actions &actions)
{
    for (const datagram &out : actions.sends) {
        send(index, out);
    }
    for (const pull &wanted : actions.pulls) {
        push(drawDelay() + stepLength, index, indexOf(wanted.sync.ip), {}, wanted);
    }
}

void datagram_network::send(std::size_t from, const datagram &out)
{
    nodes[from].sentBytes += out.bytes.size() + headerBytes;
    nodes[from].largestDatagram = std::max(nodes[from].largestDatagram, out.bytes.size());
    const int copies = draw(options.repeat) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (draw(options.loss)) {
            continue;
        }
        std::string bytes = out.bytes;
        if (draw(options.garble)) {
            bytes[generator() % bytes.size()] ^= static_cast<char>(1U << (generator() % 8));
        }
        push(drawDelay(), from, indexOf(out.to.ip), std::move(bytes), {});
    }
}

void datagram_network::push(duration delay, std::size_t from, std::size_t to, std::string bytes, const pull &wanted)
{
    m_events.push({now + delay, ++m_order, from, to, std::move(bytes), wanted});
}

void datagram_network::deliver(event next)
{
    const bool isPull = next.bytes.empty();
    node &receiver = nodes[isPull ? next.from : next.to];
    if (!nodes[next.to].isRunning || !receiver.isRunning || nodes[next.from].island != nodes[next.to].island) {
        return;
    }
    if (now < receiver.pausedUntil) {
        next.at = receiver.pausedUntil;
        m_events.push(std::move(next));
        return;
    }
    if (isPull) {
        finishPull(next.from, next.to, next.wanted);
        return;
    }
    receiver.receivedBytes += next.bytes.size() + headerBytes;
    decide(next.to, [&](membership_state &state) {
        return onDatagram(state, endpointOf(next.from), next.bytes, now, generator);
    });
}

void datagram_network::finishPull(std::size_t index, std::size_t server, const pull &wanted)
{
    if (wanted.kind == pull_kind::Records) {
        setPosition(index, nodes[server].state.self.position);
        return;
    }
    const member_list list = memberList(nodes[server].state, now);
    const std::size_t bytes = encodeMessage(list, memberListFormat).size();
    nodes[server].sentBytes += bytes;
    nodes[index].receivedBytes += bytes;
    decide(index, [&](membership_state &state) {
        return onMemberList(state, list, now);
    });
}

bool datagram_network::draw(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(generator) < probability;
}

duration datagram_network::drawDelay()
{
    const auto spread = static_cast<std::uint64_t>((options.maxDelay - options.minDelay).count() + 1);
    return options.minDelay + milliseconds(static_cast<std::int64_t>(generator() % spread));
}

} // namespace pistachioquay
