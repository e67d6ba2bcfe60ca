#include "mustardrouter/Edge/ignored_entries.h"

namespace mustardrouter
{

void beginEntries(ignored_entries &entries, const std::map<std::string, platform::stored_object> &listed)
{
    entries.unlogged = 0;
    std::erase_if(entries.problems, [&](const auto &entry) {
        return !listed.contains(entry.first);
    });
}

bool ignoreEntry(ignored_entries &entries, const std::string &name, const std::string &problem)
{
    constexpr std::size_t maxLogged = 200;
    const auto known = entries.problems.find(name);
    if (known != entries.problems.end()) {
        const bool isNew = known->second != problem;
        known->second = problem;
        return isNew;
    }
    if (entries.problems.size() >= maxLogged) {
        entries.unlogged += 1;
        return false;
    }
    entries.problems[name] = problem;
    return true;
}

void acceptEntry(ignored_entries &entries, const std::string &name)
{
    entries.problems.erase(name);
}

} // namespace mustardrouter
