#include "mustardrouter/Edge/content_difference.h"
#include "mustardrouter/Edge/told_objects.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

constexpr store_era era{1};

store_position at(std::uint64_t revision)
{
    return {era, store_revision(revision)};
}

Json::Value contentOf(int version)
{
    Json::Value content;
    content["version"] = version;
    content["kept"] = "as it is";
    return content;
}

/// What one that saw every version from `first` to `last` tells; the revision is ten times the version.
lacking_changes changesOf(int first, int last)
{
    lacking_changes lacking;
    for (int version = first + 1; version <= last; ++version) {
        lacking.differences["main"].push_back({at(static_cast<std::uint64_t>(version - 1) * 10),
                                               at(static_cast<std::uint64_t>(version) * 10),
                                               platform::encodeContent(differenceOf(contentOf(version - 1), contentOf(version)))});
    }
    return lacking;
}

platform::stored_object versionOf(int version)
{
    return {"main", at(static_cast<std::uint64_t>(version) * 10), contentOf(version)};
}

/// The version that one with `known` has after it was told; 0 if it refuses.
int afterTelling(int known, int newest, const lacking_changes &lacking, std::uint64_t knownPosition)
{
    relay::told_object sent;
    tellObject(versionOf(newest), at(knownPosition), lacking, 1000, sent);
    object_watch::told_changes told;
    told.to = at(static_cast<std::uint64_t>(newest) * 10 + 5);
    if (!takeObject(sent, {{"main", versionOf(known)}}, told)) {
        return 0;
    }
    CHECK_TRUE(told.changed.at("main").position == versionOf(newest).position);
    return told.changed.at("main").content["version"].asInt();
}

} // namespace

TEST_GROUP(told_objects){};

TEST(told_objects, differencesLeadFromAnyOfTheVersionsToTheNewest)
{
    for (int known = 2; known < 6; ++known) {
        CHECK_EQUAL(6, afterTelling(known, 6, changesOf(2, 6), static_cast<std::uint64_t>(known) * 10));
    }
}

TEST(told_objects, aVersionThatTheDifferencesDoNotStartFromIsRefused)
{
    CHECK_EQUAL(0, afterTelling(1, 6, changesOf(2, 6), 10));
}

TEST(told_objects, aGapInTheDifferencesIsNotBridged)
{
    lacking_changes lacking = changesOf(2, 6);
    lacking.differences["main"].erase(lacking.differences["main"].begin() + 1);
    CHECK_EQUAL(0, afterTelling(2, 6, lacking, 20));
    CHECK_EQUAL(6, afterTelling(4, 6, lacking, 40));
}

TEST(told_objects, withoutDifferencesTheContentIsTold)
{
    CHECK_EQUAL(6, afterTelling(2, 6, {}, 20));
    // Differences that end at another version are of no use.
    CHECK_EQUAL(6, afterTelling(2, 6, changesOf(2, 5), 20));
}

TEST(told_objects, anObjectThatHasNotChangedIsOnlyNamed)
{
    relay::told_object sent;
    tellObject(versionOf(4), at(45), {}, 1000, sent);
    CHECK_TRUE(sent.kept() && sent.content().empty());
    object_watch::told_changes told;
    told.to = at(60);
    CHECK_TRUE(takeObject(sent, {{"main", versionOf(4)}}, told));
    CHECK_TRUE(told.changed.at("main").content == contentOf(4));
    CHECK_FALSE(takeObject(sent, {{"main", versionOf(3)}}, told));
    CHECK_FALSE(takeObject(sent, {}, told));
}

TEST(told_objects, damagedMessagesAreRefused)
{
    relay::told_object sent;
    sent.set_name("main");
    sent.set_revision(50);
    object_watch::told_changes told;
    told.to = at(60);
    CHECK_FALSE(takeObject(sent, {{"main", versionOf(4)}}, told));
    relay::told_difference &difference = *sent.add_differences();
    difference.set_before(40);
    difference.set_after(50);
    for (const char *text : {"", "{", "7", "{\"parts\":[]}"}) {
        difference.set_difference(text);
        CHECK_FALSE(takeObject(sent, {{"main", versionOf(4)}}, told));
    }
}

TEST(told_objects, aChangeThatIsNestedDeeperThanTheReaderAcceptsIsRefused)
{
    // The reader accepts the content itself; its difference has two levels for each of its own.
    Json::Value before = 1;
    Json::Value after = 2;
    for (int level = 0; level < 600; ++level) {
        Json::Value outerBefore;
        Json::Value outerAfter;
        outerBefore["a"] = std::move(before);
        outerAfter["a"] = std::move(after);
        before = std::move(outerBefore);
        after = std::move(outerAfter);
    }
    lacking_changes lacking;
    lacking.differences["main"].push_back({at(10), at(20), platform::encodeContent(differenceOf(before, after))});
    relay::told_object sent;
    tellObject({"main", at(20), after}, at(10), lacking, 1'000'000, sent);
    CHECK_FALSE(sent.differences().empty());
    object_watch::told_changes told;
    told.to = at(25);
    CHECK_FALSE(takeObject(sent, {{"main", {"main", at(10), before}}}, told));
}
