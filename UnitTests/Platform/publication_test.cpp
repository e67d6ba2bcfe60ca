#include "UnitTests/Platform/fake_platform.h"

#include "mustardrouter/Platform/configuration_store.h"
#include "mustardrouter/Platform/object_codec.h"
#include "mustardrouter/Platform/split_value.h"

#include <rapidcheck.h>

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

publication publicationBy(const std::string &author, std::uint64_t number = 0)
{
    publication what;
    what.id = author + "-" + std::to_string(number);
    what.author = author;
    return what;
}

change_set placeNamed(const std::string &name, const std::string &region = "here")
{
    return {{place{name, region}}, {}};
}

/// A random change of a few read rules and session policies, which refer to each other.
change_set randomChange(std::mt19937_64 &random)
{
    const auto pick = [&](unsigned below) {
        return std::uniform_int_distribution<unsigned>(0, below - 1)(random);
    };
    change_set changes;
    const std::string rule = "rule-" + std::to_string(pick(3));
    const std::string policy = "policy-" + std::to_string(pick(3));
    if (pick(3) == 0) {
        changes.removed.push_back(pick(2) == 0 ? object_reference{"read_rule", rule} : object_reference{"session_policy", policy});
        return changes;
    }
    if (pick(2) == 0) {
        changes.changed.emplace_back(named_read_rule{rule, read_rule::age, std::chrono::milliseconds(1 + pick(1000))});
    }
    if (pick(2) == 0 || changes.changed.empty()) {
        session_policy made;
        made.name = policy;
        made.readRule = "rule-" + std::to_string(pick(3));
        made.weight = 1 + pick(1000);
        changes.changed.emplace_back(made);
    }
    return changes;
}

struct attempt {
    std::string id;
    change_set changes;
    publication_result result;
};

/// Simulates concurrent operators: before a call of one, another may run a complete publication.
struct concurrent_operators {
    fake_platform &platform;
    std::mt19937_64 random;
    std::vector<attempt> attempts{};
    unsigned depth = 0;

    void publishOne()
    {
        constexpr unsigned maxDepth = 3;
        const std::size_t index = attempts.size();
        publication what = publicationBy("operator", index);
        what.keep = {4, 32};
        attempts.push_back({what.id, randomChange(random), {}});
        const change_set changes = attempts[index].changes;
        ++depth;
        platform.before = [this] {
            if (depth < maxDepth && std::uniform_int_distribution<unsigned>(0, 9)(random) == 0) {
                publishOne();
            }
        };
        const publication_result result = publishChanges(platform.api(), changes, what);
        attempts[index].result = result;
        --depth;
        if (depth == 0) {
            platform.before = [] {
            };
        }
    }
};

/// The revisions after `known` up to the head, oldest first.
std::vector<objects::configuration_revision> chainAfter(const object_api &api, revision_number known)
{
    auto revisions = readRevisions(api, readHead(api).value.head, known).value;
    std::ranges::reverse(revisions);
    return revisions;
}

configuration_snapshot withoutRevision(configuration_snapshot snapshot)
{
    snapshot.revision = {};
    return snapshot;
}

bool sameObjects(const configuration_snapshot &one, const configuration_snapshot &other)
{
    return differenceOf(withoutRevision(one), withoutRevision(other)) == change_set{};
}

} // namespace

TEST_GROUP(publication){};

