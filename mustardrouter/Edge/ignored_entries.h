#pragma once

#include "platform/stored_objects.h"

#include <cstddef>
#include <map>
#include <string>

namespace mustardrouter
{

/// Entries of other writers that are ignored, by the last problem that was logged of each.
struct ignored_entries {
    std::map<std::string, std::string> problems;
    /// Entries beyond the limit of those that are logged one by one.
    std::size_t unlogged = 0;
};

/// Starts a new judgement of all entries of a kind; those that are no longer listed are forgotten.
void beginEntries(ignored_entries &entries, const std::map<std::string, platform::stored_object> &listed);

/// Records an entry that is ignored. Returns whether to log it: once for each entry and problem, and for a limited number of entries.
bool ignoreEntry(ignored_entries &entries, const std::string &name, const std::string &problem);

/// Forgets the entry, if it was ignored before.
void acceptEntry(ignored_entries &entries, const std::string &name);

} // namespace mustardrouter
