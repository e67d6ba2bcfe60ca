#include "mustardrouter/PlatformStandIn/standin_objects.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

TEST_GROUP(standin_objects){};

TEST(standin_objects, conditionalWritesSucceedOnce)
{
    standin_objects objects;
    CHECK_TRUE(objects.create("k", "a", "one") == write_result::done);
    CHECK_TRUE(objects.create("k", "a", "two") == write_result::conflict);
    const std::uint64_t first = objects.find("k", "a")->revision;
    CHECK_TRUE(objects.replace("k", "a", "two", first) == write_result::done);
    CHECK_TRUE(objects.replace("k", "a", "three", first) == write_result::conflict);
    CHECK_TRUE(objects.replace("k", "b", "three", 0) == write_result::notFound);
    CHECK_TRUE(objects.find("k", "a")->revision > first);
}

TEST(standin_objects, aReplacementWithEqualContentKeepsTheRevision)
{
    standin_objects objects;
    objects.put("k", "a", "one");
    const std::uint64_t before = objects.revision();
    objects.put("k", "a", "one");
    CHECK_EQUAL(before, objects.revision());
}

TEST(standin_objects, changesAreReportedByKindUntilTheHistoryIsDropped)
{
    standin_objects objects;
    const std::uint64_t before = objects.revision();
    objects.put("k", "a", "one");
    objects.put("other", "b", "one");
    objects.remove("k", "a");
    const auto changes = objects.changesSince("k", before);
    CHECK_EQUAL(2U, changes->size());
    CHECK_TRUE(changes->back().removed);
    objects.dropHistory();
    CHECK_FALSE(objects.changesSince("k", before).has_value());
    CHECK_TRUE(objects.changesSince("k", objects.revision())->empty());
}

TEST(standin_objects, aWatchFromARevisionThatIsNotReachedYetHasNoHistory)
{
    standin_objects objects;
    objects.put("k", "a", 1);
    const standin_objects copy = objects;
    objects.put("k", "b", 2);
    CHECK_FALSE(copy.changesSince("k", objects.revision()).has_value());
    CHECK_TRUE(copy.changesSince("k", copy.revision()).has_value());
}
