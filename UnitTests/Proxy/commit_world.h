#pragma once

#include "mustardrouter/Proxy/proxy_engine.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mustardrouter
{

/// One commit of a member's log, by the client's id of the write.
struct member_commit {
    term_number term;
    std::string id;
    time_point at{};
};

/// A database whose replicas receive its log over the network, and which replies to a commit once enough of them have.
struct log_member {
    listed_database listed;
    bool running = true;
    /// Receives and replies nothing; connections stay open.
    bool dark = false;
    /// Receives nothing from the primary.
    bool deaf = false;
    /// Instances that do not reach it, by index.
    std::set<std::size_t> cutFrom;
    bool primary = false;
    /// Another one leads, and this one goes on until it learns of that.
    bool replaced = false;
    term_number term{3};
    term_number pausedUntilTerm;
    duration delay = std::chrono::milliseconds(20);
    std::vector<member_commit> log;
    /// Since when the link from the primary has been up; the epoch while it is down.
    time_point linkSince{};
    time_point silentSince{};
    /// When it last started again without its log.
    time_point startedEmptyAt{};
};

/// Conditions of a commit_world.
struct commit_conditions {
    std::size_t instances = 3;
    std::uint32_t syncReplicas = 1;
    /// Orders with an older fence are refused, and a replaced primary stops at once.
    bool fenced = true;
    /// Orders get no response and are carried out this much later; zero for an immediate response.
    duration ordersLateBy{};
    std::uint64_t seed = 1;
};

/// Several instances, their clients, and databases with synchronous replicas, in virtual time. Collects the acknowledged commits that a
/// promoted database lacks.
struct commit_world {
    explicit commit_world(const commit_conditions &chosen);

    commit_conditions conditions;
    std::mt19937_64 random;
    time_point now{std::chrono::seconds(1000)};
    std::multimap<time_point, std::function<void()>> events;
    std::vector<std::unique_ptr<proxy_engine>> instances;
    std::map<database_name, log_member> members;
    promotion_claim claim;
    std::uint64_t storeRevision = 10;
    bool storeDown = false;
    /// How old the list of databases is that each instance reads.
    std::vector<duration> listAge;
    std::uint64_t highestFence = 0;
    unsigned orders = 0;
    unsigned promotions = 0;
    std::map<std::string, time_point> acknowledged;
    /// Acknowledged commits that a promoted database lacked, each with what happened.
    std::vector<std::string> lost;
    /// Commits of a primary that another one had replaced, and those of them that were acknowledged.
    std::set<std::string> committedByReplaced;
    std::vector<std::string> acknowledgedOfReplaced;

    void runFor(duration span);
    log_member &member(const char *name);
    log_member *leader();
    /// A new replica starts with the primary's log, and is listed.
    void join(const char *name);
    void drain(const char *name);
    /// The process ends for good.
    void crash(const char *name);
    void setDark(const char *name, bool dark);
    /// A replica starts again under its name, with its log or without any.
    void restart(const char *name, bool keepsLog);
    /// Commits acknowledged in the last `span`.
    std::size_t acknowledgedWithin(duration span) const;

private:
    struct channel {
        std::size_t instance = 0;
        database_connection_id id;
        database_name to;
        std::deque<std::pair<database_command, bool>> queue;
        bool busy = false;
        bool inTransaction = false;
    };
    using channel_key = std::pair<std::size_t, database_connection_id>;

    void publish();
    void perform(std::size_t instance);
    void performOne(std::size_t instance, const proxy_action &action);
    void order(std::size_t instance, const order_promotion &given);
    void promote(const database_name &name, time_point orderedAt);
    void replicate();
    void receive(log_member &replica, const log_member &from);
    void runNext(const channel_key &key);
    void execute(const channel_key &key, const database_command &command);
    void awaitReplicas(const channel_key &key, const database_name &at, std::size_t index, const std::string &id);
    void answer(const channel_key &key, database_reply reply);
    bool isReachable(const log_member &which, std::size_t instance) const;
    bool isConfirmed(const log_member &primary, std::size_t index) const;
    void write(std::size_t instance, session_id session);
    void checkAcknowledged(const std::string &id);

    std::map<channel_key, channel> m_channels;
    std::map<std::pair<std::size_t, std::uint64_t>, std::string> m_sent;
    std::uint64_t m_nextId = 1;
    /// The newest promoted database, unless it has lost its log.
    database_name m_promoted;
};

} // namespace mustardrouter
