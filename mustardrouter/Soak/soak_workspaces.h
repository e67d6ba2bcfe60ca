#pragma once

#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/PlatformStandIn/standin_workspace.h"
#include "mustardrouter/PlatformStandIn/statement_run.h"
#include "mustardrouter/Soak/fault_plan.h"
#include "mustardrouter/Soak/soak_history.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Workspaces of a soak: changes them as an operator does, gives clients their keys, and checks who was served from what clients
/// and databases saw. Sizes are uneven.
class soak_workspaces
{
public:
    /// The oldest instant whose version of the configuration may still be in force for what is sent at an instant.
    using oldest_version = std::function<time_point(time_point sentAt)>;

    /// `clients` is the number of clients that the limits are meant for.
    void start(std::size_t clients, oldest_version oldest);

    /// The workspaces of the next version.
    const std::vector<standin_workspace> &current() const;
    /// Changes the workspaces of the next version; `target` chooses the workspace.
    void change(const planned_fault &fault, time_point now);
    /// The current workspaces were published as a version.
    void onPublished(time_point now);
    /// Until it ends, the clients of the workspace pause for a tenth of the usual time only.
    void beginBusy(std::uint32_t target);
    void endBusy(std::uint32_t target, time_point now);

    /// The key for the next connection of the client with this number: mostly a good one of its workspace, at times one that was
    /// withdrawn; a few clients have one that never existed.
    std::string chooseKey(std::size_t client, std::mt19937_64 &random) const;
    bool isBusy(const std::string &key) const;
    /// An operation that ends now has to be served: its key was good all the time, and its workspace kept to its usual limit.
    bool isOwed(const std::string &key, time_point startedAt, time_point now) const;

    /// A database runs a statement of a client; returns the violated guarantees.
    std::vector<std::string> onRun(const statement_run &run, const sent_statement &sent, time_point now);
    /// A client was told that its key is unknown; returns the violated guarantee, or nothing.
    std::string onUnknownKey(const std::string &key, bool isPublic, time_point sentAt, time_point now) const;

private:
    struct version {
        time_point at{};
        std::map<std::string, std::string> holderByKey;
        std::vector<standin_workspace> workspaces;
    };

    standin_workspace &at(std::size_t target);
    std::string holderOf(const std::string &key) const;
    /// Calls `visit` for each version that was the newest at some instant from `since` on.
    void visitVersions(time_point since, const std::function<void(const version &)> &visit) const;
    /// Names that hold the key in one of these versions; contains the empty name if one of them doesn't hold it.
    std::set<std::string> holdersSince(const std::string &key, time_point since) const;
    double mostOperationsSince(const std::string &workspace, time_point since) const;
    std::string checkLimit(const std::string &workspace, time_point now);
    static std::size_t rankOf(std::size_t client);

    oldest_version m_oldest;
    std::vector<standin_workspace> m_current;
    std::vector<standin_workspace> m_usual;
    std::vector<version> m_versions;
    /// All keys that a workspace had, by the workspace that had them first.
    std::map<std::string, std::vector<std::string>> m_allKeys;
    std::map<std::string, std::string> m_firstHolder;
    std::set<std::string> m_busy;
    /// Workspaces to which keys of the largest have moved, with its clients.
    std::set<std::string> m_takers;
    /// Until when a workspace isn't owed all that it asks for.
    std::map<std::string, time_point> m_unusualUntil;
    std::set<std::uint64_t> m_countedAttempts;
    std::map<std::string, std::deque<time_point>> m_operations;
    std::uint64_t m_nextKey = 1;
};

} // namespace mustardrouter
