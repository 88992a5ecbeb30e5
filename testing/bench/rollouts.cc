// Judges simulated versions of a service by the evidence test of roll-outs. Prints `name value unit` for each version:
// the share of runs in which it is convicted, the requests and failures spent until then, and the share in which it is
// acquitted. Seeds are fixed; requests are drawn independently, so that correlated faults show only where a scene has
// them.
#include <algorithm>
#include <array>
#include <iostream>

#include "base/random.h"
#include "process/rollout/evidence.h"

using namespace pistachioquay;

namespace {

constexpr unsigned seeds = 500;
constexpr unsigned oldWorkerCount = 10;
constexpr unsigned newWorkerCount = 10; // of which one is on trial at a time, see `chooseTrialNode`
constexpr unsigned roundCount = 35; // of 10 requests to the version and 100 to the old workers: 8% for about 8 s
constexpr unsigned trialRunsPerRound = 10;

struct behaviour
{
    double failing = 0;
    double slow = 0;
};

struct scene
{
    std::string name;
    behaviour old;
    behaviour added;
    bool isOnOneRoute = false; // `added` holds for one route of three, and `old` for the others
    unsigned greyWorkers = 0; // of each version, which fail half of their requests
    unsigned lateRound = 0; // `added` holds from this round on
};

class scene_run
{
public:
    scene_run(const scene &played, std::uint64_t seed)
        : m_scene(played)
        , m_generator(seed)
    {
        for (unsigned index = 0; index < oldWorkerCount; ++index) {
            m_workers.push_back({"old" + std::to_string(index), "v1", true});
        }
        for (unsigned index = 0; index < newWorkerCount; ++index) {
            m_workers.push_back({"new" + std::to_string(index), "v2", true});
        }
    }

    // play returns the judgement that decided, or the last one.
    judgement play()
    {
        judgement judged;
        for (unsigned round = 0; round < roundCount; ++round) {
            for (unsigned index = 0; index < oldWorkerCount; ++index) {
                run(index, trialRunsPerRound, m_scene.old, index < m_scene.greyWorkers);
            }
            const unsigned node = chooseTrialNode(judged);
            const behaviour &added = round >= m_scene.lateRound ? m_scene.added : m_scene.old;
            run(oldWorkerCount + node, trialRunsPerRound, added, node < m_scene.greyWorkers);
            judged = judge(m_workers, "v2");
            if (judged.verdict == rollout_verdict::Bad) {
                break;
            }
        }
        return judged;
    }

private:
    // Returns the first worker that is not a suspect: a suspect is replaced on trial.
    unsigned chooseTrialNode(const judgement &judged) const
    {
        for (unsigned node = 0; node < newWorkerCount; ++node) {
            if (std::ranges::find(judged.suspects, "new" + std::to_string(node)) == judged.suspects.end()) {
                return node;
            }
        }
        return 0;
    }

    void run(unsigned worker, unsigned runs, const behaviour &usual, bool isGrey)
    {
        const std::array<std::string, 3> routes = {"list", "pay", "refund"};
        for (unsigned index = 0; index < runs; ++index) {
            const std::string &route = routes.at(m_generator() % routes.size());
            const behaviour &applied = m_scene.isOnOneRoute && route != "pay" ? m_scene.old : usual;
            const double failing = isGrey ? 0.5 : applied.failing;
            std::bernoulli_distribution fails(failing);
            std::bernoulli_distribution lags(applied.slow);
            countOutcome(m_workers[worker].evidence, route, {fails(m_generator), lags(m_generator)});
        }
    }

    scene m_scene;
    random_generator m_generator;
    std::vector<observed_worker> m_workers;
};

std::uint64_t median(std::vector<std::uint64_t> values)
{
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    return values[values.size() / 2];
}

void report(const scene &played)
{
    std::vector<std::uint64_t> runs;
    std::vector<std::uint64_t> badRuns;
    unsigned acquitted = 0;
    unsigned leaning = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const judgement judged = scene_run(played, seed).play();
        if (judged.verdict == rollout_verdict::Bad) {
            runs.push_back(judged.runs);
            badRuns.push_back(judged.badRuns);
        }
        acquitted += judged.verdict == rollout_verdict::Good ? 1 : 0;
        leaning += judged.verdict != rollout_verdict::Bad && judged.leansBad ? 1 : 0;
    }
    const auto percent = [](std::size_t count) {
        return 100.0 * static_cast<double>(count) / seeds;
    };
    std::cout << played.name << ".convicted " << percent(runs.size()) << " %\n"
              << played.name << ".leaning-bad " << percent(leaning) << " %\n"
              << played.name << ".acquitted " << percent(acquitted) << " %\n"
              << played.name << ".runs-until " << median(runs) << " runs\n"
              << played.name << ".bad-runs-until " << median(badRuns) << " runs\n";
}

} // namespace

int main()
{
    const behaviour calm{0.01, 0.05};
    const behaviour rough{0.05, 0.1};
    const std::vector<scene> scenes = {
        {.name = "good", .old = calm, .added = calm},
        {.name = "good-rough", .old = rough, .added = rough},
        {.name = "good-grey-workers", .old = calm, .added = calm, .greyWorkers = 1},
        {.name = "fails-half", .old = calm, .added = {0.5, 0.05}},
        {.name = "fails-half-rough", .old = rough, .added = {0.5, 0.1}},
        {.name = "fails-one-in-five", .old = calm, .added = {0.2, 0.05}},
        {.name = "fails-one-in-twenty", .old = calm, .added = {0.05, 0.05}},
        {.name = "fails-half-on-one-route", .old = calm, .added = {0.5, 0.05}, .isOnOneRoute = true},
        {.name = "fails-half-late", .old = calm, .added = {0.5, 0.05}, .lateRound = 20},
        {.name = "slow-half", .old = calm, .added = {0.01, 0.5}},
        {.name = "slow-all", .old = calm, .added = {0.01, 0.95}},
    };
    std::cout << "seeds " << seeds << " runs\n";
    std::ranges::for_each(scenes, report);
    return 0;
}
