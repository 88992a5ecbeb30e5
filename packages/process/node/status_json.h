// JSON bodies of the responses of the control port.
//
//   const std::string body = statusJson(inputs);
#pragma once

#include <string>

#include "process/membership/gossip.h"
#include "process/metrics/metrics.h"
#include "process/node/config_store.h"
#include "request/proxy/proxy.h"

namespace pistachioquay {

// Input of statusJson.
struct status_inputs
{
    std::string nodeId;
    std::string dataCentre;
    std::string service;
    std::string state; // starting, ready or draining
    store_status store;
    gossip_status gossip;
    proxy_status proxy;
    std::uint64_t syncBytes = 0; // sent and received on the sync port, as server and as client
};

// statusJson returns the body of GET /v1/status. Thread safe.
std::string statusJson(const status_inputs &inputs);

// reportJson returns the body of GET /v1/report. Thread safe.
std::string reportJson(const std::string &nodeId, const std::string &dataCentre, const metrics_snapshot &snapshot);

} // namespace pistachioquay
