#pragma once

#include "mustardrouter/Configuration/change_set.h"
#include "mustardrouter/Configuration/configuration_snapshot.h"
#include "mustardrouter/Platform/object_api.h"
#include "mustardrouter/Schema/objects.pb.h"

#include <string>
#include <vector>

namespace mustardrouter
{

/// Key of the object that names the revision in force.
extern const char *const configurationHeadKey;

/// Key of a revision's changes. It contains the publication ID, so that the object of a publication
/// that lost the race for this revision is never read.
std::string revisionKey(std::uint64_t revision, const std::string &publication);

/// Key of a revision's whole snapshot.
std::string wholeRevisionKey(std::uint64_t revision, const std::string &publication);

/// The head and the version of the platform object that holds it.
struct stored_head {
    objects::configuration_head head;
    std::uint64_t version = 0;
};

/// Parses the head from its platform object, as returned by a read or a watch.
platform_answer<stored_head> parseHead(const platform_object &object);

/// Reads the head; revision 0 when nothing has been published.
platform_answer<stored_head> readHead(const object_api &platform);

/// Reads the revisions after `known` up to the head, newest first; failure::notFound when some of
/// them have been removed.
platform_answer<std::vector<objects::configuration_revision>> readRevisions(const object_api &platform,
                                                                            const objects::configuration_head &head,
                                                                            revision_number known);

/// Loads the snapshot at the head: applies the changes since `known` to it, or loads the newest whole
/// revision and the changes since. On failure, or if the head is not newer, returns `known`.
platform_answer<configuration_snapshot> loadUpTo(const object_api &platform,
                                                 const objects::configuration_head &head,
                                                 const configuration_snapshot &known);

/// Reads the head and calls loadUpTo() with it.
platform_answer<configuration_snapshot> loadConfiguration(const object_api &platform, const configuration_snapshot &known);

/// Loads the snapshot of an earlier revision; failure::notFound when it has been removed.
platform_answer<configuration_snapshot> loadRevision(const object_api &platform, revision_number revision);

/// Reads at most `limit` of the retained revisions, newest first.
platform_answer<std::vector<objects::configuration_revision>> readHistory(const object_api &platform, std::size_t limit);

} // namespace mustardrouter
