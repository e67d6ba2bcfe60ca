#include "mustardrouter/Soak/soak_workspaces.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1000s};
constexpr time_point beginning = start;
/// Age of the oldest version that may be in force, as in a quiet phase of the soak.
constexpr duration bound = 4s;
constexpr std::size_t clients = 12;

/// Workspaces of which the first version was published at `start`, and helpers for what clients and databases saw.
struct small_workspaces : soak_workspaces {
    std::uint64_t attempts = 0;

    small_workspaces()
    {
        soak_workspaces::start(clients, [](time_point sentAt) {
            return sentAt - bound;
        });
        onPublished(beginning);
    }
    void publish(soak_fault kind, std::uint32_t target, std::uint32_t variant, time_point at)
    {
        change({.kind = kind, .target = target, .variant = variant}, at);
        onPublished(at);
    }
    std::vector<std::string> run(const std::string &key, const std::string &caller, time_point at, bool isPublic = false)
    {
        sent_statement sent;
        sent.key = key;
        sent.sentAt = at;
        sent.attempt = ++attempts;
        sent.routeIsPublic = isPublic;
        statement_run ran;
        ran.id = "s" + std::to_string(attempts);
        ran.caller = caller;
        return onRun(ran, sent, at);
    }
    void expect(const std::vector<std::string> &violations, const char *prefix) const
    {
        CHECK_EQUAL(1U, violations.size());
        CHECK_TRUE_TEXT(violations.front().starts_with(prefix), violations.front().c_str());
    }
};

} // namespace

TEST_GROUP(soak_workspaces)
{
    small_workspaces workspaces;
    const std::string own = workspaces.current()[1].name;
    const std::string other = workspaces.current()[0].name;
    const std::string key = workspaces.current()[1].keys.front();
    const std::string secondKey = workspaces.current()[1].keys.back();
};

TEST(soak_workspaces, aKeyRunsInTheNameOfItsWorkspaceOnly)
{
    CHECK_TRUE(workspaces.run(key, own, start + 1s).empty());
    workspaces.expect(workspaces.run(key, other, start + 1s), "UNASKED");
    workspaces.expect(workspaces.run(key, "instance-1", start + 1s), "UNASKED");
    workspaces.expect(workspaces.run(key, key, start + 1s), "UNASKED");
    workspaces.expect(workspaces.run(key, secondKey, start + 1s), "UNASKED");
    workspaces.expect(workspaces.run("unknown-key", other, start + 1s), "ROUTE");
}

TEST(soak_workspaces, aPublicRouteServesWithoutAKeyButNotInTheNameOfAnotherWorkspace)
{
    CHECK_TRUE(workspaces.run("unknown-key", "instance-1", start + 1s, true).empty());
    CHECK_TRUE(workspaces.run(key, "instance-1", start + 1s, true).empty());
    CHECK_TRUE(workspaces.run(key, own, start + 1s, true).empty());
    workspaces.expect(workspaces.run("unknown-key", other, start + 1s, true), "UNASKED");
    workspaces.expect(workspaces.run("unknown-key", "unknown-key", start + 1s, true), "UNASKED");
    CHECK_FALSE(workspaces.onUnknownKey("unknown-key", true, start + 1s, start + 1s).empty());
}

TEST(soak_workspaces, aWithdrawnKeyRunsUntilTheBoundOnly)
{
    workspaces.publish(soak_fault::keysWithdrawn, 1, 1, start + 10s);
    CHECK_TRUE(workspaces.run(key, own, start + 10s + bound - 1ms).empty());
    workspaces.expect(workspaces.run(key, own, start + 10s + bound + 1ms), "CONFIG");
    CHECK_TRUE(workspaces.run(secondKey, own, start + 20s).empty());
    CHECK_TRUE(workspaces.onUnknownKey(key, false, start + 10s, start + 10s).empty());
}

TEST(soak_workspaces, allKeysOfAWorkspaceAreWithdrawnAtOnce)
{
    workspaces.publish(soak_fault::keysWithdrawn, 1, 0, start + 10s);
    workspaces.expect(workspaces.run(key, own, start + 15s), "CONFIG");
    workspaces.expect(workspaces.run(secondKey, own, start + 15s), "CONFIG");
}

TEST(soak_workspaces, aKeyThatWasWithdrawnAndIsBackIsGood)
{
    workspaces.publish(soak_fault::keysWithdrawn, 1, 1, start + 10s);
    CHECK_FALSE(workspaces.isOwed(key, start + 20s, start + 20s));
    CHECK_TRUE(workspaces.isOwed(secondKey, start + 20s, start + 20s));
    CHECK_TRUE(workspaces.onUnknownKey(key, false, start + 11s, start + 11s).empty());
    workspaces.expect({workspaces.onUnknownKey(secondKey, false, start + 20s, start + 20s)}, "CONFIG");
}

