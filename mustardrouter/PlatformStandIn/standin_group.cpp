#include "mustardrouter/PlatformStandIn/standin_group.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

log_entry endAt(const standin_member &member, std::size_t count)
{
    const term_number term = count == 0 ? term_number(1) : member.log[count - 1].term;
    return {term, log_position(count)};
}

/// Length of the common prefix of two logs; logs that agree at a position agree before it as well.
std::size_t commonPrefixLength(const std::vector<standin_commit> &left, const std::vector<standin_commit> &right)
{
    std::size_t length = std::min(left.size(), right.size());
    while (length > 0 && (left[length - 1].id != right[length - 1].id || left[length - 1].term != right[length - 1].term)) {
        --length;
    }
    return length;
}

void truncateTo(standin_member &member, std::size_t length)
{
    if (member.log.size() > length) {
        member.log.resize(length);
    }
    member.applied = std::min(member.applied, length);
    while (member.applyAt.size() > member.log.size() - member.applied) {
        member.applyAt.pop_back();
    }
}

void receive(standin_member &replica, const standin_member &primary, time_point now)
{
    truncateTo(replica, commonPrefixLength(replica.log, primary.log));
    for (std::size_t index = replica.log.size(); index < primary.log.size(); ++index) {
        replica.log.push_back(primary.log[index]);
        const time_point before = replica.applyAt.empty() ? now : replica.applyAt.back();
        replica.applyAt.push_back(std::max(before, now + replica.lag));
    }
    replica.term = std::max(replica.term, primary.term);
}

} // namespace

standin_member *primaryOf(standin_group &group)
{
    for (auto &[name, member] : group.members) {
        if (member.primary && !member.replaced) {
            return &member;
        }
    }
    return nullptr;
}

log_entry appliedEnd(const standin_member &member)
{
    return endAt(member, member.applied);
}

log_entry receivedEnd(const standin_member &member)
{
    return endAt(member, member.log.size());
}

void replicate(standin_group &group, time_point now)
{
    const standin_member *primary = primaryOf(group);
    for (auto &[name, member] : group.members) {
        constexpr duration discoveryTime = std::chrono::seconds(1);
        const bool inReach = primary != nullptr && primary->running && !primary->unresponsive && member.running && !member.unresponsive
                             && !member.replicationBlocked && !group.replicasDisconnected;
        if (member.replaced && inReach && now - member.replacedAt >= discoveryTime) {
            stepDown(member, primary->term);
        }
    }
    const bool sends = primary != nullptr && primary->running && !primary->unresponsive && !group.replicasDisconnected;
    for (auto &[name, member] : group.members) {
        if (member.primary || !member.running || member.unresponsive) {
            continue;
        }
        if (sends && !member.replicationBlocked && member.pausedUntilTerm == term_number{}) {
            receive(member, *primary, now);
        }
        while (!member.applyAt.empty() && member.applyAt.front() <= now) {
            member.applyAt.pop_front();
            member.applied += 1;
        }
    }
}

std::size_t appendCommit(standin_member &primary, const std::string &id)
{
    primary.log.push_back({primary.term, id});
    primary.applied = primary.log.size();
    return primary.log.size() - 1;
}

bool isReplicated(const standin_group &group, const standin_member &primary, std::size_t index)
{
    const auto holds = std::ranges::count_if(group.members, [&](const auto &entry) {
        const standin_member &member = entry.second;
        return !member.primary && member.log.size() > index && member.log[index].id == primary.log[index].id;
    });
    return static_cast<std::uint32_t>(holds) >= group.syncReplicas;
}

std::optional<standin_promotion> promoteMember(standin_group &group, const database_name &name, time_point now)
{
    const auto found = group.members.find(name);
    if (found == group.members.end() || !found->second.running || found->second.unresponsive
        || (found->second.primary && !found->second.replaced)) {
        return std::nullopt;
    }
    standin_member &chosen = found->second;
    standin_promotion result;
    result.commonLength = chosen.log.size();
    term_number highest;
    for (auto &[other, member] : group.members) {
        highest = std::max({highest, member.term, member.pausedUntilTerm});
        if (member.primary && !member.replaced) {
            result.commonLength = commonPrefixLength(member.log, chosen.log);
            for (std::size_t index = result.commonLength; index < member.log.size(); ++index) {
                result.dropped.push_back(member.log[index].id);
            }
        }
        member.pausedUntilTerm = term_number{};
        if (group.replacedPrimariesContinue && member.primary && &member != &chosen) {
            member.sharedLength = member.replaced ? std::min(member.sharedLength, result.commonLength) : result.commonLength;
            member.replaced = true;
            member.replacedAt = now;
            continue;
        }
        member.primary = false;
        member.replaced = false;
    }
    for (std::size_t index = result.commonLength; index < chosen.log.size(); ++index) {
        result.restored.push_back(chosen.log[index].id);
    }
    chosen.primary = true;
    chosen.term = term_number(highest.value() + 1);
    chosen.applied = chosen.log.size();
    chosen.applyAt.clear();
    return result;
}

void stepDown(standin_member &member, term_number term)
{
    if (!member.primary || member.term >= term) {
        return;
    }
    member.primary = false;
    member.replaced = false;
}

void clearState(standin_member &member)
{
    member.log.clear();
    member.applied = 0;
    member.applyAt.clear();
    member.term = term_number(1);
    member.pausedUntilTerm = term_number{};
    member.incarnation += 1;
}

} // namespace mustardrouter
