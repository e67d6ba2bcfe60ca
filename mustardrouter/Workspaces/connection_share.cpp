#include "mustardrouter/Workspaces/connection_share.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// A workspace whose connections are all in use takes another one's only after it has been idle for this long: both could need theirs
/// again sooner than a new connection pays.
constexpr duration idleBeforeSecond = std::chrono::milliseconds(200);
/// A connection that has been idle for less is not taken for a first one while statements of its own workspace wait.
constexpr duration idleBeforeFirst = std::chrono::milliseconds(100);
/// After this time without any connection a workspace is given one that others could use: about the time that a connection takes to open
/// between regions, and a small part of the latency targets of 0.6 to 1.2 s.
constexpr duration claimDueAfter = std::chrono::milliseconds(120);
/// A claim that was not renewed for this long is void; statements that wait renew it whenever a connection becomes idle.
constexpr duration claimValidFor = std::chrono::seconds(1);

bool hasConnection(const share_request &request, const workspace_name &workspace)
{
    return std::ranges::any_of(request.connections, [&](const shared_connection &connection) {
        return connection.workspace == workspace;
    });
}

bool isDue(const connection_claim &claim, time_point now)
{
    return now - claim.since >= claimDueAfter && now - claim.renewedAt < claimValidFor;
}

/// The workspace that has waited longest for its first connection, if its claim is due.
const connection_claim *dueClaim(const share_request &request)
{
    const connection_claim *oldest = nullptr;
    for (const connection_claim &claim : *request.claims) {
        const bool due = claim.workspace != request.workspace && isDue(claim, request.now) && !hasConnection(request, claim.workspace);
        if (due && (oldest == nullptr || claim.since < oldest->since)) {
            oldest = &claim;
        }
    }
    return oldest;
}

/// Whether the workspace may take the idle connection of another.
bool mayTake(const share_request &request, const shared_connection &connection, bool isFirst, bool claimIsDue)
{
    const duration idleFor = request.now - connection.since;
    if (!isFirst) {
        return idleFor >= idleBeforeSecond && !request.waiting->contains(connection.workspace);
    }
    return claimIsDue || idleFor >= idleBeforeFirst || !request.waiting->contains(connection.workspace);
}

} // namespace

share_decision decideShare(const share_request &request)
{
    const std::size_t count = request.connections.size();
    std::size_t own = count;
    bool opening = false;
    for (std::size_t index = 0; index < count; ++index) {
        const shared_connection &connection = request.connections[index];
        if (connection.workspace != request.workspace) {
            continue;
        }
        own = connection.idle ? index : own;
        opening = opening || connection.opening;
    }
    if (own != count) {
        const connection_claim *claim = request.mayOpen ? nullptr : dueClaim(request);
        if (claim != nullptr) {
            return {share_step::replace, own, claim->workspace, {}};
        }
        return {share_step::use, own, request.workspace, {}};
    }
    if (opening) {
        return {share_step::wait, 0, request.workspace, {}};
    }
    if (request.mayOpen) {
        return {share_step::open, 0, request.workspace, {}};
    }
    const bool isFirst = !hasConnection(request, request.workspace);
    const bool claimIsDue = std::ranges::any_of(*request.claims, [&](const connection_claim &claim) {
        return claim.workspace == request.workspace && isDue(claim, request.now);
    });
    std::size_t victim = count;
    time_point retryAt{};
    for (std::size_t index = 0; index < count; ++index) {
        const shared_connection &connection = request.connections[index];
        if (!connection.idle) {
            continue;
        }
        if (!mayTake(request, connection, isFirst, claimIsDue)) {
            const time_point takeableAt = connection.since + (isFirst ? idleBeforeFirst : idleBeforeSecond);
            if (takeableAt > request.now) {
                retryAt = retryAt == time_point{} ? takeableAt : std::min(retryAt, takeableAt);
            }
            continue;
        }
        if (victim == count || connection.since < request.connections[victim].since) {
            victim = index;
        }
    }
    return victim == count ? share_decision{share_step::wait, 0, request.workspace, retryAt}
                           : share_decision{share_step::replace, victim, request.workspace, {}};
}

void claimConnection(std::vector<connection_claim> &claims, const workspace_name &workspace, time_point now)
{
    const auto known = std::ranges::find(claims, workspace, &connection_claim::workspace);
    if (known == claims.end()) {
        claims.push_back({workspace, now, now});
        return;
    }
    known->since = now - known->renewedAt < claimValidFor ? known->since : now;
    known->renewedAt = now;
}

void settleClaim(std::vector<connection_claim> &claims, const workspace_name &workspace, time_point now)
{
    std::erase_if(claims, [&](const connection_claim &claim) {
        return claim.workspace == workspace || now - claim.renewedAt >= claimValidFor;
    });
}

} // namespace mustardrouter
