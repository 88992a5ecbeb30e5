#include "pistachioquay/explain/explain.h"

#include <algorithm>
#include <charconv>
#include <ranges>

namespace pistachioquay {

namespace {

constexpr double minErrorStatus = 400;

// Returns the last word of the text before the timestamp, which collected logs use for the name of the node.
std::string nodeName(std::string_view prefix, std::string_view fallback)
{
    while (prefix.ends_with(' ')) {
        prefix.remove_suffix(1);
    }
    const auto blank = prefix.rfind(' ');
    const std::string_view name = blank == std::string_view::npos ? prefix : prefix.substr(blank + 1);
    return std::string(name.empty() ? fallback : name);
}

// Removes one value from the start of `text` and returns it. A quoted value may have spaces and escaped characters.
std::string consumeValue(std::string_view &text)
{
    std::string value;
    const bool isQuoted = text.starts_with('"');
    std::size_t at = isQuoted ? 1 : 0;
    for (; at < text.size() && text[at] != (isQuoted ? '"' : ' '); ++at) {
        if (isQuoted && text[at] == '\\' && at + 1 < text.size()) {
            ++at;
        }
        value += text[at];
    }
    text.remove_prefix(std::min(at + 1, text.size()));
    return value;
}

std::vector<log_field> parseFields(std::string_view text)
{
    std::vector<log_field> fields;
    for (;;) {
        while (text.starts_with(' ')) {
            text.remove_prefix(1);
        }
        const auto equals = text.find('=');
        if (equals == std::string_view::npos) {
            return fields;
        }
        log_field field;
        field.key = text.substr(0, equals);
        text.remove_prefix(equals + 1);
        field.value = consumeValue(text);
        fields.push_back(std::move(field));
    }
}

std::optional<double> numericValue(const log_entry &line, std::string_view key)
{
    const std::string_view text = fieldValue(line, key);
    double number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc{} ? std::optional(number) : std::nullopt;
}

std::string textValue(const log_entry &line, std::string_view key)
{
    return std::string(fieldValue(line, key));
}

bool isEvent(const log_entry &line, std::string_view part, std::string_view event)
{
    return line.part == part && line.event == event;
}

// True for entries of request `id` and of the calls that its workers made, whose ids are `id` and a suffix after a dot.
bool isOfRequestOrItsCalls(const log_entry &line, std::string_view id)
{
    const std::string_view entryId = fieldValue(line, "id");
    return entryId == id || (entryId.starts_with(id) && entryId.substr(id.size()).starts_with('.'));
}

bool hasRequestId(const log_entry &line, std::string_view id)
{
    return fieldValue(line, "id") == id;
}

bool hasNoRoute(const log_entry &endEntry)
{
    return fieldValue(endEntry, "status") == "404" && fieldValue(endEntry, "route") == "-";
}

// Returns the node of the last attempt in an attempt history like `be-1:handed-back,be-2:unknown`.
std::string lastAttemptNode(const log_entry &endEntry)
{
    const std::string_view attempts = fieldValue(endEntry, "nodes");
    const std::string_view last = attempts.substr(attempts.rfind(',') + 1);
    return std::string(last.substr(0, last.find(':')));
}

std::string explainNoRoute(const log_entry &endEntry)
{
    return "No route of configuration version " + textValue(endEntry, "version") + " matches host "
        + textValue(endEntry, "host") + " and path " + textValue(endEntry, "path") + ".\n";
}

std::string explainRefusal(const log_entry &endEntry, const std::vector<log_entry> &lines)
{
    constexpr std::string_view prefix = "not run: "; // start of the response body that the caller received
    std::string reason = textValue(endEntry, "reason");
    reason.erase(0, reason.starts_with(prefix) ? prefix.size() : 0);
    std::string cause = "It was refused and has not run: " + reason + ".\n";
    for (const log_entry &line : lines) {
        if (isEvent(line, "inbound", "refused") && hasRequestId(line, fieldValue(endEntry, "id"))) {
            cause += "Node " + line.node + " refused it (" + textValue(line, "reason")
                + "): " + textValue(line, "running") + " running, " + textValue(line, "waiting")
                + " waiting, expected wait " + textValue(line, "expected_wait_ms") + " ms and run "
                + textValue(line, "expected_run_ms") + " ms, " + textValue(line, "time_left_ms") + " ms left.\n";
        }
    }
    return cause;
}

std::string describeRun(const log_entry &run)
{
    return "At " + run.node + " worker " + textValue(run, "worker") + " took " + textValue(run, "took_ms")
        + " ms after a wait of " + textValue(run, "waited_ms") + " ms, where " + textValue(run, "expected_ms")
        + " ms was usual, and ended with "
        + (fieldValue(run, "status") == "0" ? textValue(run, "reason") : "status " + textValue(run, "status")) + ".\n";
}

bool isRunOfRequest(const log_entry &line, const log_entry &endEntry)
{
    return isEvent(line, "inbound", "ran") && hasRequestId(line, fieldValue(endEntry, "id"));
}

// True for the end of a failed call that a worker made while it ran the request.
bool isFailedWorkerCall(const log_entry &line, const log_entry &endEntry)
{
    return isEvent(line, "outbound", "ended") && !hasRequestId(line, fieldValue(endEntry, "id"))
        && numericValue(line, "status") >= minErrorStatus;
}

std::string explainLostResponse(const log_entry &endEntry, const std::vector<log_entry> &lines)
{
    const bool isTimeout = fieldValue(endEntry, "status") == "504";
    const std::string start = isTimeout
        ? "No response came in its time of " + textValue(endEntry, "time_left_ms") + " ms"
        : "It was sent, and its response was lost";
    std::string runs;
    for (const log_entry &line : lines) {
        runs += isRunOfRequest(line, endEntry) ? describeRun(line) : "";
    }
    return start + " (" + textValue(endEntry, "reason") + "), last at node " + lastAttemptNode(endEntry) + ".\n"
        + (runs.empty() ? "No node has logged a run of it: it may have run at a node that died.\n" : runs);
}

std::string explainResponse(const log_entry &endEntry, const std::vector<log_entry> &lines)
{
    const auto took = numericValue(endEntry, "took_ms");
    const auto target = numericValue(endEntry, "target_left_ms");
    const bool isLate = took && target && *took > *target;
    std::string cause = "The worker responded with status " + textValue(endEntry, "status") + " after "
        + textValue(endEntry, "took_ms") + " ms"
        + (isLate ? ", later than its target of " + textValue(endEntry, "target_left_ms") + " ms" : "") + ".\n";
    for (const log_entry &line : lines) {
        if (isRunOfRequest(line, endEntry)) {
            cause += describeRun(line);
        } else if (isFailedWorkerCall(line, endEntry)) {
            cause += "Its worker's call " + textValue(line, "id") + " to " + textValue(line, "service")
                + " ended with status " + textValue(line, "status") + ": explain that id for its cause.\n";
        }
    }
    return cause;
}

std::string explainCause(const log_entry &endEntry, const std::vector<log_entry> &lines)
{
    if (hasNoRoute(endEntry)) {
        return explainNoRoute(endEntry);
    }
    if (fieldValue(endEntry, "outcome") == "caller-left") {
        return "Its caller left after " + textValue(endEntry, "took_ms") + " ms, before the response.\n";
    }
    if (fieldValue(endEntry, "status") == "503") {
        return explainRefusal(endEntry, lines);
    }
    return fieldValue(endEntry, "outcome") == "response" ? explainResponse(endEntry, lines)
                                                         : explainLostResponse(endEntry, lines);
}

std::string suggestNextStep(const log_entry &endEntry)
{
    if (hasNoRoute(endEntry)) {
        return "Compare `[config] in-force` of " + endEntry.node + " with other nodes at that time.\n";
    }
    if (fieldValue(endEntry, "outcome") == "unknown") {
        return "Look for `[peer]` and `[store]` lines of " + endEntry.node + " and for `[node] started` of "
            + lastAttemptNode(endEntry) + " at that time.\n";
    }
    return {};
}

} // namespace

std::string_view fieldValue(const log_entry &line, std::string_view key)
{
    const auto found = std::ranges::find(line.fields, key, &log_field::key);
    return found == line.fields.end() ? std::string_view() : std::string_view(found->value);
}

std::optional<log_entry> parseLogLine(std::string_view text, std::string_view node)
{
    const auto open = text.find(" [");
    const auto close = text.find("] ", open == std::string_view::npos ? 0 : open);
    if (open == std::string_view::npos || close == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view beforePart = text.substr(0, open);
    const std::string_view time = beforePart.substr(beforePart.rfind(' ') + 1); // npos + 1 is 0
    log_entry line;
    const auto [end, failure] = std::from_chars(time.data(), time.data() + time.size(), line.atMs);
    if (failure != std::errc{} || end != time.data() + time.size()) {
        return std::nullopt;
    }
    line.node = nodeName(beforePart.substr(0, beforePart.size() - time.size()), node);
    line.part = text.substr(open + 2, close - open - 2);
    line.text = text.substr(open + 1);
    const std::string_view rest = text.substr(close + 2);
    const auto blank = std::min(rest.find(' '), rest.size());
    line.event = rest.substr(0, blank);
    line.fields = parseFields(rest.substr(blank));
    return line;
}

void appendLogEntries(std::vector<log_entry> &lines, std::string_view node, std::string_view log)
{
    while (!log.empty()) {
        const auto lineEnd = std::min(log.find('\n'), log.size());
        if (auto line = parseLogLine(log.substr(0, lineEnd), node)) {
            lines.push_back(std::move(*line));
        }
        log.remove_prefix(std::min(lineEnd + 1, log.size()));
    }
}

explanation explainRequest(std::vector<log_entry> lines, std::string_view id)
{
    explanation found;
    std::erase_if(lines, [&](const log_entry &line) {
        return id.empty() || !isOfRequestOrItsCalls(line, id);
    });
    std::ranges::stable_sort(lines, {}, &log_entry::atMs);
    found.lines = std::move(lines);
    if (found.lines.empty()) {
        return found;
    }
    const auto endEntry = std::ranges::find_if(found.lines, [&](const log_entry &line) {
        return isEvent(line, "outbound", "ended") && hasRequestId(line, id);
    });
    if (endEntry == found.lines.end()) {
        found.cause = "No node has logged how it ended.\n";
        found.next = "Add the log of the node that the caller used, or of that node before its restart.\n";
        return found;
    }
    found.cause = explainCause(*endEntry, found.lines);
    found.next = suggestNextStep(*endEntry);
    return found;
}

} // namespace pistachioquay
