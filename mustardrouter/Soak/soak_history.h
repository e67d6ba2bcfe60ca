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
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mustardrouter
{

/// A statement as a client sent it.
struct sent_statement {
    client_statement clientStatement;
    std::uint64_t session = 0;
    /// All statements of one operation are one attempt; a promise that nothing is kept speaks of all.
    std::uint64_t attempt = 0;
    time_point sentAt{};
    /// When the statement, or its transaction, was begun.
    time_point startedAt{};
    read_rule rule = read_rule::latest;
    duration maxAge{};
    group_name group;
    /// Access and shape that its name was prepared with.
    std::string statementText;
    bool inTransaction = false;
    /// For a commit: the transaction wrote.
    bool wrote = false;
};

/// A statement that ran on a database after the time in which it leaves.
struct late_run {
    std::string violation;
    time_point announcedAt{};
    time_point ranAt{};
};

/// What clients and databases saw, in the one order of the soak's thread, and the promises that it breaks.
class soak_history
{
public:
    std::uint64_t addSession();
    std::uint64_t addAttempt();
    /// A promise is broken; told once for each text.
    void reportViolation(const std::string &violation);
    const std::vector<std::string> &violations() const;

    void onSent(const sent_statement &statement);
    /// A whole answer reached the client.
    void onAnswer(const std::string &id, const database_reply &reply, time_point now);
    /// The client waits no longer for the answer.
    void onGivenUp(const std::string &id);
    /// The client was told that a value is set.
    void onValueSet(std::uint64_t session, const std::string &name, const std::string &value);

    /// A database runs a statement; gives the signature of its answer.
    std::string onRun(const statement_run &run);
    /// A statement ran on a database that had announced too long before that it leaves.
    void onRunAfterDrainTime(const statement_run &run, time_point announcedAt, time_point now);
    /// What ran late on databases that leave; it counts where nothing else was wrong at that time.
    const std::vector<late_run> &lateRuns() const;
    void onCommit(const group_name &group, const std::string &id, std::size_t index);
    void onPromoted(const group_name &group, const standin_promotion &promotion, std::uint32_t syncReplicas);
    void onOrder(const std::string &group, std::uint64_t fence, const std::string &holder, const std::string &successor);

    /// Whether a database ran the statement.
    bool hasRun(const std::string &id) const;
    std::uint64_t statementCount() const;
    std::uint64_t runCount() const;
    std::uint64_t commitCount() const;

private:
    struct watched_statement {
        sent_statement sent;
        bool awaitsReply = true;
        bool ran = false;
    };
    struct watched_session {
        std::map<std::string, std::string> values;
        /// Connection on which its open transaction runs.
        std::string transactionConnection;
        std::map<group_name, std::size_t> ownCommits;
    };
    struct acknowledgement {
        time_point at;
        /// Commits acknowledged up to now, as the length of the log that holds them all.
        std::size_t length;
    };
    struct watched_group {
        /// Index of each commit in the log that counts now.
        std::unordered_map<std::string, std::size_t> indexes;
        /// Length of the log that a dropped commit's branch shares with the one that counts.
        std::unordered_map<std::string, std::size_t> branchPointOfDropped;
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