TEST(publication, concurrentPublicationsAreSerializableUnderFaults)
{
    const bool passed = rc::check("serializable, done in force once, not run never, no dangling references", [](std::uint64_t seed) {
        fake_platform platform(seed);
        platform.percentRefused = 4;
        platform.percentRepliesLost = 6;
        platform.percentDelayed = 4;
        concurrent_operators all{platform, std::mt19937_64(seed + 1)};
        configuration_snapshot follower;
        std::map<std::string, std::uint64_t> inForce;
        configuration_snapshot serial;
        for (unsigned round = 0; round < 12; ++round) {
            all.publishOne();
            fake_platform healed = platform;
            healed.heal();
            const object_api api = healed.api();
            for (const auto &revision : chainAfter(api, serial.revision)) {
                RC_ASSERT(revision.revision() == serial.revision.value() + 1);
                RC_ASSERT(inForce.emplace(revision.publication(), revision.revision()).second);
                const auto tried = std::ranges::find(all.attempts, revision.publication(), &attempt::id);
                RC_ASSERT(tried != all.attempts.end());
                serial = applyChanges(serial, tried->changes);
                serial.revision = revision_number(revision.revision());
                RC_ASSERT(checkSnapshot(serial).empty());
            }
            // The follower reads under faults; its revision may lag, but never decreases.
            const auto loaded = loadConfiguration(platform.api(), follower);
            RC_ASSERT(loaded.value.revision >= follower.revision);
            follower = loaded.value;
            const auto fresh = loadConfiguration(api, {});
            RC_ASSERT(fresh.cause == failure::none);
            RC_ASSERT(sameObjects(fresh.value, serial));
            platform = healed;
            platform.percentRefused = 4;
            platform.percentRepliesLost = 6;
            platform.percentDelayed = 4;
        }
        for (const attempt &tried : all.attempts) {
            RC_ASSERT(tried.result.kind != outcome::done || inForce.contains(tried.id));
            RC_ASSERT(tried.result.kind != outcome::notRun || !inForce.contains(tried.id));
        }
    });
    CHECK(passed);
}

TEST(publication, aLostReplyAtEachStepIsResolvedByReadingBack)
{
    fake_platform platform(1);
    for (int step = 0; step < 2; ++step) {
        int puts = 0;
        object_api api = platform.api();
        api.put = [&](const platform_object &object) {
            const auto answer = platform.put(object);
            return puts++ == step ? platform_answer<std::uint64_t>{failure::platformUnavailable, 0} : answer;
        };
        const auto result = publishChanges(api, placeNamed("place-" + std::to_string(step)), publicationBy("anna", step));
        CHECK(result.kind == outcome::done);
        UNSIGNED_LONGS_EQUAL(step + 1, result.revision.value());
        UNSIGNED_LONGS_EQUAL(step + 1, readHead(platform.api()).value.head.revision());
    }
}

TEST(publication, aLostReplyIsResolvedAfterALaterPublication)
{
    fake_platform platform(1);
    object_api api = platform.api();
    bool interfered = false;
    api.put = [&](const platform_object &object) {
        const auto answer = platform.put(object);
        if (object.key != configurationHeadKey || interfered) {
            return answer;
        }
        interfered = true;
        CHECK(publishChanges(platform.api(), placeNamed("second"), publicationBy("boris")).kind == outcome::done);
        return platform_answer<std::uint64_t>{failure::platformUnavailable, 0};
    };
    const auto result = publishChanges(api, placeNamed("first"), publicationBy("anna"));
    CHECK(result.kind == outcome::done);
    UNSIGNED_LONGS_EQUAL(1, result.revision.value());
    UNSIGNED_LONGS_EQUAL(2, readHead(platform.api()).value.head.revision());
}

TEST(publication, anOutageIsUnknownAfterTheHeadWasSentAndNotRunBefore)
{
    fake_platform platform(1);
    object_api api = platform.api();
    api.put = [&](const platform_object &object) {
        const auto answer = platform.put(object);
        platform.down = object.key == configurationHeadKey;
        return platform.down ? platform_answer<std::uint64_t>{failure::platformUnavailable, 0} : answer;
    };
    CHECK(publishChanges(api, placeNamed("first"), publicationBy("anna")).kind == outcome::unknown);
    CHECK(publishChanges(api, placeNamed("second"), publicationBy("anna", 1)).kind == outcome::notRun);
    platform.heal();
    UNSIGNED_LONGS_EQUAL(1, loadConfiguration(platform.api(), {}).value.places.size());
}

