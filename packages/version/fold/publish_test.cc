// Guards publishers against reports that the log does not bear out, when answers are lost, late or never come.
#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <random>

#include "version/fold/edit_record.h"
#include "version/fold/publish.h"

using namespace pistachioquay;

namespace {

using generator = std::mt19937_64;

// A log whose appends may lose the answer, lose the record, or take effect later.
struct faulty_log
{
    std::vector<std::string> records;
    std::vector<std::string> late;
    generator random;

    std::uint64_t append(const std::string &bytes)
    {
        const auto fault = random() % 6;
        if (fault == 0) {
            return 0;
        }
        if (fault == 1) {
            late.push_back(bytes);
            return 0;
        }
        records.push_back(bytes);
        return fault == 2 ? 0 : records.size();
    }

    void deliverLate()
    {
        if (!late.empty() && random() % 3 == 0) {
            records.push_back(late.back());
            late.pop_back();
        }
    }
};

// One operator: its own view of the log, and the publish that it runs.
struct publisher
{
    fold_state state;
    std::string bytes;
    publish_progress progress;
    std::uint32_t steps = 0;

    void start(const edit_record &record)
    {
        bytes = encodeRecord(record);
        progress = publish_progress{record.publishId};
        steps = 0;
    }

    void catchUp(const faulty_log &log)
    {
        while (state.position <= log.records.size()) {
            const std::uint64_t offset = state.position;
            fold_step step = foldRecord(std::move(state), offset, log.records[offset - 1]);
            state = std::move(step.state);
            progress = onFolded(progress, offset, state, step.verdict);
        }
    }

    // Takes one step; returns the report, if this was the last.
    std::optional<publish_decision> step(faulty_log &log)
    {
        constexpr std::uint32_t maxSteps = 12;
        progress.isTimeUp = ++steps > maxSteps;
        publish_decision next = decidePublish(progress);
        if (next.action == publish_action::Append) {
            const std::uint64_t offset = log.append(bytes);
            progress = offset == 0 ? onAppendLost(progress) : onAppended(progress, offset);
        } else if (next.action == publish_action::Read) {
            catchUp(log);
            progress = onLogEnd(progress);
        } else {
            return next;
        }
        return std::nullopt;
    }
};

// What the log says about each publish id in the end: the version at which it was accepted, 0 if it was not.
std::map<hash128, std::uint64_t> truthOf(const faulty_log &log, fold_state &state)
{
    std::map<hash128, std::uint64_t> accepted;
    for (const std::string &bytes : log.records) {
        const std::uint64_t offset = state.position;
        fold_step step = foldRecord(std::move(state), offset, bytes);
        state = std::move(step.state);
        const hash128 id = decodeRecord(bytes).record.publishId;
        if (step.verdict.kind == verdict_kind::Accepted) {
            REQUIRE(accepted[id] == 0);
            accepted[id] = offset;
        }
    }
    return accepted;
}

tree_path pathOf(std::uint64_t index)
{
    return {{}, {value_kind::Limit, "l" + std::to_string(index), "concurrency"}};
}

struct reported
{
    publish_action action;
    std::uint64_t version;
    tree_path path;
    std::int64_t value;
};

struct figures
{
    std::size_t accepted = 0;
    std::size_t rejected = 0;
    std::size_t unknown = 0;
};

// Two operators publish for a hundred rounds each, now on paths of their own, now on the same ones.
void runRounds(std::uint64_t seed, figures &total)
{
    constexpr std::int64_t rounds = 100;
    faulty_log log{{}, {}, generator(seed)};
    std::map<hash128, reported> reports;
    std::array<publisher, 2> operators;
    for (std::int64_t round = 1; round <= rounds; ++round) {
        std::array<bool, 2> isDone{};
        std::array<tree_path, 2> paths;
        for (std::size_t who = 0; who < operators.size(); ++who) {
            paths.at(who) = pathOf(log.random() % 3 == 0 ? 0 : 1 + who);
            operators.at(who).catchUp(log);
            operators.at(who).start({{who + 1, static_cast<std::uint64_t>(round)},
                                     operators.at(who).state.version,
                                     "awa",
                                     {setValue(paths.at(who), round)}});
        }
        while (!isDone[0] || !isDone[1]) {
            const std::size_t who = log.random() % 2;
            log.deliverLate();
            if (isDone.at(who)) {
                continue;
            }
            if (const auto report = operators.at(who).step(log)) {
                isDone.at(who) = true;
                reports[operators.at(who).progress.publishId] = {report->action,
                                                                 report->verdict.version,
                                                                 paths.at(who),
                                                                 round};
            }
        }
    }
    fold_state state;
    const auto accepted = truthOf(log, state);
    std::map<tree_path, std::pair<std::uint64_t, std::int64_t>> last;
    for (const auto &[id, report] : reports) {
        const auto found = accepted.find(id);
        const std::uint64_t version = found == accepted.end() ? 0 : found->second;
        REQUIRE(report.action != publish_action::ReportNotSent);
        if (report.action == publish_action::ReportAccepted) {
            REQUIRE(report.version == version);
            ++total.accepted;
        } else if (report.action == publish_action::ReportRejected) {
            REQUIRE(version == 0);
            ++total.rejected;
        } else {
            ++total.unknown;
        }
        if (version != 0) {
            last[report.path] = std::max(last[report.path], std::pair(version, report.value));
        }
    }
    for (const auto &[path, newest] : last) {
        REQUIRE(valuesAt(state.tree, path.where)->at(path.key) == scalar(newest.second));
    }
}

} // namespace

