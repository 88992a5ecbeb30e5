// Chooses the worker for a call: the one with fewer own calls outstanding among two random candidates. Private to the
// proxy.
//
//   const auto chosen = choice.choose(*view, "orders", alreadyTried);
//   choice.begin(chosen->nodeId);
//   ...
//   choice.end(chosen->nodeId);
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>

#include "base/random.h"
#include "request/routing/worker.h"

namespace pistachioquay::internal {

// All functions are thread safe.
class worker_choice
{
public:
    // choose returns a worker of the service that is not in `tried`; empty if there is none.
    std::optional<worker>
    choose(const worker_view &view, const std::string &service, std::span<const std::string> tried);
    // begin counts a call to a node, end uncounts it.
    void begin(const std::string &nodeId);
    void end(const std::string &nodeId);

private:
    std::mutex m_mutex;
    random_generator m_generator = seededFromDevice();
    std::map<std::string, std::uint32_t> m_outstanding;
};

} // namespace pistachioquay::internal
