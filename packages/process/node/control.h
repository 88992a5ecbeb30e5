// Control port of a node: serves its status and its service-level report as JSON over HTTP, with ulfius.
//
//   control_server control(address, {status, report});
//   BOOST_LEAF_CHECK(control.start());
//
//   GET /v1/status    versions, members, readers, counters
//   GET /v1/report    error-budget counts and latency of each service
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/endpoint.h"
#include "base/error.h"

namespace pistachioquay {

// Functions that return the JSON body of a response. Each may be called by several threads at once.
struct control_sources
{
    std::function<std::string()> status;
    std::function<std::string()> report;
};

class control_server
{
public:
    control_server(endpoint address, control_sources sources);
    ~control_server();
    control_server(const control_server &) = delete;
    control_server &operator=(const control_server &) = delete;

    // start opens the port. Not thread safe. Fails with Unavailable if the port is in use.
    result<void> start();

    // stop closes the port. Not thread safe; can be repeated.
    void stop();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace pistachioquay