TEST(soak_workspaces, aNewKeyMayBeRefusedUntilTheBoundOnly)
{
    workspaces.publish(soak_fault::keyAdded, 1, 0, start + 10s);
    const std::string added = workspaces.current()[1].keys.back();
    CHECK_TRUE(workspaces.onUnknownKey(added, false, start + 10s + bound - 1ms, start + 14s).empty());
    CHECK_FALSE(workspaces.onUnknownKey(added, false, start + 10s + bound, start + 14s).empty());
}

TEST(soak_workspaces, aKeyThatMovesRunsInEitherNameUntilTheBound)
{
    workspaces.publish(soak_fault::keyMoved, 1, 4, start + 10s);
    CHECK_EQUAL(other, workspaces.current()[0].name);
    CHECK_EQUAL(secondKey, workspaces.current()[0].keys.back());
    CHECK_TRUE(workspaces.run(secondKey, own, start + 13s).empty());
    CHECK_TRUE(workspaces.run(secondKey, other, start + 13s).empty());
    workspaces.expect(workspaces.run(secondKey, own, start + 15s), "UNASKED");
    CHECK_TRUE(workspaces.run(secondKey, other, start + 15s).empty());
    CHECK_FALSE(workspaces.onUnknownKey(secondKey, false, start + 11s, start + 11s).empty());
}

TEST(soak_workspaces, theLimitHoldsInEverySlidingWindow)
{
    // Two of the twelve clients: (3 x 60 x 5 + 3 x 60) x 1.1 + 20.
    constexpr int most = 1208;
    for (int count = 0; count < most; ++count) {
        CHECK_TRUE(workspaces.run(key, own, start + 20s + 4ms * count).empty());
    }
    workspaces.expect(workspaces.run(secondKey, own, start + 24999ms), "QUOTA");
    CHECK_TRUE(workspaces.run(key, own, start + 25100ms).empty());
}

TEST(soak_workspaces, statementsOfOneOperationCountOnce)
{
    for (int count = 0; count < 2000; ++count) {
        workspaces.attempts = 5;
        CHECK_TRUE(workspaces.run(key, own, start + 20s).empty());
    }
}

TEST(soak_workspaces, aLowerLimitBindsTheWindowsThatBeginAfterTheBound)
{
    workspaces.publish(soak_fault::limitLowered, 1, 0, start + 10s);
    CHECK_FALSE(workspaces.isOwed(key, start + 30s, start + 30s));
    // 3 x 4 x 6 x 1.1 + 20.
    constexpr int most = 99;
    for (int count = 0; count < 1000; ++count) {
        CHECK_TRUE(workspaces.run(key, own, start + 10s + bound + 1ms * count).empty());
    }
    for (int count = 0; count < most; ++count) {
        CHECK_TRUE(workspaces.run(key, own, start + 30s + 1ms * count).empty());
    }
    workspaces.expect(workspaces.run(key, own, start + 31s), "QUOTA");
    workspaces.publish(soak_fault::limitRaised, 1, 0, start + 40s);
    CHECK_FALSE(workspaces.isOwed(key, start + 41s, start + 41s));
    CHECK_TRUE(workspaces.isOwed(key, start + 52s, start + 52s));
}

TEST(soak_workspaces, clientsGetGoodKeysMostOfTheTimeAndOneNeverDoes)
{
    std::mt19937_64 random(1);
    workspaces.publish(soak_fault::keysWithdrawn, 1, 1, start + 10s);
    int withdrawn = 0;
    for (int count = 0; count < 1000; ++count) {
        withdrawn += workspaces.chooseKey(1, random) == key ? 1 : 0;
        CHECK_EQUAL(std::string("unknown-key"), workspaces.chooseKey(11, random));
    }
    CHECK_TRUE(withdrawn > 20 && withdrawn < 200);
}

TEST(soak_workspaces, aWorkspaceThatTookOverTheClientsOfTheLargestIsNotOwedAllEvenIfItsLimitIsRaised)
{
    workspaces.publish(soak_fault::limitLowered, 1, 0, start + 10s);
    workspaces.publish(soak_fault::keyMoved, 0, 0, start + 11s);
    workspaces.publish(soak_fault::limitRaised, 1, 0, start + 12s);
    CHECK_FALSE(workspaces.isOwed(key, start + 60s, start + 60s));
}
