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

/// Key of a revision's changes. The publication is part of it: an object that lost the race for a
/// revision is never read.
std::string revisionKey(std::uint64_t revision, const std::string &publication);

/// Key of a revision that is stored whole.
std::string wholeRevisionKey(std::uint64_t revision, const std::string &publication);

/// The head and the version of its object.
struct stored_head {
    objects::configuration_head head;
    std::uint64_t version = 0;
};

/// The head from its object, as a read or a watch brought it.
platform_answer<stored_head> parseHead(const platform_object &object);

/// Reads the head; revision 0 when nothing has been published.
platform_answer<stored_head> readHead(const object_api &platform);

/// Reads the revisions above `known` up to the head, newest first; failure::notFound when some of
/// them are no longer kept.
platform_answer<std::vector<objects::configuration_revision>> readRevisions(const object_api &platform,
                                                                            const objects::configuration_head &head,
                                                                            revision_number known);

/// The snapshot at the head: the changes since `known` applied to it, or the newest whole revision
/// and the changes since. Never lower than `known`.
platform_answer<configuration_snapshot> loadUpTo(const object_api &platform,
                                                 const objects::configuration_head &head,
                                                 const configuration_snapshot &known);

/// loadUpTo() for the head as it is now.
platform_answer<configuration_snapshot> loadConfiguration(const object_api &platform, const configuration_snapshot &known);

/// The snapshot as it was at an earlier revision; failure::notFound when it is not kept any more.
platform_answer<configuration_snapshot> loadRevision(const object_api &platform, revision_number revision);

/// The newest revisions that are kept, newest first, at most `limit`.
platform_answer<std::vector<objects::configuration_revision>> readHistory(const object_api &platform, std::size_t limit);

} // namespace mustardrouter
