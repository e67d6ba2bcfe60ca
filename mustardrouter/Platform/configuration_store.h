#pragma once

#include "mustardrouter/Configuration/change_set.h"
#include "mustardrouter/Configuration/configuration_check.h"
#include "mustardrouter/Core/outcome.h"
#include "mustardrouter/Platform/object_api.h"
#include "mustardrouter/Platform/revision_reader.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Retention of earlier revisions.
struct retention {
    /// Every revision whose number is a multiple of this is also stored whole. At least 1.
    std::uint64_t wholeRevisionInterval = 32;
    /// Minimum number of revisions to keep.
    std::uint64_t minRevisionsKept = 256;
};

/// Parameters of an operator's publication.
struct publication {
    /// Unique ID, by which the outcome is determined after a lost reply; see newPublicationId().
    std::string id;
    std::string author;
    std::uint64_t unixMs = 0;
    /// Revision on which the operator based the changes; the newest one when unset.
    std::optional<revision_number> base;
    /// Reject the publication if anything was published since the base, even to other objects.
    bool requireUnchangedBase = false;
    retention keep{};
    /// Waits before the next attempt after a failed call; `attempt` counts from 1.
    std::function<void(int attempt)> waitBeforeRetry = [](int) {
    };
};

/// An object that both this publication and one published after its base change.
struct publication_conflict {
    object_reference object;
    revision_number revision;
    std::string author;
};

/// Result of a publication: in force, without effect, or unknown.
struct publication_result {
    outcome kind = outcome::notRun;
    failure cause = failure::none;
    /// The new revision, or on failure the newest one when the publication started.
    revision_number revision;
    /// Set for failure::invalidConfiguration.
    std::vector<configuration_problem> problems;
    /// Set for failure::versionConflict.
    std::vector<publication_conflict> conflicts;
};

/// Generates a random publication ID.
std::string newPublicationId();

/// Validates the changes against the newest snapshot and publishes them atomically as one revision,
/// at most once. When another operator publishes concurrently, the changes are validated again on
/// top of that revision; they are rejected with failure::versionConflict when both change the same
/// object, and with failure::invalidSettings without an interval of whole revisions.
publication_result publishChanges(const object_api &platform, const change_set &changes, const publication &what);

/// Publishes a new revision that restores the objects of an earlier one.
publication_result rollBack(const object_api &platform, revision_number to, publication what);

} // namespace mustardrouter
