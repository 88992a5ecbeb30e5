#include "testing/upstream/run_record.h"

#include <fstream>
#include <map>

#include <fcntl.h>
#include <unistd.h>

#include "base/clock.h"
#include "testing/harness/json.h"

namespace pistachioquay {

namespace {

void setText(json_t *object, const char *key, const std::string &text)
{
    json_object_set_new(object, key, json_stringn(text.data(), text.size()));
}

void setNumber(json_t *object, const char *key, std::uint64_t value)
{
    json_object_set_new(object, key, json_integer(static_cast<json_int_t>(value)));
}

void writeStart(json_t *object, const run_entry &entry)
{
    setNumber(object, "run", entry.run);
    setText(object, "id", entry.request.requestId);
    setText(object, "node_id", entry.request.nodeRequestId);
    setText(object, "key", entry.request.idempotencyKey);
    setText(object, "method", entry.request.method);
    setText(object, "path", entry.request.path);
    setNumber(object, "start_ms", static_cast<std::uint64_t>(entry.startMs));
}

void writeEnd(json_t *object, const run_end &end)
{
    setNumber(object, "end_ms", static_cast<std::uint64_t>(end.timeMs));
    setNumber(object, "status", end.status);
    setNumber(object, "bytes", end.bytes);
    json_object_set_new(object, "whole", json_boolean(end.isWhole));
    json_object_set_new(object, "cancelled", json_boolean(end.isCancelled));
}

run_entry readStart(const json_t *object)
{
    run_entry entry;
    entry.run = static_cast<std::uint64_t>(integerIn(object, "run", 0));
    entry.startMs = integerIn(object, "start_ms", 0);
    entry.request = {textIn(object, "id", ""),
                     textIn(object, "node_id", ""),
                     textIn(object, "key", ""),
                     textIn(object, "method", ""),
                     textIn(object, "path", "")};
    return entry;
}

std::optional<run_end> readEnd(const json_t *object)
{
    if (!json_is_integer(json_object_get(object, "end_ms"))) {
        return std::nullopt;
    }
    run_end end;
    end.timeMs = integerIn(object, "end_ms", 0);
    end.status = static_cast<std::uint32_t>(integerIn(object, "status", 0));
    end.bytes = static_cast<std::uint64_t>(integerIn(object, "bytes", 0));
    end.isWhole = flagIn(object, "whole", false);
    end.isCancelled = flagIn(object, "cancelled", false);
    return end;
}

} // namespace

run_record::run_record(const std::string &path)
{
    constexpr int ownerAndReaders = 0644;
    if (!path.empty()) {
        m_file = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, ownerAndReaders);
    }
}

run_record::~run_record()
{
    if (m_file >= 0) {
        close(m_file);
    }
}

bool run_record::isOpen() const
{
    return m_file >= 0;
}

std::uint64_t run_record::start(const run_request &request)
{
    const std::lock_guard guard(m_mutex);
    m_entries.push_back({m_entries.size() + 1, unixNowMs(), request, std::nullopt});
    const json_holder line(json_object());
    json_object_set_new(line.get(), "event", json_string("start"));
    writeStart(line.get(), m_entries.back());
    appendLine(toText(line.get()));
    return m_entries.back().run;
}

void run_record::end(std::uint64_t run, const run_end &how)
{
    const std::lock_guard guard(m_mutex);
    run_entry &entry = m_entries.at(run - 1);
    entry.end = how;
    entry.end->timeMs = unixNowMs();
    const json_holder line(json_object());
    json_object_set_new(line.get(), "event", json_string("end"));
    setNumber(line.get(), "run", run);
    writeEnd(line.get(), *entry.end);
    appendLine(toText(line.get()));
}

std::vector<run_entry> run_record::entries() const
{
    const std::lock_guard guard(m_mutex);
    return m_entries;
}

// One `write` for each line: the kernel holds it from then on, so a crash of the process loses nothing.
void run_record::appendLine(std::string line)
{
    line += '\n';
    if (m_file >= 0 && write(m_file, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        _exit(4); // a record with holes would make a check of doubled runs pass falsely
    }
}

std::vector<run_entry> readRecordFile(const std::string &path)
{
    std::vector<run_entry> entries;
    std::map<std::uint64_t, std::size_t> open; // by run number of the latest process
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        const json_holder object = parseJson(line);
        if (textIn(object.get(), "event", "") == "start") {
            entries.push_back(readStart(object.get()));
            open[entries.back().run] = entries.size() - 1;
        } else if (textIn(object.get(), "event", "") == "end") {
            const auto found = open.find(static_cast<std::uint64_t>(integerIn(object.get(), "run", 0)));
            if (found != open.end()) {
                entries[found->second].end = readEnd(object.get());
            }
        }
    }
    return entries;
}

std::string entriesToJson(const std::vector<run_entry> &entries)
{
    const json_holder root(json_object());
    json_t *runs = json_array();
    json_object_set_new(root.get(), "runs", runs);
    for (const run_entry &entry : entries) {
        json_t *object = json_object();
        writeStart(object, entry);
        json_object_set_new(object, "end_ms", json_null());
        if (entry.end) {
            writeEnd(object, *entry.end);
        }
        json_array_append_new(runs, object);
    }
    return toText(root.get());
}

std::optional<std::vector<run_entry>> entriesFromJson(std::string_view json)
{
    const json_holder root = parseJson(json);
    const json_t *runs = json_object_get(root.get(), "runs");
    if (!json_is_array(runs)) {
        return std::nullopt;
    }
    std::vector<run_entry> entries;
    for (std::size_t index = 0; index < json_array_size(runs); ++index) {
        entries.push_back(readStart(json_array_get(runs, index)));
        entries.back().end = readEnd(json_array_get(runs, index));
    }
    return entries;
}

} // namespace pistachioquay
