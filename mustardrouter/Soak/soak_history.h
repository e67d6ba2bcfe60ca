#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/statement.h"
#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/PlatformStandIn/standin_group.h"
#include "mustardrouter/PlatformStandIn/statement_run.h"
#include "mustardrouter/Proxy/client_statement.h"
#include "mustardrouter/Proxy/database_reply.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mustardrouter
{

/// A statement that a client sent.
struct sent_statement {
    client_statement clientStatement;
    std::uint64_t session = 0;
    /// All statements of one operation share an attempt; an answer that guarantees no effect holds for all of them.
    std::uint64_t attempt = 0;
    time_point sentAt{};
    /// Start of the transaction, or of the statement outside of one.
    time_point startedAt{};
    read_rule rule = read_rule::latest;
    duration maxAge{};
    /// Where the route leads; for one that moves, where the statement ran last.
    group_name group;
    bool routeMoves = false;
    /// For EXECUTE: access (READ or WRITE) and text of the prepared statement.
    std::string statementText;
    bool inTransaction = false;
    /// For a commit: the transaction has written.
    bool wrote = false;
    /// The key that its client gave, where workspaces are played.
    std::string key;
    bool routeIsPublic = false;
};

/// A statement that ran on a leaving database after its drain time.
struct late_run {
    std::string violation;
    time_point announcedAt{};
    time_point ranAt{};
};

/// Records what clients and databases saw, in the order of the soak's single thread, and checks the guarantees on it.
class soak_history
{
public:
    std::uint64_t addSession();
    std::uint64_t addAttempt();
    /// Records a violated guarantee, once per text.
    void reportViolation(const std::string &violation);
    const std::vector<std::string> &violations() const;

    void onSent(const sent_statement &statement);
    /// A complete answer reached the client.
    void onAnswer(const std::string &id, const database_reply &reply, time_point now);
    /// The client no longer waits for the answer.
    void onGivenUp(const std::string &id);
    /// The client got the confirmation that a session value is set.
    void onValueSet(std::uint64_t session, const std::string &name, const std::string &value);

    /// A database has received a statement.
    void onReceived(const std::string &id);
    /// A database runs a statement; returns the signature for its answer.
    std::string onRun(const statement_run &run, time_point now = {});
    /// A statement ran on a leaving database after its drain time.
    void onRunAfterDrainTime(const statement_run &run, time_point announcedAt, time_point now);
    /// Statements that ran after the drain time; violations only if no fault was active at that time.
    const std::vector<late_run> &lateRuns() const;
    void onCommit(const group_name &group, const std::string &id, std::size_t index);
    /// A commit that a replaced primary made. Its client must not be told that it succeeded.
    void onCommitOfReplaced(const group_name &group, const std::string &id, std::size_t sharedLength);
    void onPromoted(const group_name &group, const standin_promotion &promotion, std::uint32_t syncReplicas);
    void onOrder(const std::string &group, std::uint64_t fence, const std::string &holder, const std::string &successor);

    /// The statement that a client sent with this id, or null.
    const sent_statement *findSent(const std::string &id) const;
    /// Whether a database received the statement, and whether one ran it.
    bool wasReceived(const std::string &id) const;
    bool hasRun(const std::string &id) const;
    /// When a database first ran the statement.
    std::optional<time_point> firstRunAt(const std::string &id) const;
    std::uint64_t statementCount() const;
    std::uint64_t runCount() const;
    std::uint64_t commitCount() const;

private:
    struct watched_statement {
        sent_statement sent;
        /// Session values that were acknowledged before it was sent.
        std::map<std::string, std::string> values;
        bool awaitsReply = true;
        bool received = false;
        std::optional<time_point> firstRunAt{};
    };
    struct watched_session {
        std::map<std::string, std::string> values;
        /// Database and connection on which the open transaction runs.
        std::string transactionConnection;
        std::map<group_name, std::size_t> ownCommits;
    };
    struct acknowledgement {
        time_point at;
        /// Length of the log that holds all commits acknowledged so far.
        std::size_t length;
    };
    struct watched_group {
        /// Index of each commit in the current primary's log.
        std::unordered_map<std::string, std::size_t> indexes;
        /// For each dropped commit, the length of the prefix that its log shared with the new primary's.
        std::unordered_map<std::string, std::size_t> branchPointOfDropped;
        std::set<std::string> committedByReplaced;
        std::vector<acknowledgement> acknowledged;
        std::set<std::string> acknowledgedIds;
    };

    void checkSessionState(const statement_run &run, const watched_statement &statement);
    void checkFreshness(const sent_statement &statement, const statement_run &run);
    std::size_t acknowledgedLengthBefore(const watched_group &group, time_point instant) const;

    std::uint64_t m_sessionCount = 0;
    std::uint64_t m_attemptCount = 0;
    std::uint64_t m_commitCount = 0;
    std::set<std::string> m_reported;
    std::vector<std::string> m_violations;
    std::vector<late_run> m_lateRuns;
    std::unordered_map<std::string, watched_statement> m_statements;
    std::unordered_map<std::uint64_t, watched_session> m_sessions;
    std::unordered_map<std::string, statement_run> m_runs;
    std::map<group_name, watched_group> m_groups;
    std::set<std::uint64_t> m_attemptsWithoutEffect;
    std::map<std::string, std::string> m_orders;
};

} // namespace mustardrouter
