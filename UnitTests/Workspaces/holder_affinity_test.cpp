#include "mustardrouter/Workspaces/holder_affinity.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

using namespace mustardrouter;

namespace
{

std::vector<affinity_candidate> holders(int count)
{
    std::vector<affinity_candidate> result;
    for (int number = 0; number < count; ++number) {
        result.push_back({instance_name("edge-" + std::to_string(number)), "region-" + std::to_string(number % 3)});
    }
    return result;
}

workspace limited(const std::string &name, std::optional<double> rate)
{
    workspace result;
    result.name = workspace_name(name);
    if (rate) {
        result.limit = workspace_limit{*rate, 0};
    }
    return result;
}

} // namespace

TEST_GROUP(holder_affinity){};

TEST(holder_affinity, theNumberOfHoldersFollowsTheShareAndIsAtLeastThree)
{
    for (const auto &[share, expected] : std::map<double, std::size_t>{{0, 3}, {0.01, 3}, {0.28, 6}, {0.5, 10}, {1, 20}, {7, 20}}) {
        CHECK_EQUAL(expected, preferredHolders("g", workspace_name("w"), share, holders(20)).size());
    }
    CHECK_EQUAL(1, preferredHolders("g", workspace_name("w"), 0, holders(1)).size());
    CHECK_TRUE(preferredHolders("g", workspace_name("w"), 1, {}).empty());
}

TEST(holder_affinity, theHoldersAreInDifferentRegionsAndEvenlyUsed)
{
    std::map<std::size_t, int> uses;
    const std::vector<affinity_candidate> all = holders(20);
    for (int number = 0; number < 85; ++number) {
        const workspace_name name("w" + std::to_string(number));
        const std::vector<std::size_t> two = preferredHolders("g", name, 0.005, all);
        CHECK_TRUE(all[two[0]].region != all[two[1]].region);
        std::set<std::string> regions;
        for (const std::size_t index : preferredHolders("g", name, 0.2, all)) {
            regions.insert(all[index].region);
        }
        CHECK_EQUAL(3, regions.size());
        uses[two[0]] += 1;
        uses[two[1]] += 1;
    }
    for (const auto &[index, count] : uses) {
        // 8.5 on average.
        CHECK_TRUE(count <= 20);
    }
    CHECK_EQUAL(20, uses.size());
}

TEST(holder_affinity, aHolderThatGoesChangesNoMoreThanItsOwnPlace)
{
    const std::vector<affinity_candidate> all = holders(20);
    std::vector<affinity_candidate> fewer = all;
    fewer.erase(fewer.begin() + 4);
    for (int number = 0; number < 85; ++number) {
        const workspace_name name("w" + std::to_string(number));
        std::set<instance_name> before;
        std::set<instance_name> after;
        for (const std::size_t index : preferredHolders("g", name, 0.005, all)) {
            before.insert(all[index].name);
        }
        for (const std::size_t index : preferredHolders("g", name, 0.005, fewer)) {
            after.insert(fewer[index].name);
        }
        const bool used = before.contains(instance_name("edge-4"));
        const auto kept = std::ranges::count_if(after, [&](const instance_name &holder) {
            return before.contains(holder);
        });
        CHECK_EQUAL(used ? 2 : 3, kept);
    }
}

TEST(holder_affinity, theShareIsThatOfTheConfiguredLimits)
{
    workspace_table table;
    addWorkspace(table, limited("large", 75), {});
    addWorkspace(table, limited("small", 25), {});
    addWorkspace(table, limited("none", 0), {});
    DOUBLES_EQUAL(0.75, shareOf(table, workspace_name("large")), 1e-9);
    DOUBLES_EQUAL(0, shareOf(table, workspace_name("none")), 1e-9);
    DOUBLES_EQUAL(0, shareOf(table, workspace_name()), 1e-9);
    addWorkspace(table, limited("free", std::nullopt), {});
    DOUBLES_EQUAL(1, shareOf(table, workspace_name("free")), 1e-9);
    workspace_table unlimited;
    addWorkspace(unlimited, limited("a", std::nullopt), {});
    addWorkspace(unlimited, limited("b", std::nullopt), {});
    DOUBLES_EQUAL(0.5, shareOf(unlimited, workspace_name("a")), 1e-9);
    workspace_table closed;
    addWorkspace(closed, limited("a", 0), {});
    DOUBLES_EQUAL(0, shareOf(closed, workspace_name("a")), 1e-9);
}
