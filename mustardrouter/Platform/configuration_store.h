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

/// What is kept of earlier revisions.
struct retention {
    /// Every so many revisions one is stored whole.
    std::uint64_t wholeRevisionInterval = 32;
    /// Revisions that are kept at least.
    std::uint64_t minRevisionsKept = 256;
};

/// One publication as an operator asks for it.
struct publication {
    /// Identity, by which a lost answer is resolved; see newPublicationId().
    std::string id;
    std::string author;
    std::uint64_t unixMs = 0;
    /// Revision that the operator looked at; the newest one when there is none.
    std::optional<revision_number> base;
    /// Refuse whatever was published since the base, also changes of other objects.
    bool requireUnchangedBase = false;
    retention keep{};
    /// Waits before another try after an unanswered call.
    std::function<void(int attempt)> pause = [](int) {
    };
};

/// An object that this publication and one since its base both change.
struct publication_collision {
    object_reference object;
    revision_number revision;
    std::string author;
};

/// How a publication ended: in force, without effect, or not known.
struct publication_result {
    outcome kind = outcome::notRun;
    failure cause = failure::none;
    /// The new revision, or the newest one that was seen.
    revision_number revision;
    /// Filled for failure::invalidConfiguration.
    std::vector<configuration_problem> problems;
    /// Filled for failure::versionConflict.
    std::vector<publication_collision> collisions;
};

/// A random identity for a publication.
std::string newPublicationId();

/// Checks the changes on top of the newest snapshot and publishes them as one revision, whole or
/// not at all, and once. When another operator publishes in between, the changes are checked again
/// on top of theirs; they are refused with failure::versionConflict when both touch one object.
publication_result publishChanges(const object_api &platform, const change_set &changes, const publication &what);

/// Publishes a new revision with the objects of an earlier one.
publication_result rollBack(const object_api &platform, revision_number to, publication what);

} // namespace mustardrouter
