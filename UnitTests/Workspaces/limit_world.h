#pragma once

#include "mustardrouter/Workspaces/limit_engine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mustardrouter
{

/// A statement that waits for a token.
struct waiting_operation {
    std::uint64_t id = 0;
    workspace_name workspace;
    time_point since{};
    bool owed = false;
};

/// One instance of a limit_world.
struct limit_world_node {
    limit_instance listed;
    std::unique_ptr<limit_engine> engine;
    /// Number of the process; messages to earlier ones are lost.
    std::uint64_t process = 0;
    /// Clock: offset + true time * rate.
    duration offset{};
    double rate = 1;
    bool frozen = false;
    bool storeCut = false;
    /// Instances in different parts can't reach each other.
    int part = 0;
    /// Events that arrived while it was frozen.
    std::vector<std::function<void()>> held;
    std::vector<waiting_operation> waiting;
    std::size_t listRead = 0;
    std::size_t limitsRead = 0;
    time_point timerAt{};
};

/// Instances with their limits in virtual time, with a network, a list of instances and a configuration that reach them late.
class limit_world
{
public:
    explicit limit_world(std::uint64_t seed);

    /// Adds an instance that starts now and enters itself into the list.
    std::size_t addNode(bool firstSystemStart);
    void kill(std::size_t node);
    /// Starts a new process of a killed instance.
    void restart(std::size_t node);
    /// Announces that it leaves, and ends a moment later.
    void leave(std::size_t node);
    /// Its entry is removed by another, whether it lives or not.
    void removeEntry(std::size_t node);
    void freeze(std::size_t node);
    void thaw(std::size_t node);
    void cutStore(std::size_t node, bool cut);
    /// Messages between the two are lost while their link is cut.
    void cutLink(std::size_t one, std::size_t other, bool cut);
    void setLimits(const std::map<workspace_name, workspace_limit> &limits);
    /// An operation arrives; `owed`: its refusal is counted as wrong.
    void operate(std::size_t node, const workspace_name &workspace, bool owed);
    void at(time_point when, std::function<void()> event);
    void runUntil(time_point end);

    /// Largest count of operations in any window divided by what is allowed, over all workspaces; the text tells which.
    double worstWindow(std::string &description) const;

    time_point now{};
    std::mt19937_64 random;
    std::vector<limit_world_node> nodes;
    /// Chance of a message to be lost, or to be up to two seconds late.
    double lossChance = 0;
    double lateChance = 0;
    limit_settings settings;
    std::uint64_t owedServed = 0;
    std::uint64_t owedRefused = 0;
    std::uint64_t served = 0;
    std::uint64_t messages = 0;
    /// Estimated as encoded, without the headers of the network.
    std::uint64_t messageBytes = 0;
    std::uint64_t bytesBetweenRegions = 0;
    std::map<std::string, std::uint64_t> messagesByKind;
    /// Longest time that a served operation waited for its token.
    duration longestWait{};
    duration sumOfWaits{};
    std::map<workspace_name, std::vector<time_point>> runs;
    /// Operations that wait longer are given up.
    duration patience = std::chrono::seconds(3);
    /// Whether the instances are in one region; messages between regions take 20 ms.
    std::size_t regions = 3;

private:
    struct event {
        time_point at{};
        std::uint64_t number = 0;
        std::function<void()> run;

        bool operator>(const event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    time_point clockOf(const limit_world_node &node) const;
    time_point trueTime(const limit_world_node &node, time_point local) const;
    double uniform();
    void startProcess(std::size_t node, bool firstSystemStart);
    /// Runs an event of the process, or holds it while the instance is frozen.
    void onNode(std::size_t node, std::uint64_t process, std::function<void()> event);
    void perform(std::size_t node);
    void deliver(std::size_t from, const send_limit_message &sent);
    void retryWaiting(std::size_t node, const workspace_name &workspace);
    bool attempt(std::size_t node, const waiting_operation &operation);
    void listChanged();
    void readList(std::size_t node);
    void readLimits(std::size_t node);

    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_nextEvent = 1;
    std::uint64_t m_nextOperation = 1;
    std::map<std::string, std::size_t> m_byName;
    std::set<std::pair<std::size_t, std::size_t>> m_cutLinks;
    std::vector<std::vector<limit_instance>> m_lists;
    struct limits_version {
        std::map<workspace_name, workspace_limit> limits;
        time_point writtenAt{};
        /// When the last process that used the version before had read this one.
        time_point readByAllAt{};
    };
    std::vector<limits_version> m_limits;
};

/// Bytes of the message as encoded, without the frame; names count with their length.
std::size_t encodedSize(const limit_message &message);

} // namespace mustardrouter
