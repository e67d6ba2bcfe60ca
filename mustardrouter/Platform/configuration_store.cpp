#include "mustardrouter/Platform/configuration_store.h"

#include "mustardrouter/Platform/object_codec.h"
#include "mustardrouter/Runtime/json_settings.h"

#include <chrono>
#include <random>

namespace mustardrouter
{

namespace
{

constexpr int maxRaces = 8;

struct stored_head {
    objects::configuration_head head;
    std::uint64_t version = 0;
};

/// The publication is part of the key: an object that lost the race for a revision is never read.
std::string revisionKey(std::uint64_t revision, const std::string &publication)
{
    return "configuration/revision/" + std::to_string(revision) + "/" + publication;
}

const char *const headKey = "configuration/head";

template<typename Message>
platform_answer<Message> readMessage(platform_client &platform, const std::string &key, std::uint64_t *version = nullptr)
{
    const platform_answer<platform_object> answer = platform.get(key);
    platform_answer<Message> read;
    read.why = answer.why;
    if (answer.why != failure::none || answer.value.version == 0) {
        return read;
    }
    if (version != nullptr) {
        *version = answer.value.version;
    }
    read.why = handled(
        [&]() -> result_of<failure> {
            BOOST_LEAF_CHECK(readJson(answer.value.value, key, read.value));
            return failure::none;
        },
        [](const error &what) {
            return what.why;
        });
    return read;
}

platform_answer<stored_head> readHead(platform_client &platform)
{
    platform_answer<stored_head> stored;
    const auto head = readMessage<objects::configuration_head>(platform, headKey, &stored.value.version);
    stored.why = head.why;
    stored.value.head = head.value;
    return stored;
}

std::string newPublication()
{
    std::random_device device;
    std::mt19937_64 random(device());
    return std::to_string(random()) + "-" + std::to_string(random());
}

std::uint64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/// Reads the revisions above `known` up to the head, newest first.
platform_answer<std::vector<objects::configuration_revision>> readRevisions(platform_client &platform,
                                                                            const objects::configuration_head &head,
                                                                            revision_number known)
{
    platform_answer<std::vector<objects::configuration_revision>> revisions;
    std::string publication = head.publication();
    for (std::uint64_t number = head.revision(); number > known.value(); --number) {
        auto stored = readMessage<objects::configuration_revision>(platform, revisionKey(number, publication));
        if (stored.why == failure::none && stored.value.revision() != number) {
            stored.why = failure::notFound;
        }
        if (stored.why != failure::none) {
            revisions.why = stored.why;
            return revisions;
        }
        publication = stored.value.previous_publication();
        revisions.value.push_back(std::move(stored.value));
    }
    return revisions;
}

failure applyRevision(const objects::configuration_revision &revision, configuration_snapshot &snapshot)
{
    return handled(
        [&]() -> result_of<failure> {
            BOOST_LEAF_AUTO(changes, fromSchema(revision));
            snapshot = applyChanges(std::move(snapshot), changes);
            snapshot.revision = revision_number(revision.revision());
            return failure::none;
        },
        [](const error &what) {
            return what.why;
        });
}

platform_answer<configuration_snapshot> loadUpTo(platform_client &platform,
                                                 const objects::configuration_head &head,
                                                 const configuration_snapshot &known)
{
    platform_answer<configuration_snapshot> loaded{failure::none, known};
    const auto revisions = readRevisions(platform, head, known.revision);
    loaded.why = revisions.why;
    for (auto revision = revisions.value.rbegin(); loaded.why == failure::none && revision != revisions.value.rend(); ++revision) {
        loaded.why = applyRevision(*revision, loaded.value);
    }
    if (loaded.why != failure::none) {
        loaded.value = known;
    }
    return loaded;
}

} // namespace

platform_answer<configuration_snapshot> loadConfiguration(platform_client &platform, const configuration_snapshot &known)
{
    const auto head = readHead(platform);
    if (head.why != failure::none) {
        return {head.why, known};
    }
    return loadUpTo(platform, head.value.head, known);
}

publication_result publishChanges(platform_client &platform, const change_set &changes, const std::string &author)
{
    const std::string publication = newPublication();
    configuration_snapshot snapshot;
    for (int race = 0; race < maxRaces; ++race) {
        const auto head = readHead(platform);
        if (head.why != failure::none) {
            return {head.why, {}, {}, "the platform does not answer; nothing was published"};
        }
        if (head.value.head.publication() == publication) {
            return {failure::none, revision_number(head.value.head.revision()), {}, {}};
        }
        const auto current = loadUpTo(platform, head.value.head, snapshot);
        if (current.why != failure::none) {
            return {current.why, {}, {}, "the present configuration cannot be read; nothing was published"};
        }
        snapshot = current.value;
        const configuration_snapshot next = applyChanges(snapshot, changes);
        std::vector<configuration_problem> problems = checkSnapshot(next);
        if (!problems.empty()) {
            return {failure::invalidConfiguration, snapshot.revision, std::move(problems), {}};
        }
        objects::configuration_revision revision;
        toSchema(changes, revision);
        revision.set_revision(snapshot.revision.value() + 1);
        revision.set_author(author);
        revision.set_unix_ms(unixMilliseconds());
        revision.set_publication(publication);
        revision.set_previous_publication(head.value.head.publication());
        // A lost answer does no harm: the same object is stored again under the same key.
        const auto written = platform.put({revisionKey(revision.revision(), publication), writeJson(revision), 0});
        if (written.why == failure::platformUnavailable) {
            continue;
        }
        objects::configuration_head newHead;
        newHead.set_revision(revision.revision());
        newHead.set_publication(publication);
        const auto stored = platform.put({headKey, writeJson(newHead), head.value.version});
        if (stored.why == failure::none) {
            return {failure::none, revision_number(revision.revision()), {}, {}};
        }
        // A conflict or a lost answer: the next turn reads the head back and knows.
    }
    return {failure::platformUnavailable, {}, {}, "could not tell whether the publication took effect; read the head back"};
}

} // namespace mustardrouter
