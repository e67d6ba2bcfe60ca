#include "mustardrouter/Configuration/configuration_check.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

/// A valid configuration of one place, a group of three databases, a read rule, a policy and a service.
change_set minimalChanges()
{
    database_group group{"g", {}, 1};
    for (const char *name : {"g-1", "g-2", "g-3"}) {
        group.databases.push_back({database_name(name), "here", "10.0.0." + std::string(1, name[2]) + ":5432", 3, 45, 10});
    }
    session_policy policy;
    policy.name = "default";
    policy.readRule = "own";
    return {
        {place{"here", "r"}, group, named_read_rule{"own", read_rule::session, {}}, policy, service{"s", {"g"}, "default", 0.1, {}}}, {}};
}

configuration_snapshot minimalSnapshot()
{
    return applyChanges({}, minimalChanges());
}

bool hasProblem(const std::vector<configuration_problem> &problems, problem_kind kind, const std::string &object, const std::string &field)
{
    return std::ranges::any_of(problems, [&](const configuration_problem &problem) {
        return problem.kind == kind && problem.object == object && problem.field == field;
    });
}

} // namespace

TEST_GROUP(configuration_check){};

TEST(configuration_check, aValidConfigurationHasNoProblems)
{
    CHECK(checkChanges({}, minimalChanges()).empty());
}

TEST(configuration_check, allProblemsAreReportedTogether)
{
    change_set changes;
    database_group group{"g", {}, 1};
    group.databases.push_back({database_name("g-1"), "nowhere", "db:5432", 50, 45, 10});
    group.databases.push_back({database_name("g-1"), "here", "10.0.0.2:5432", 0, 45, 10});
    group.databases.push_back({database_name("g-3"), "here", "10.0.0.2:5432", 3, 45, 10});
    session_policy policy;
    policy.name = "default";
    policy.readRule = "none";
    policy.weight = 0;
    changes.changed = {place{"here", "r"}, place{"", "r"}, group, policy, service{"s", {"g", "g", "h"}, "other", 2, {}}};
    const auto problems = checkChanges({}, changes);
    CHECK(hasProblem(problems, problem_kind::missingReference, "database_group/g", "databases[g-1].place"));
    CHECK(hasProblem(problems, problem_kind::badAddress, "database_group/g", "databases[g-1].address"));
    CHECK(hasProblem(problems, problem_kind::limitOutOfRange, "database_group/g", "databases[g-1].slots"));
    CHECK(hasProblem(problems, problem_kind::limitOutOfRange, "database_group/g", "databases[g-1]"));
    CHECK(hasProblem(problems, problem_kind::duplicateName, "database_group/g", "databases"));
    CHECK(hasProblem(problems, problem_kind::duplicateAddress, "database_group/g", "databases[g-3].address"));
    CHECK(hasProblem(problems, problem_kind::missingReference, "session_policy/default", "readRule"));
    CHECK(hasProblem(problems, problem_kind::limitOutOfRange, "session_policy/default", "weight"));
    CHECK(hasProblem(problems, problem_kind::duplicateName, "service/s", "groups"));
    CHECK(hasProblem(problems, problem_kind::missingReference, "service/s", "groups"));
    CHECK(hasProblem(problems, problem_kind::missingReference, "service/s", "sessionPolicy"));
    CHECK(hasProblem(problems, problem_kind::limitOutOfRange, "service/s", "retryBudget"));
    CHECK(hasProblem(problems, problem_kind::emptyName, "place/", "name"));
}

TEST(configuration_check, objectsInUseCannotBeRemoved)
{
    const auto problems = checkChanges(minimalSnapshot(), {{}, {{"database_group", "g"}, {"place", "gone"}}});
    UNSIGNED_LONGS_EQUAL(2, problems.size());
    CHECK(hasProblem(problems, problem_kind::unknownObject, "place/gone", "name"));
    CHECK(hasProblem(problems, problem_kind::inUse, "database_group/g", "name"));
    CHECK(problems.back().detail == "service/s.groups refers to it");
    // Removing it together with the referring service is valid.
    CHECK(checkChanges(minimalSnapshot(), {{}, {{"database_group", "g"}, {"service", "s"}}}).empty());
}

TEST(configuration_check, anObjectMayOccurOnlyOnceInAChangeSet)
{
    const auto problems = checkChanges(minimalSnapshot(), {{place{"here", "x"}}, {{"place", "here"}}});
    CHECK(hasProblem(problems, problem_kind::duplicateName, "place/here", "name"));
}

TEST(configuration_check, databaseNamesAndConfirmReplicasOfAGroupCannotBeChanged)
{
    database_group group = minimalSnapshot().groups.at("g");
    group.databases.front().slots = 4;
    group.databases.front().address = "10.0.0.9:5432";
    CHECK(checkChanges(minimalSnapshot(), {{group}, {}}).empty());
    group.databases.front().name = database_name("g-4");
    group.confirmReplicas = 2;
    const auto problems = checkChanges(minimalSnapshot(), {{group}, {}});
    CHECK(hasProblem(problems, problem_kind::unsafeChange, "database_group/g", "databases"));
    CHECK(hasProblem(problems, problem_kind::unsafeChange, "database_group/g", "confirmReplicas"));
}

TEST(configuration_check, addressesAreAnIpAndAPort)
{
    for (const char *good : {"10.0.0.1:5432", "127.0.0.1:1", "[::1]:65535", "[fd00::1:2]:80"}) {
        CHECK(isIpAndPort(good));
    }
    for (const char *bad : {"",
                            ":",
                            "10.0.0.1",
                            "10.0.0.1:0",
                            "10.0.0.1:65536",
                            "10.0.0:80",
                            "10.0.0.256:80",
                            "10.0.0.1.2:80",
                            "db:5432",
                            "10.0.0.1:",
                            "10..0.1:80",
                            "[::1:80",
                            "[1:2::3::4]:80",
                            "[x::]:80",
                            "10.0.0.1:80x",
                            "-1.0.0.1:80"}) {
        CHECK_FALSE(isIpAndPort(bad));
    }
}