TEST(publication, aCrashBetweenTheStepsPublishesNothing)
{
    fake_platform platform(1);
    CHECK(publishChanges(platform.api(), placeNamed("first"), publicationBy("anna")).kind == outcome::done);
    object_api api = platform.api();
    api.put = [&](const platform_object &object) {
        const auto answer = platform.put(object);
        platform.down = true;
        return answer;
    };
    CHECK(publishChanges(api, placeNamed("second"), publicationBy("anna", 1)).kind == outcome::unknown);
    platform.heal();
    UNSIGNED_LONGS_EQUAL(1, loadConfiguration(platform.api(), {}).value.places.size());
    CHECK(publishChanges(platform.api(), placeNamed("third"), publicationBy("boris")).kind == outcome::done);
    CHECK_FALSE(loadConfiguration(platform.api(), {}).value.places.contains("second"));
}

TEST(publication, aConflictReportsTheObjectAndTheOtherAuthor)
{
    fake_platform platform(1);
    object_api api = platform.api();
    bool interfered = false;
    api.put = [&](const platform_object &object) {
        if (!interfered) {
            interfered = true;
            CHECK(publishChanges(platform.api(), placeNamed("zilina", "theirs"), publicationBy("boris")).kind == outcome::done);
        }
        return platform.put(object);
    };
    change_set changes = placeNamed("zilina", "ours");
    changes.changed.emplace_back(place{"kosice", "ours"});
    const auto result = publishChanges(api, changes, publicationBy("anna"));
    CHECK(result.kind == outcome::notRun);
    CHECK(result.cause == failure::versionConflict);
    UNSIGNED_LONGS_EQUAL(1, result.conflicts.size());
    CHECK(result.conflicts.front().object == (object_reference{"place", "zilina"}));
    CHECK(result.conflicts.front().author == "boris");
}

TEST(publication, aBaseProtectsWhatChangedSinceItWasRead)
{
    fake_platform platform(1);
    CHECK(publishChanges(platform.api(), placeNamed("kosice"), publicationBy("anna", 1)).kind == outcome::done);
    CHECK(publishChanges(platform.api(), placeNamed("zilina"), publicationBy("boris", 2)).kind == outcome::done);
    publication what = publicationBy("anna", 3);
    what.base = revision_number(1);
    CHECK(publishChanges(platform.api(), placeNamed("zilina", "ours"), what).cause == failure::versionConflict);
    CHECK(publishChanges(platform.api(), placeNamed("kosice", "ours"), what).kind == outcome::done);
}

TEST(publication, changesAreValidatedAgainstAConcurrentPublication)
{
    fake_platform platform(1);
    CHECK(publishChanges(platform.api(), {{named_read_rule{"fresh", read_rule::latest, {}}}, {}}, publicationBy("anna")).kind
          == outcome::done);
    object_api api = platform.api();
    bool interfered = false;
    api.put = [&](const platform_object &object) {
        if (!interfered) {
            interfered = true;
            const change_set removal{{}, {{"read_rule", "fresh"}}};
            CHECK(publishChanges(platform.api(), removal, publicationBy("boris")).kind == outcome::done);
        }
        return platform.put(object);
    };
    session_policy policy;
    policy.name = "default";
    policy.readRule = "fresh";
    const auto result = publishChanges(api, {{policy}, {}}, publicationBy("anna", 1));
    CHECK(result.cause == failure::invalidConfiguration);
    CHECK(result.problems.front().kind == problem_kind::missingReference);
}

TEST(publication, rollbackPublishesANewRevisionWithTheOldObjects)
{
    fake_platform platform(1);
    constexpr std::uint64_t revisions = 11;
    std::map<std::uint64_t, configuration_snapshot> known;
    for (std::uint64_t number = 1; number <= revisions; ++number) {
        publication what = publicationBy("anna", number);
        what.keep = {4, 100};
        CHECK(publishChanges(platform.api(), placeNamed("p" + std::to_string(number % 3), std::to_string(number)), what).kind
              == outcome::done);
        known[number] = loadConfiguration(platform.api(), {}).value;
    }
    for (const auto &[number, snapshot] : known) {
        CHECK(sameObjects(loadRevision(platform.api(), revision_number(number)).value, snapshot));
    }
    const auto result = rollBack(platform.api(), revision_number(5), publicationBy("boris"));
    UNSIGNED_LONGS_EQUAL(revisions + 1, result.revision.value());
    CHECK(sameObjects(loadConfiguration(platform.api(), {}).value, known[5]));
}

