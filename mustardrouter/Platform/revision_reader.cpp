#include "mustardrouter/Platform/revision_reader.h"

#include "mustardrouter/Platform/object_codec.h"
#include "mustardrouter/Platform/split_value.h"
#include "mustardrouter/Runtime/json_settings.h"

namespace mustardrouter
{

const char *const configurationHeadKey = "configuration/head";

namespace
{

using revision_list = std::vector<objects::configuration_revision>;

/// Runs a conversion and returns only the cause of its failure.
template<typename Work>
failure failureCauseOf(const Work &work)
{
    return handleErrors(
        [&]() -> result_of<failure> {
            BOOST_LEAF_CHECK(work());
            return failure::none;
        },
        [](const error &what) {
            return what.cause;
        });
}

platform_answer<objects::configuration_revision> readStored(const object_api &platform, const std::string &key, std::uint64_t number)
{
    platform_answer<objects::configuration_revision> read;
    const platform_answer<std::string> text = getSplitValue(platform, key);
    read.cause = text.cause;
    if (read.cause != failure::none) {
        return read;
    }
    read.cause = failureCauseOf([&] {
        return readJson(text.value, key, read.value);
    });
    if (read.cause == failure::none && read.value.revision() != number) {
        read.cause = failure::invalidConfiguration;
    }
    return read;
}

failure applyRevision(const objects::configuration_revision &revision, configuration_snapshot &snapshot)
{
    return failureCauseOf([&]() -> result_of<void> {
        BOOST_LEAF_AUTO(changes, fromSchema(revision));
        snapshot = applyChanges(std::move(snapshot), changes);
        snapshot.revision = revision_number(revision.revision());
        return {};
    });
}

/// Applies revisions, which are ordered newest first, from the oldest on.
failure applyAll(const revision_list &revisions, configuration_snapshot &snapshot)
{
    for (auto revision = revisions.rbegin(); revision != revisions.rend(); ++revision) {
        const failure cause = applyRevision(*revision, snapshot);
        if (cause != failure::none) {
            return cause;
        }
    }
    return failure::none;
}

platform_answer<configuration_snapshot> loadWholeRevision(const object_api &platform, std::uint64_t number, const std::string &publication)
{
    platform_answer<configuration_snapshot> loaded;
    const auto stored = readStored(platform, wholeRevisionKey(number, publication), number);
    loaded.cause = stored.cause == failure::none ? applyRevision(stored.value, loaded.value) : stored.cause;
    return loaded;
}

} // namespace

std::string revisionKey(std::uint64_t revision, const std::string &publication)
{
    return "configuration/revision/" + std::to_string(revision) + "/" + publication;
}

std::string wholeRevisionKey(std::uint64_t revision, const std::string &publication)
{
    return "configuration/whole/" + std::to_string(revision) + "/" + publication;
}

platform_answer<stored_head> parseHead(const platform_object &object)
{
    platform_answer<stored_head> stored;
    if (object.version == 0) {
        return stored;
    }
    stored.value.version = object.version;
    stored.cause = failureCauseOf([&] {
        return readJson(object.value, configurationHeadKey, stored.value.head);
    });
    return stored;
}

platform_answer<stored_head> readHead(const object_api &platform)
{
    const platform_answer<platform_object> answer = platform.get(configurationHeadKey);
    if (answer.cause != failure::none) {
        return {answer.cause, {}};
    }
    return parseHead(answer.value);
}

platform_answer<revision_list> readRevisions(const object_api &platform, const objects::configuration_head &head, revision_number known)
{
    platform_answer<revision_list> revisions;
    std::string publication = head.publication();
    for (std::uint64_t number = head.revision(); number > known.value(); --number) {
        auto stored = readStored(platform, revisionKey(number, publication), number);
        if (stored.cause != failure::none) {
            revisions.cause = stored.cause;
            return revisions;
        }
        publication = stored.value.previous_publication();
        revisions.value.push_back(std::move(stored.value));
    }
    return revisions;
}

platform_answer<configuration_snapshot> loadUpTo(const object_api &platform,
                                                 const objects::configuration_head &head,
                                                 const configuration_snapshot &known)
{
    platform_answer<configuration_snapshot> loaded{failure::none, known};
    if (head.revision() <= known.revision.value()) {
        return loaded;
    }
    if (known.revision.value() < head.whole_revision()) {
        loaded = loadWholeRevision(platform, head.whole_revision(), head.whole_publication());
    }
    if (loaded.cause == failure::none) {
        const auto revisions = readRevisions(platform, head, loaded.value.revision);
        loaded.cause = revisions.cause == failure::none ? applyAll(revisions.value, loaded.value) : revisions.cause;
    }
    if (loaded.cause != failure::none) {
        loaded.value = known;
    }
    return loaded;
}

platform_answer<configuration_snapshot> loadConfiguration(const object_api &platform, const configuration_snapshot &known)
{
    const auto head = readHead(platform);
    if (head.cause != failure::none) {
        return {head.cause, known};
    }
    return loadUpTo(platform, head.value.head, known);
}

platform_answer<configuration_snapshot> loadRevision(const object_api &platform, revision_number revision)
{
    const auto head = readHead(platform);
    if (head.cause != failure::none) {
        return {head.cause, {}};
    }
    if (revision.value() > head.value.head.revision() || revision.value() == 0) {
        return {failure::notFound, {}};
    }
    std::string publication = head.value.head.publication();
    revision_list laterRevisions;
    configuration_snapshot snapshot;
    for (std::uint64_t number = head.value.head.revision(); number > 0; --number) {
        auto stored = readStored(platform, revisionKey(number, publication), number);
        if (stored.cause != failure::none) {
            return {stored.cause, {}};
        }
        if (number <= revision.value() && stored.value.whole()) {
            auto whole = loadWholeRevision(platform, number, publication);
            if (whole.cause != failure::none) {
                return whole;
            }
            snapshot = std::move(whole.value);
            break;
        }
        publication = stored.value.previous_publication();
        if (number <= revision.value()) {
            laterRevisions.push_back(std::move(stored.value));
        }
    }
    const failure cause = applyAll(laterRevisions, snapshot);
    return {cause, cause == failure::none ? snapshot : configuration_snapshot{}};
}

platform_answer<revision_list> readHistory(const object_api &platform, std::size_t limit)
{
    const auto head = readHead(platform);
    if (head.cause != failure::none) {
        return {head.cause, {}};
    }
    const std::uint64_t newest = head.value.head.revision();
    const std::uint64_t startAfter = newest > limit ? newest - limit : 0;
    return readRevisions(platform, head.value.head, revision_number(std::max(startAfter, head.value.head.collected_revision())));
}

} // namespace mustardrouter
