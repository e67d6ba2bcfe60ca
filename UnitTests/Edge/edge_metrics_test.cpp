#include "mustardrouter/Edge/edge_metrics.h"

#include <fstream>
#include <iterator>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

TEST_GROUP(edge_metrics){};

TEST(edge_metrics, operationsPageListsExactlyTheExposedMetrics)
{
    proxy_engine engine{proxy_settings{}};
    engine.counters.refusalsByCause["the instance stops"] = 3;
    onLimits(engine.limits, {{workspace_name("red \"1\""), {5, 2}}}, time_point(std::chrono::seconds(1)));
    engine.routes.workspaces.enabled = true;
    addWorkspace(engine.routes.workspaces, {workspace_name("red \"1\""), workspace_limit{5, 2}, 0}, {api_key("k")});
    engine.counters.workspaces.byName[workspace_name("red \"1\"")].operations = 4;
    edge_metrics metrics;
    metrics.recordStatement(reply_code::done, 0.01);
    metrics.recordFirstWrite(failover_cause::leaving, 0.7);
    const std::string text = metrics.text(engine, 1, 2, {}, {});
    std::ifstream file(std::string(MUSTARDROUTER_SOURCE) + "/docs/OPERATIONS.md");
    const std::string page{std::istreambuf_iterator<char>(file), {}};
    std::set<std::string> exposed;
    for (std::size_t at = text.find("# TYPE "); at != std::string::npos; at = text.find("# TYPE ", at + 1)) {
        const std::size_t begin = at + 7;
        const std::size_t end = text.find(' ', begin);
        const std::string name = text.substr(begin, end - begin);
        const std::string type = text.substr(end + 1, text.find('\n', end) - end - 1);
        std::string row = "| `";
        row.append(name).append("` | ").append(type).append(" |");
        CHECK_TEXT(page.find(row) != std::string::npos, row.c_str());
        exposed.insert(name);
    }
    std::size_t rows = 0;
    for (std::size_t at = page.find("| `mustardrouter_"); at != std::string::npos; at = page.find("| `mustardrouter_", at + 1)) {
        rows += 1;
    }
    CHECK_EQUAL(exposed.size(), rows);
    CHECK_TRUE(text.find("mustardrouter_refusals_by_cause_total{cause=\"the instance stops\"} 3") != std::string::npos);
    CHECK_TRUE(text.find("mustardrouter_workspace_operations_total{workspace=\"red \\\"1\\\"\"} 4") != std::string::npos);
    CHECK_TRUE(text.find("mustardrouter_first_write_seconds_bucket{cause=\"primary leaves\",le=\"1\"} 1") != std::string::npos);
}

TEST(edge_metrics, workspacesBeyondTheTenWithTheMostUseAreSummed)
{
    proxy_engine engine{proxy_settings{}};
    CHECK_TRUE(edge_metrics().text(engine, 0, 0, {}, {}).find("workspace=") == std::string::npos);
    engine.routes.workspaces.enabled = true;
    for (int number = 0; number < 200; ++number) {
        workspace added;
        added.name = workspace_name("w\\\"" + std::to_string(number));
        added.limit = workspace_limit{10, 10};
        addWorkspace(engine.routes.workspaces, added, {api_key("secret-" + std::to_string(number))});
        countOperation(engine.counters.workspaces, added.name, {});
        countRefusal(engine.counters.workspaces, added.name, "the limit of the workspace is reached");
    }
    countOperation(engine.counters.workspaces, workspace_name("w\\\"7"), {});
    const std::string text = edge_metrics().text(engine, 0, 0, {}, {});
    std::size_t lines = 0;
    for (std::size_t at = text.find("workspace_operations_total{"); at != std::string::npos;
         at = text.find("workspace_operations_total{", at + 1)) {
        lines += 1;
    }
    CHECK_EQUAL(maxWorkspaceLabels, lines);
    CHECK_TRUE(text.find("mustardrouter_workspace_operations_total{workspace=\"w\\\\\\\"7\"} 2\n") != std::string::npos);
    CHECK_TRUE(text.find("mustardrouter_workspace_operations_total{workspace=\"all others\"} 190\n") != std::string::npos);
    CHECK_TRUE(text.find("{workspace=\"all others\",reason=\"the limit of the workspace is reached\"} 190\n") != std::string::npos);
    CHECK_TRUE(text.find("secret") == std::string::npos);
}
