// Stand-in for the platform's store: serves topics of records over the store's published protocol and simulates
// outages and returns from a copy.
//
//   store_stand_in store;
//   store.put("keyed.op", "config", text);
//   store.setMode(store_mode::Silent);
//   store.takeCopy(); ...; store.setMode(store_mode::Away); ...; store.returnFromCopy();
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "connection/loop/http_server.h"
#include "connection/loop/loop_fixture.h"

namespace pistachioquay::testing {

// How the stand-in handles the calls that it receives.
enum class store_mode : std::uint8_t
{
    Up,
    Busy, // answers 503 without executing the call
    Silent, // sends no answer
    LosesAnswers, // executes the call and closes the connection without an answer
    Away, // closes the connection without executing the call
};

// All functions are thread safe.
class store_stand_in
{
public:
    store_stand_in();
    ~store_stand_in();
    store_stand_in(const store_stand_in &) = delete;
    store_stand_in &operator=(const store_stand_in &) = delete;

    endpoint address() const;
    // put appends a record to a keyed topic, as the operator does when it publishes.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    // forget drops the history of a topic, so that reads from older offsets get 410. The newest value of each key stays
    // available through /log-newest.
    void forget(const std::string &topic);
    void setMode(store_mode mode);
    // takeCopy copies all topics. returnFromCopy loses what was written since, starts a new era and answers again;
    // reads that wait for a record end without an answer.
    void takeCopy();
    void returnFromCopy();
    std::uint64_t era() const;
    // setEraHeader replaces the era in all answers by a text, or leaves it out if the text is empty.
    void setEraHeader(const std::string &text);
    // keys returns the keys that have a value.
    std::vector<std::string> keys(const std::string &topic);
    // newestValue returns the newest value of a key; empty if there is none.
    std::string newestValue(const std::string &topic, const std::string &key);
    // calls returns the number of calls received.
    std::uint64_t calls() const;

private:
    struct topic_log
    {
        std::uint64_t first = 0; // offset of the oldest record kept
        std::vector<std::string> records; // encoded as stored: key length, key, value
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest; // value and offset by key
        // end returns the offset of the next record to be appended.
        std::uint64_t end() const
        {
            return first + records.size();
        }
    };

    awaitable<whole_response> answer(const whole_request &request);
    awaitable<whole_response> execute(const whole_request &request);
    awaitable<whole_response> read(topic_log &topic, std::uint64_t from, milliseconds wait);
    whole_response append(topic_log &topic, const std::string &body);
    whole_response newest(const topic_log &topic, const std::string &after) const;
    static void appendRecord(topic_log &topic, std::string record);

    loop_thread m_loop;
    std::map<std::string, topic_log> m_topics;
    std::map<std::string, topic_log> m_copy;
    std::optional<std::string> m_eraHeader;
    std::atomic<std::uint64_t> m_era = 1;
    std::atomic<store_mode> m_mode = store_mode::Up;
    std::atomic<std::uint64_t> m_calls = 0;
    std::unique_ptr<async_http_server> m_server;
};

} // namespace pistachioquay::testing
