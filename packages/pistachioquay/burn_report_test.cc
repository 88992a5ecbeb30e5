// Guards the burn report against wrong merging of nodes and against silence about nodes that were not reached.
#include <catch2/catch.hpp>

#include "pistachioquay/burn_report.h"
#include "pistachioquay/commands.h"

using namespace pistachioquay;

namespace {

std::string reportBody(const std::string &dataCentre, int total, int bad)
{
    const std::string counts = R"({"target_percent":99.0,"short_total":)" + std::to_string(total) + R"(,"short_bad":)"
        + std::to_string(bad) + R"(,"long_total":)" + std::to_string(total) + R"(,"long_bad":)" + std::to_string(bad)
        + "}";
    return R"({"node":"n","data_centre":")" + dataCentre + R"(","services":{"orders":{"objectives":{"fast":)" + counts
        + "}}}}";
}

cli_access accessTo(const std::string &first, const std::string &second)
{
    cli_access access;
    access.nodes = {{"127.0.0.1", 1}};
    access.fetchStatus = [](const endpoint & /*control*/) -> result<std::string> {
        return R"({"node":"a","data_centre":"be-1","service":"orders","state":"ready","control":"127.0.0.1:1",
                   "members":[{"node":"b","data_centre":"be-1","service":"orders","state":"ready",
                               "control":"127.0.0.1:2"}]})";
    };
    access.fetchReport = [first, second](const endpoint &control) -> result<std::string> {
        const std::string &body = control.port == 1 ? first : second;
        if (body.empty()) {
            return fail(error_kind::Unavailable, "no answer", "check the node");
        }
        return body;
    };
    return access;
}

command_report reportFor(const std::string &first, const std::string &second)
{
    cli_access access = accessTo(first, second);
    return runCommand([&] {
        return showBurn(access);
    });
}

} // namespace

TEST_CASE("counts of the nodes of a data centre add up")
{
    burn_table table;
    for (const char *dataCentre : {"be-1", "be-1", "be-2"}) {
        REQUIRE(attempt([&] {
            return mergeReport(table, reportBody(dataCentre, 100, 1));
        }));
    }
    CHECK(table.at({"be-1", "orders", "fast"}).longTotal == 200);
    CHECK(table.at({"be-2", "orders", "fast"}).longBad == 1);
}

TEST_CASE("the exit code tells scripts whether a budget burns too fast")
{
    CHECK(reportFor(reportBody("be-1", 100, 0), reportBody("be-1", 100, 2)).code == exit_code::Ok);
    CHECK(reportFor(reportBody("be-1", 100, 2), reportBody("be-1", 100, 2)).code == exit_code::Burning);
}

TEST_CASE("nodes that do not respond, or respond with garbage, are named and the others still count")
{
    const command_report silent = reportFor(reportBody("be-1", 100, 0), "");
    REQUIRE(silent.warnings.size() == 1);
    CHECK(silent.warnings.front().find("127.0.0.1:2") != std::string::npos);
    CHECK(silent.text.find("orders") != std::string::npos);
    CHECK(reportFor(reportBody("be-1", 100, 0), "garbage").warnings.size() == 1);
}
