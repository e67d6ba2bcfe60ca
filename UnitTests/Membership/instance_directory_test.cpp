#include "mustardrouter/Membership/instance_directory.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

instance_view viewOf(const std::string &name, const std::string &address, std::uint64_t incarnation, bool leaving = false)
{
    return {instance_name(name), address, "here", incarnation, leaving};
}

const instance_view first = viewOf("a.1", "10.0.0.1:1", 1);
const instance_view second = viewOf("b.1", "10.0.0.2:1", 1);

bool isLive(const instance_directory &directory, const instance_view &view, time_point now)
{
    for (const instance_view &live : liveInstances(directory, now)) {
        if (live.name == view.name) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_GROUP(instance_directory)
{
    instance_directory directory;
    time_point now = time_point(100s);
};

TEST(instance_directory, leavingIsNotUndoneByAnOldList)
{
    mergeInstanceList(directory, {first}, now);
    CHECK(mergeSelfReport(directory, viewOf("a.1", first.address, 1, true), now));
    CHECK_FALSE(mergeInstanceList(directory, {first}, now));
    CHECK_FALSE(isLive(directory, first, now));
}

TEST(instance_directory, aRestartAtAnAddressReplacesTheEarlierIncarnation)
{
    const instance_view restarted = viewOf("a.2", first.address, 2);
    mergeInstanceList(directory, {first, second}, now);
    CHECK(mergeSelfReport(directory, restarted, now));
    CHECK_FALSE(isLive(directory, first, now));
    // The lagging list still contains the earlier incarnation.
    mergeInstanceList(directory, {first, second}, now);
    CHECK_FALSE(isLive(directory, first, now));
    CHECK(isLive(directory, restarted, now));
}

TEST(instance_directory, anUnlistedInstanceIsKeptWhileItSendsMessages)
{
    mergeSelfReport(directory, first, now);
    mergeInstanceList(directory, {second}, now + 1s);
    CHECK(isLive(directory, first, now + 1s));
    mergeInstanceList(directory, {second}, now + 20s);
    CHECK_FALSE(isLive(directory, first, now + 20s));
}

TEST(instance_directory, aBrokenConnectionMarksAnInstanceUnreachableBeforeTheListDoes)
{
    mergeInstanceList(directory, {first, second}, now);
    CHECK(markUnreachable(directory, first.name, now));
    CHECK_FALSE(isLive(directory, first, now));
    CHECK_FALSE(mergeInstanceList(directory, {first, second}, now + 1s));
    CHECK_FALSE(isLive(directory, first, now + 1s));
    CHECK(mergeInstanceList(directory, {second}, now + 2s));
}

TEST(instance_directory, anUnreachableInstanceReturnsWithAMessageOrAfterTheHoldDown)
{
    mergeInstanceList(directory, {first}, now);
    markUnreachable(directory, first.name, now);
    // The instance is unreachable from here, but still listed, and a message makes it live again.
    CHECK(mergeSelfReport(directory, first, now + 1s));
    CHECK(isLive(directory, first, now + 1s));
    markUnreachable(directory, first.name, now + 2s);
    CHECK(isLive(directory, first, now + 13s));
}

TEST(instance_directory, anUnreachableInstanceExpiresThoughStillListed)
{
    mergeInstanceList(directory, {first, second}, now);
    markUnreachable(directory, first.name, now);
    CHECK_FALSE(expireInstances(directory, now + 59s));
    CHECK(expireInstances(directory, now + 61s));
    UNSIGNED_LONGS_EQUAL(1, directory.instances.size());
}

TEST(instance_directory, addressesOfRemovedInstancesAreBounded)
{
    for (std::uint64_t number = 0; number < 10000; ++number) {
        mergeInstanceList(directory, {viewOf("n", "address-" + std::to_string(number), number)}, now);
    }
    CHECK(directory.newestByAddress.size() <= 4097);
}

TEST(instance_directory, aMessageFromAnEarlierIncarnationIsIgnored)
{
    CHECK(mergeSelfReport(directory, viewOf("a.1", "10.0.0.1:1", 1), now));
    CHECK(mergeSelfReport(directory, viewOf("a.2", "10.0.0.1:1", 2), now));
    CHECK_FALSE(mergeSelfReport(directory, viewOf("a.1", "10.0.0.1:1", 1), now));
    UNSIGNED_LONGS_EQUAL(1, liveInstances(directory, now).size());
    CHECK(liveInstances(directory, now).front().name == instance_name("a.2"));
}

TEST(instance_directory, aListDoesNotRestoreAnEarlierIncarnation)
{
    mergeSelfReport(directory, viewOf("a.2", "10.0.0.1:1", 2), now);
    mergeInstanceList(directory, {viewOf("a.1", "10.0.0.1:1", 1), viewOf("b.1", "10.0.0.2:1", 1)}, now + 11s);
    UNSIGNED_LONGS_EQUAL(1, liveInstances(directory, now + 11s).size());
    CHECK(liveInstances(directory, now + 11s).front().name == instance_name("b.1"));
}

TEST(instance_directory, leavingStaysSet)
{
    mergeSelfReport(directory, viewOf("a.1", "10.0.0.1:1", 1, true), now);
    CHECK_FALSE(mergeSelfReport(directory, viewOf("a.1", "10.0.0.1:1", 1), now));
    CHECK(liveInstances(directory, now).empty());
}
