#include "request/quarantine/quarantine.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>

namespace pistachioquay {

using internal::fingerprint_status;

namespace {

using report_map = std::map<hash128, crash_report>;

const suspect *findSuspect(const crash_report &report, const fingerprint &request)
{
    const auto found = std::ranges::lower_bound(report.suspects, request, {}, &suspect::request);
    return found != report.suspects.end() && found->request == request ? &*found : nullptr;
}

bool isOpenSuspect(const crash_report &report, const fingerprint &request)
{
    const suspect *found = findSuspect(report, request);
    return found != nullptr && !found->isCleared;
}

// Whether the request is an uncleared suspect of another crash that counts for `crash`: see point 3 of the rule in the
// header.
bool isSuspectInOtherCrash(const report_map &reports, const crash_report &crash, const fingerprint &request)
{
    return std::ranges::any_of(reports, [&](const auto &each) {
        const crash_report &other = each.second;
        const bool isBefore = other.crashedAtMs <= crash.crashedAtMs + clockMarginMs;
        const bool isIsolatedThere = other.hasIsolated && other.isolated == request;
        return other.id != crash.id && (isBefore || isIsolatedThere) && isOpenSuspect(other, request);
    });
}

// Point 3 of the rule: whether the crash identifies its isolated suspect as the cause.
bool identifiesIsolated(const report_map &reports, const crash_report &crash)
{
    if (!crash.hasIsolated || !isOpenSuspect(crash, crash.isolated)
        || !isSuspectInOtherCrash(reports, crash, crash.isolated)) {
        return false;
    }
    return std::ranges::none_of(crash.suspects, [&](const suspect &each) {
        return each.request != crash.isolated && isSuspectInOtherCrash(reports, crash, each.request);
    });
}

fingerprint_status &findOrInsertStatus(std::vector<fingerprint_status> &statuses, const fingerprint &request)
{
    const auto found = std::ranges::lower_bound(statuses, request, {}, &fingerprint_status::request);
    if (found != statuses.end() && found->request == request) {
        return *found;
    }
    return *statuses.insert(found, {request, 0, 0, 0});
}

fingerprint_status statusOf(const quarantine_state &state, const fingerprint &request)
{
    const auto found = std::ranges::lower_bound(state.statuses, request, {}, &fingerprint_status::request);
    return found != state.statuses.end() && found->request == request ? *found : fingerprint_status{request, 0, 0, 0};
}

std::uint64_t digestOf(const report_map &reports)
{
    std::string bytes;
    for (const auto &[id, report] : reports) {
        bytes += toHex(id);
        for (const suspect &each : report.suspects) {
            bytes += toHex(each.request) + (each.isCleared ? "c" : "s");
        }
    }
    return reports.empty() ? 0 : hash64(bytes);
}

void rebuildStatuses(quarantine_state &state)
{
    state.statuses.clear();
    state.digest = digestOf(state.reports);
    for (const auto &[key, report] : state.reports) {
        for (const suspect &each : report.suspects) {
            if (!each.isCleared) {
                fingerprint_status &entry = findOrInsertStatus(state.statuses, each.request);
                entry.crashes = std::max(entry.crashes, each.crashesBefore + 1);
                entry.suspectUntilMs = std::max(entry.suspectUntilMs, report.crashedAtMs + state.rules.memoryMs);
            }
        }
        if (identifiesIsolated(state.reports, report)) {
            fingerprint_status &entry = findOrInsertStatus(state.statuses, report.isolated);
            entry.quarantinedUntilMs = std::max(entry.quarantinedUntilMs, report.crashedAtMs + quarantineMs);
        }
    }
}

void prune(quarantine_state &state, std::int64_t nowMs)
{
    std::erase_if(state.reports, [&](const auto &each) {
        return each.second.crashedAtMs + state.rules.memoryMs <= nowMs;
    });
    while (state.reports.size() > maxReports) {
        state.reports.erase(std::ranges::min_element(state.reports, {}, [](const auto &each) {
            return std::pair(each.second.crashedAtMs, each.first);
        }));
    }
}

// Merges two reports of the same crash. Symmetric in its arguments, so that the order of deliveries does not matter.
crash_report mergedReport(const crash_report &left, const crash_report &right)
{
    crash_report both = left;
    both.crashedAtMs = std::min(left.crashedAtMs, right.crashedAtMs);
    both.suspects.clear();
    std::ranges::merge(left.suspects,
                       right.suspects,
                       std::back_inserter(both.suspects),
                       {},
                       &suspect::request,
                       &suspect::request);
    std::size_t kept = 0;
    for (const suspect &each : both.suspects) {
        if (kept > 0 && both.suspects[kept - 1].request == each.request) {
            suspect &merged = both.suspects[kept - 1];
            merged.isCleared = merged.isCleared || each.isCleared;
            merged.crashesBefore = std::max(merged.crashesBefore, each.crashesBefore);
        } else {
            both.suspects[kept++] = each;
        }
    }
    both.suspects.resize(kept);
    both.hasIsolated = left.hasIsolated || right.hasIsolated;
    if (left.hasIsolated && right.hasIsolated) {
        both.isolated = std::min(left.isolated, right.isolated);
    } else {
        both.isolated = left.hasIsolated ? left.isolated : right.isolated;
    }
    return both;
}

} // namespace

fingerprint fingerprintOf(std::string_view method,
                          std::string_view path,
                          std::string_view idempotencyKey,
                          std::string_view bodyStart)
{
    const std::string_view body = bodyStart.substr(0, fingerprintBodyBytes);
    std::string bytes;
    bytes.reserve(method.size() + path.size() + idempotencyKey.size() + body.size() + 3);
    for (const std::string_view part : {method, path, idempotencyKey}) {
        bytes.append(part).push_back('\0');
    }
    return hashBytes(bytes.append(body));
}

suspicion suspicionOf(const quarantine_state &state, const fingerprint &request, std::int64_t nowMs)
{
    const fingerprint_status status = statusOf(state, request);
    if (status.quarantinedUntilMs > nowMs) {
        return suspicion::Quarantined;
    }
    return status.suspectUntilMs > nowMs ? suspicion::Suspect : suspicion::None;
}

std::int64_t quarantinedFor(const quarantine_state &state, const fingerprint &request, std::int64_t nowMs)
{
    return std::max<std::int64_t>(0, statusOf(state, request).quarantinedUntilMs - nowMs);
}

run_decision mayRun(const quarantine_state &state,
                    std::span<const fingerprint> running,
                    const fingerprint &request,
                    std::int64_t nowMs)
{
    const suspicion ownSuspicion = suspicionOf(state, request, nowMs);
    if (ownSuspicion != suspicion::Suspect) {
        return ownSuspicion == suspicion::None ? run_decision::Run : run_decision::Refuse;
    }
    const std::uint32_t ownCrashes = statusOf(state, request).crashes;
    const bool isOtherSuspectRunning = std::ranges::any_of(running, [&](const fingerprint &other) {
        return other != request && suspicionOf(state, other, nowMs) != suspicion::None
            && std::max(ownCrashes, statusOf(state, other).crashes) >= state.rules.isolateFrom;
    });
    return isOtherSuspectRunning ? run_decision::RunElsewhere : run_decision::Run;
}

std::uint32_t crashesOf(const quarantine_state &state, const fingerprint &request)
{
    return statusOf(state, request).crashes;
}

crash_report
reportCrash(quarantine_state &state, const hash128 &id, std::span<const cut_request> cut, std::int64_t nowMs)
{
    crash_report report{id, nowMs, {}, false, {}};
    std::vector<cut_request> requests(cut.begin(), cut.end());
    std::ranges::sort(requests, std::ranges::greater()); // the copy of a request that knew of the most crashes first
    const auto isSameRequest = [](const cut_request &left, const cut_request &right) {
        return left.request == right.request;
    };
    requests.erase(std::unique(requests.begin(), requests.end(), isSameRequest), requests.end());
    std::ranges::reverse(requests);
    requests.resize(std::min(requests.size(), maxSuspects));
    std::ranges::transform(requests, std::back_inserter(report.suspects), [](const cut_request &each) {
        return suspect{each.request, false, each.crashesBefore};
    });
    const auto wasSuspect = [](const cut_request &each) {
        return each.crashesBefore > 0;
    };
    const auto known = std::ranges::find_if(requests, wasSuspect);
    report.hasIsolated =
        std::ranges::count_if(requests, wasSuspect) == 1 && known->crashesBefore >= state.rules.isolateFrom;
    report.isolated = report.hasIsolated ? known->request : fingerprint{};
    if (!report.suspects.empty()) {
        mergeReports(state, std::span(&report, 1), nowMs);
    }
    return report;
}

crash_report
reportCrash(quarantine_state &state, const hash128 &id, std::span<const fingerprint> running, std::int64_t nowMs)
{
    std::vector<cut_request> cut;
    std::ranges::transform(running, std::back_inserter(cut), [&](const fingerprint &request) {
        return cut_request{request, crashesOf(state, request)};
    });
    return reportCrash(state, id, std::span<const cut_request>(cut), nowMs);
}

std::vector<crash_report> recordCompleted(quarantine_state &state, const fingerprint &request, std::int64_t nowMs)
{
    std::vector<crash_report> changed;
    if (suspicionOf(state, request, nowMs) == suspicion::None) {
        return changed;
    }
    for (auto &[key, report] : state.reports) {
        const auto found = std::ranges::find(report.suspects, request, &suspect::request);
        if (found != report.suspects.end() && !found->isCleared) {
            found->isCleared = true;
            changed.push_back(report);
        }
    }
    rebuildStatuses(state);
    return changed;
}

bool mergeReports(quarantine_state &state, std::span<const crash_report> reports, std::int64_t nowMs)
{
    const report_map before = state.reports;
    for (const crash_report &report : reports) {
        const auto [found, isNew] = state.reports.try_emplace(report.id, report);
        if (!isNew) {
            found->second = mergedReport(found->second, report);
        }
    }
    prune(state, nowMs);
    if (state.reports == before) {
        return false;
    }
    rebuildStatuses(state);
    return true;
}

hold_back beginHoldBack(std::span<const std::string_view> nodeIds, time_point now)
{
    return {{nodeIds.begin(), nodeIds.end()}, now + maxHoldBack};
}

void acknowledgeReport(hold_back &hold, std::string_view nodeId)
{
    std::erase(hold.waitingFor, nodeId);
}

bool mayRespond(const hold_back &hold, time_point now)
{
    return hold.waitingFor.empty() || now >= hold.until;
}

} // namespace pistachioquay
