#include "mustardrouter/Proxy/own_commits.h"

namespace mustardrouter
{

std::optional<log_entry> floorOf(const own_commits &commits, const group_name &group)
{
    const auto found = commits.byGroup.find(group);
    return found == commits.byGroup.end() ? std::nullopt : std::optional(found->second);
}

void recordCommit(own_commits &commits, const group_name &group, const std::optional<log_entry> &position)
{
    commits.byGroup[group] = position.value_or(unknownEntry);
}

bool lacksCommits(const own_commits &commits, const group_name &group, const log_entry &position)
{
    const std::optional<log_entry> floor = floorOf(commits, group);
    return floor && (position < *floor || position.term > floor->term);
}

bool recordVerifiedLog(own_commits &commits, const group_name &group, const std::optional<log_entry> &position)
{
    if (!position || !lacksCommits(commits, group, *position)) {
        return false;
    }
    commits.byGroup[group] = *position;
    return true;
}

} // namespace mustardrouter
