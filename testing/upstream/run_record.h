// Record of every request that the stand-in worker ran, in memory and in a file that survives a crash.
//
//   run_record record("/tmp/test/worker-1.record");
//   const std::uint64_t run = record.start({.requestId = "r1", .method = "POST", .path = "/orders"});
//   record.end(run, {.status = 200, .bytes = 5, .isWhole = true});
//
// The file has one JSON object per line: {"event": "start", "run": 1, ...} before a request runs, and
// {"event": "end", "run": 1, ...} before it is answered. A run without an end was cut off by a crash.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachioquay {

// What was asked for. `requestId` is the id that the test gave, `nodeRequestId` the one of the nodes.
struct run_request
{
    std::string requestId;
    std::string nodeRequestId;
    std::string idempotencyKey;
    std::string method;
    std::string path;

    friend bool operator==(const run_request &, const run_request &) = default;
};

// How a run ended. `isWhole` tells whether the whole request body arrived.
struct run_end
{
    std::int64_t timeMs = 0;
    std::uint32_t status = 0;
    std::uint64_t bytes = 0;
    bool isWhole = false;
    bool isCancelled = false;

    friend bool operator==(const run_end &, const run_end &) = default;
};

// One run; without an end it still runs, or was cut off by a crash.
struct run_entry
{
    std::uint64_t run = 0;
    std::int64_t startMs = 0;
    run_request request;
    std::optional<run_end> end;

    friend bool operator==(const run_entry &, const run_entry &) = default;
};

// All functions are thread safe.
class run_record
{
public:
    // An empty path keeps the record in memory only.
    explicit run_record(const std::string &path);
    ~run_record();
    run_record(const run_record &) = delete;
    run_record &operator=(const run_record &) = delete;

    // isOpen tells whether the file could be opened.
    bool isOpen() const;

    // start notes that a request begins to run and returns the number of the run.
    std::uint64_t start(const run_request &request);

    // end notes how a run ended.
    void end(std::uint64_t run, const run_end &how);

    // entries returns all runs of this process in the order of their start.
    std::vector<run_entry> entries() const;

private:
    void appendLine(std::string line);

    mutable std::mutex m_mutex;
    int m_file = -1;
    std::vector<run_entry> m_entries;
};

// readRecordFile reads the runs of all processes that wrote to a file, in the order of their start. A line that is cut
// off at the end of the file is ignored. Thread safe.
std::vector<run_entry> readRecordFile(const std::string &path);

// entriesToJson writes {"runs": [...]} with one object for each run; `end_ms` is null while a run has not ended. Thread
// safe.
std::string entriesToJson(const std::vector<run_entry> &entries);

// entriesFromJson reads what `entriesToJson` wrote; empty if the text is malformed. Thread safe.
std::optional<std::vector<run_entry>> entriesFromJson(std::string_view json);

} // namespace pistachioquay