TEST_CASE("two operators in a loop lose no accepted edit, and no report is untrue")
{
    constexpr std::uint64_t loops = 50;
    figures total;
    for (std::uint64_t seed = 1; seed <= loops; ++seed) {
        runRounds(seed, total);
    }
    INFO("accepted " << total.accepted << ", rejected " << total.rejected << ", unknown " << total.unknown);
    CHECK(total.accepted > 6000);
    CHECK(total.rejected > 500);
    CHECK(total.accepted + total.rejected + total.unknown == 10'000);
}

TEST_CASE("a lost answer is followed by a search, not by a second append")
{
    publish_progress progress{{1, 2}};
    CHECK(decidePublish(progress).action == publish_action::Append);
    progress = onAppendLost(progress);
    CHECK(decidePublish(progress).action == publish_action::Read);
    CHECK(decidePublish(onLogEnd(progress)).action == publish_action::Append);
    progress.isTimeUp = true;
    const publish_decision unknown = decidePublish(progress);
    CHECK(unknown.action == publish_action::ReportUnknown);
    CHECK(unknown.remedy.find(toHex({1, 2})) != std::string::npos);
}

TEST_CASE("before anything was sent, running out of time is reported as not sent")
{
    publish_progress progress{{1, 2}};
    progress.isTimeUp = true;
    CHECK(decidePublish(progress).action == publish_action::ReportNotSent);
    progress = onAppended({{1, 2}}, 7);
    progress.isStopped = true;
    CHECK(decidePublish(progress).action == publish_action::ReportUnknown);
}

TEST_CASE("appends of one record are bounded")
{
    publish_progress progress{{1, 2}};
    std::uint32_t appends = 0;
    for (int step = 0; step < 100; ++step) {
        if (decidePublish(progress).action == publish_action::Append) {
            ++appends;
            progress = onAppendLost(progress);
        } else {
            progress = onLogEnd(progress);
        }
    }
    CHECK(appends == maxAppends);
}

TEST_CASE("an acknowledged record that the fold finds malformed is reported as rejected")
{
    const fold_step step = foldRecord({}, 1, "garbage");
    const publish_progress progress = onFolded(onAppended({{1, 2}}, 1), 1, step.state, step.verdict);
    const publish_decision decision = decidePublish(progress);
    CHECK(decision.action == publish_action::ReportRejected);
    CHECK(decision.verdict.kind == verdict_kind::Malformed);
}
