#include "mustardrouter/Workspaces/workspace_usage.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1000s};

workspace_name nameOf(int number)
{
    return workspace_name("w" + std::to_string(number));
}

workspace_table tableOf(int count, double limit)
{
    workspace_table table;
    table.enabled = true;
    for (int number = 1; number <= count; ++number) {
        workspace added;
        added.name = nameOf(number);
        if (limit > 0) {
            added.limit = workspace_limit{limit, limit};
        }
        addWorkspace(table, added, {api_key("key-" + std::to_string(number))});
    }
    return table;
}

} // namespace

TEST_GROUP(workspace_usage)
{
    workspace_usage_table usage;

    void operations(int workspace, int count, time_point at = start)
    {
        for (int number = 0; number < count; ++number) {
            countOperation(usage, nameOf(workspace), at);
        }
    }
};

TEST(workspace_usage, nothingIsShownWithoutWorkspaces)
{
    operations(1, 1);
    CHECK_TRUE(figuresOf(usage, {}, start).empty());
}

TEST(workspace_usage, theTenWithTheMostUseAreNamedAndAllOthersSummed)
{
    const workspace_table table = tableOf(100, 50);
    for (int number = 1; number <= 100; ++number) {
        operations(number, number);
    }
    countRefusal(usage, nameOf(3), "limit reached");
    const std::vector<workspace_figures> figures = figuresOf(usage, table, start);
    CHECK_EQUAL(maxWorkspaceLabels, figures.size());
    CHECK_EQUAL(std::string("w100"), figures[0].label);
    CHECK_EQUAL(std::string("w91"), figures[9].label);
    CHECK_EQUAL(std::string("all others"), figures[10].label);
    CHECK_EQUAL(90U * 91U / 2U, figures[10].operations);
    CHECK_EQUAL(1U, figures[10].refusalsByReason.at("limit reached"));
    DOUBLES_EQUAL(90 * 50.0, figures[10].limit, 1e-9);
}

TEST(workspace_usage, whatIsRefusedCountsAsUse)
{
    const workspace_table table = tableOf(11, 0);
    for (int number = 1; number <= 10; ++number) {
        operations(number, 2);
    }
    for (int count = 0; count < 3; ++count) {
        countRefusal(usage, nameOf(11), "limit reached");
    }
    CHECK_EQUAL(std::string("w11"), figuresOf(usage, table, start).front().label);
}

TEST(workspace_usage, theShareInUseFollowsTheRateAndFades)
{
    const workspace_table table = tableOf(1, 100);
    for (int number = 0; number < 1500; ++number) {
        operations(1, 1, start + 20ms * number);
    }
    // 50 operations a second of 100.
    DOUBLES_EQUAL(0.5, figuresOf(usage, table, start + 30s).front().shareInUse, 0.01);
    DOUBLES_EQUAL(0.5 * 0.135, figuresOf(usage, table, start + 40s).front().shareInUse, 0.01);
}

TEST(workspace_usage, withoutALimitThereIsNoShare)
{
    operations(1, 10);
    const std::vector<workspace_figures> figures = figuresOf(usage, tableOf(1, 0), start);
    DOUBLES_EQUAL(0, figures.front().limit, 0);
    DOUBLES_EQUAL(0, figures.front().shareInUse, 0);
    CHECK_EQUAL(10U, figures.front().operations);
}

TEST(workspace_usage, aRemovedWorkspaceIsCountedAmongTheOthersAndItsNameForgotten)
{
    operations(1, 5);
    operations(2, 7);
    countRefusal(usage, nameOf(2), "limit reached");
    const workspace_table table = tableOf(1, 10);
    forgetRemovedWorkspaces(usage, table);
    CHECK_EQUAL(1U, usage.byName.size());
    const std::vector<workspace_figures> figures = figuresOf(usage, table, start);
    CHECK_EQUAL(2U, figures.size());
    CHECK_EQUAL(5U, figures[0].operations);
    CHECK_EQUAL(7U, figures[1].operations);
    CHECK_EQUAL(1U, figures[1].refusalsByReason.at("limit reached"));
}

TEST(workspace_usage, callersWithoutAWorkspaceAreNotCounted)
{
    countOperation(usage, {}, start);
    countRefusal(usage, {}, "limit reached");
    CHECK_TRUE(usage.byName.empty());
}
