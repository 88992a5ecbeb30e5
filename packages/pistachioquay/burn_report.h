// The report on service-level burn: figures of all nodes merged for each data centre, service and objective.
//
//   burn_table table;
//   mergeReport(table, body);
//   for (const auto &[key, counts] : table) ...
#pragma once

#include <compare>
#include <map>
#include <string>
#include <string_view>

#include "base/error.h"
#include "process/metrics/burn.h"

namespace pistachioquay {

// One objective of one service in one data centre: the nodes there that took the requests from their callers.
struct burn_key
{
    std::string dataCentre;
    std::string service;
    std::string objective;

    friend auto operator<=>(const burn_key &, const burn_key &) = default;
};

using burn_table = std::map<burn_key, burn_counts>;

// mergeReport adds the body of one GET /v1/report. Not thread safe for one table. Fails with Corrupt and then changes
// nothing.
result<void> mergeReport(burn_table &table, std::string_view body);

// isBurning tells whether the budget burns faster than allowed over both windows, so that a short burst alone or an old
// failure alone does not count. Thread safe.
bool isBurning(const burn_counts &counts);

} // namespace pistachioquay