TEST(publication, oldRevisionsAreRemovedAndANewInstanceReadsFewObjects)
{
    fake_platform platform(1);
    constexpr std::uint64_t revisions = 100;
    constexpr retention keep{8, 20};
    for (std::uint64_t number = 1; number <= revisions; ++number) {
        publication what = publicationBy("anna", number);
        what.keep = keep;
        CHECK(publishChanges(platform.api(), placeNamed("place", std::to_string(number)), what).kind == outcome::done);
    }
    platform.reads = 0;
    UNSIGNED_LONGS_EQUAL(revisions, loadConfiguration(platform.api(), {}).value.revision.value());
    CHECK(platform.reads <= 2 + keep.wholeRevisionInterval);
    const auto oldestKept = loadRevision(platform.api(), revision_number(revisions - keep.minRevisionsKept));
    CHECK(oldestKept.cause == failure::none);
    CHECK(loadRevision(platform.api(), revision_number(1)).cause == failure::notFound);
    // The minimum number kept, up to two intervals between whole revisions, the whole revisions and the head.
    CHECK(platform.objects.size() <= keep.minRevisionsKept + 3 * keep.wholeRevisionInterval + revisions / keep.wholeRevisionInterval);
    CHECK(readHistory(platform.api(), 1000).value.size() >= keep.minRevisionsKept);
}

TEST(publication, aSnapshotAboveAMegabyteIsSplitAtCharacterBoundaries)
{
    fake_platform platform(1);
    change_set changes;
    // Characters of three bytes, so that a cut at a fixed size usually falls inside a character.
    std::string region = "x";
    for (std::size_t size = 0; size < maxValueBytes; size += 3) {
        region += "\xe2\x82\xac";
    }
    changes.changed.emplace_back(place{"one", region});
    changes.changed.emplace_back(place{"two", region});
    publication what = publicationBy("anna");
    what.keep = {1, 4};
    CHECK(publishChanges(platform.api(), changes, what).kind == outcome::done);
    CHECK(platform.largestValue <= maxValueBytes);
    CHECK(loadConfiguration(platform.api(), {}).value.places.at("two").region == region);
    UNSIGNED_LONGS_EQUAL(1, platform.objects.erase(wholeRevisionKey(1, what.id) + "/part/1"));
    CHECK(loadConfiguration(platform.api(), {}).cause == failure::notFound);
}

TEST(publication, aRetentionWithoutWholeRevisionsIsRefusedNotDividedBy)
{
    fake_platform platform(1);
    publication what = publicationBy("anna");
    what.keep.wholeRevisionInterval = 0;
    const publication_result result = publishChanges(platform.api(), placeNamed("place"), what);
    CHECK(result.kind == outcome::notRun);
    CHECK(result.cause == failure::invalidSettings);
    CHECK(platform.objects.empty());
}

TEST(publication, aDamagedPartCountIsNotReadAsAnotherValue)
{
    fake_platform platform(1);
    const std::string value(maxValueBytes + 1, 'x');
    CHECK(putSplitValue(platform.api(), "key", value) == failure::none);
    CHECK(getSplitValue(platform.api(), "key").value == value);
    for (const char *damaged : {"parts ", "parts x", "parts -2", "parts 2x", "parts 0", "parts 1", "parts 99999999999999999999"}) {
        platform.objects.at("key").value = damaged;
        const auto read = getSplitValue(platform.api(), "key");
        CHECK(read.cause == failure::invalidConfiguration);
        CHECK(read.value.empty());
    }
}
