#include "mustardrouter/Platform/configuration_store.h"

#include "mustardrouter/Platform/object_codec.h"
#include "mustardrouter/Platform/split_value.h"
#include "mustardrouter/Runtime/json_settings.h"

#include <algorithm>
#include <random>

namespace mustardrouter
{

namespace
{

constexpr int maxAttempts = 8;
/// Maximum number of old revisions that one publication removes.
constexpr std::uint64_t maxRevisionsPerCollection = 64;

/// State of a publication in progress.
struct publication_progress {
    const object_api &platform;
    const change_set &changes;
    const publication &what;
    /// Snapshot read by the first attempt; publications after it are checked for conflicts.
    configuration_snapshot base{};
    bool hasBase = false;
    /// Version of the head that a sent update replaces. The update may have taken effect, or may still
    /// do so, until another publication is known to have replaced that version.
    std::optional<std::uint64_t> sentForVersion{};
};

publication_result failedResult(const publication_progress &progress, failure cause)
{
    publication_result result;
    result.kind = progress.sentForVersion ? outcome::unknown : outcome::notRun;
    result.cause = cause;
    result.revision = progress.base.revision;
    return result;
}

std::vector<publication_conflict> findConflicts(const publication_progress &progress,
                                                const std::vector<objects::configuration_revision> &since)
{
    const std::vector<object_reference> own = affectedObjects(progress.changes);
    std::vector<publication_conflict> conflicts;
    for (const objects::configuration_revision &revision : since) {
        const change_set theirs = handleErrors(
            [&] {
                return fromSchema(revision);
            },
            [](const error &) {
                return change_set{};
            });
        for (const object_reference &object : affectedObjects(theirs)) {
            if (progress.what.requireUnchangedBase || std::ranges::binary_search(own, object)) {
                conflicts.push_back({object, revision_number(revision.revision()), revision.author()});
            }
        }
    }
    return conflicts;
}

/// Removes all objects of old revisions, up to `limit`; returns the last revision that is fully removed.
std::uint64_t removeOldRevisions(const object_api &platform, std::uint64_t collected, std::uint64_t limit)
{
    limit = std::min(limit, collected + maxRevisionsPerCollection);
    for (std::uint64_t number = collected + 1; number <= limit; ++number) {
        for (const std::string &prefix : {revisionKey(number, {}), wholeRevisionKey(number, {})}) {
            const auto listed = platform.list(prefix);
            if (listed.cause != failure::none) {
                return number - 1;
            }
            for (const platform_object &object : listed.value) {
                if (platform.remove(object).cause == failure::platformUnavailable) {
                    return number - 1;
                }
            }
        }
    }
    return std::max(collected, limit);
}

/// The last revision that may be removed. The retained revisions and the whole revision that they are based on stay.
std::uint64_t collectionLimit(const retention &keep, std::uint64_t newest)
{
    const std::uint64_t oldestKept = newest > keep.minRevisionsKept ? newest - keep.minRevisionsKept : 0;
    const std::uint64_t wholeBelow = oldestKept - oldestKept % keep.wholeRevisionInterval;
    return wholeBelow > 0 ? wholeBelow - 1 : 0;
}

failure storeWholeRevision(const publication_progress &progress, const configuration_snapshot &next, objects::configuration_head &head)
{
    objects::configuration_revision whole;
    toSchema(differenceOf({}, next), whole);
    whole.set_revision(head.revision());
    whole.set_publication(progress.what.id);
    const failure cause = putSplitValue(progress.platform, wholeRevisionKey(head.revision(), progress.what.id), writeJson(whole));
    if (cause == failure::none) {
        head.set_whole_revision(head.revision());
        head.set_whole_publication(progress.what.id);
        const std::uint64_t limit = collectionLimit(progress.what.keep, head.revision());
        head.set_collected_revision(removeOldRevisions(progress.platform, head.collected_revision(), limit));
    }
    return cause;
}

/// Stores the revision's objects, then updates the head to it.
failure storeRevision(publication_progress &progress, const stored_head &current, const configuration_snapshot &next)
{
    objects::configuration_revision revision;
    toSchema(progress.changes, revision);
    revision.set_revision(next.revision.value());
    revision.set_author(progress.what.author);
    revision.set_unix_ms(progress.what.unixMs);
    revision.set_publication(progress.what.id);
    revision.set_previous_publication(current.head.publication());
    revision.set_whole(next.revision.value() % progress.what.keep.wholeRevisionInterval == 0);
    objects::configuration_head head = current.head;
    head.set_revision(next.revision.value());
    head.set_publication(progress.what.id);
    failure cause = putSplitValue(progress.platform, revisionKey(head.revision(), progress.what.id), writeJson(revision));
    if (cause == failure::none && revision.whole()) {
        cause = storeWholeRevision(progress, next, head);
    }
    if (cause != failure::none) {
        return cause;
    }
    progress.sentForVersion = current.version;
    return progress.platform.put({configurationHeadKey, writeJson(head), current.version}).cause;
}

/// Reads the head and checks whether an earlier attempt has already published; otherwise tries to
/// publish. Empty when another attempt is needed.
std::optional<publication_result> attemptPublication(publication_progress &progress)
{
    const auto head = readHead(progress.platform);
    if (head.cause != failure::none) {
        return std::nullopt;
    }
    const auto current = loadUpTo(progress.platform, head.value.head, progress.base);
    if (current.cause != failure::none) {
        return std::nullopt;
    }
    if (!progress.hasBase) {
        progress.base = current.value;
        progress.hasBase = true;
    }
    const revision_number since = std::min(progress.what.base.value_or(progress.base.revision), progress.base.revision);
    const auto others = readRevisions(progress.platform, head.value.head, since);
    if (others.cause == failure::platformUnavailable) {
        return std::nullopt;
    }
    if (others.cause != failure::none) {
        return failedResult(progress, others.cause);
    }
    for (const objects::configuration_revision &revision : others.value) {
        if (revision.publication() == progress.what.id) {
            return publication_result{outcome::done, failure::none, revision_number(revision.revision()), {}, {}};
        }
    }
    if (progress.sentForVersion && *progress.sentForVersion != head.value.version) {
        // Another publication has replaced the version that the sent update expects, so the update was rejected.
        progress.sentForVersion.reset();
    }
    std::vector<publication_conflict> conflicts = findConflicts(progress, others.value);
    if (!conflicts.empty()) {
        publication_result refused = failedResult(progress, failure::versionConflict);
        refused.conflicts = std::move(conflicts);
        return refused;
    }
    std::vector<configuration_problem> problems = checkChanges(current.value, progress.changes);
    if (!problems.empty()) {
        publication_result refused = failedResult(progress, failure::invalidConfiguration);
        refused.problems = std::move(problems);
        return refused;
    }
    configuration_snapshot next = applyChanges(current.value, progress.changes);
    next.revision = revision_number(current.value.revision.value() + 1);
    if (storeRevision(progress, head.value, next) == failure::none) {
        return publication_result{outcome::done, failure::none, next.revision, {}, {}};
    }
    return std::nullopt;
}

} // namespace

std::string newPublicationId()
{
    std::random_device device;
    std::mt19937_64 random(device());
    return std::to_string(random()) + "-" + std::to_string(random());
}

publication_result publishChanges(const object_api &platform, const change_set &changes, const publication &what)
{
    publication_progress progress{platform, changes, what};
    if (what.keep.wholeRevisionInterval == 0) {
        return failedResult(progress, failure::invalidSettings);
    }
    for (int number = 0; number < maxAttempts; ++number) {
        if (number > 0) {
            what.waitBeforeRetry(number);
        }
        std::optional<publication_result> result = attemptPublication(progress);
        if (result) {
            return *std::move(result);
        }
    }
    return failedResult(progress, failure::platformUnavailable);
}

publication_result rollBack(const object_api &platform, revision_number to, publication what)
{
    const auto current = loadConfiguration(platform, {});
    const auto earlier = current.cause == failure::none ? loadRevision(platform, to) : current;
    if (earlier.cause != failure::none) {
        return {outcome::notRun, earlier.cause, current.value.revision, {}, {}};
    }
    what.base = current.value.revision;
    what.requireUnchangedBase = true;
    return publishChanges(platform, differenceOf(current.value, earlier.value), what);
}

} // namespace mustardrouter
