#pragma once

#include "mustardrouter/Proxy/proxy_engine.h"
#include "mustardrouter/Proxy/relay_channels.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mustardrouter
{

/// One log entry of a fake database, identified by the client's id of the write or commit.
struct fake_commit {
    term_number term;
    std::string id;
};

/// State of one connection at a fake database.
struct fake_connection {
    bool inTransaction = false;
    bool readWrite = false;
    bool failed = false;
    term_number beginTerm;
    std::vector<std::string> writes;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared;
    time_point busyUntil{};
};

/// A simulated database in virtual time.
struct fake_database {
    listed_database listed;
    bool primary = false;
    term_number term{1};
    std::vector<fake_commit> log;
    /// Commits sent by the primary that are not yet applied, with the instant at which they are.
    std::vector<std::pair<time_point, fake_commit>> pendingCommits;
    duration lag = std::chrono::milliseconds(10);
    duration networkDelay = std::chrono::milliseconds(1);
    duration serviceTime = std::chrono::milliseconds(5);
    /// How long a new connection and a status wait for a slot.
    duration openingTime{};
    duration statusTime{};
    /// Receives and replies nothing.
    bool unresponsive = false;
    /// While it is paused, the lowest term whose primary it accepts; zero when it is not paused.
    term_number pausedUntilTerm;
    /// The new primary can't reach it to tell it of its replacement.
    bool partitioned = false;
    bool full = false;
    /// Refuses ROLLBACK as it does when it is full; the transaction stays open.
    bool refusesRollback = false;
    /// Percentage of requests other than STATUS that are refused and not run, whose replies tell the state truly.
    unsigned refusalPercent = 0;
    /// Percentage of replies to clients' statements that are lost, together with all later replies on the connection.
    unsigned replyLossPercent = 0;
    std::map<database_connection_id, fake_connection> connections;
    std::set<database_connection_id> mutedConnections;
};

/// A reply that a client received, with its statement.
struct statement_reply {
    client_statement statement;
    client_reply reply;
    time_point repliedAt{};
};

/// One simulated client session.
struct fake_client {
    session_id id;
    std::string database;
    api_key key;
    bool accepted = false;
    bool closed = false;
    reply_code closedWith = reply_code::done;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> preparedTexts;
    std::vector<statement_reply> replies;
    client_statement sent;
    time_point sentAt{};
    bool awaitsReply = false;
    bool inTransaction = false;
    time_point transactionAt{};
    database_connection_id transactionConnection;
};

/// A commit that was acknowledged to its client.
struct acknowledged_commit {
    std::string id;
    session_id session;
    time_point acknowledgedAt{};
};

/// Simulates an engine's databases, its clients, and the platform's store and promotion orders in virtual time. Violations of
/// the guarantees are collected as text.
struct proxy_world {
    explicit proxy_world(std::uint64_t seed);

    proxy_engine engine;
    /// Another instance, which relays its clients' statements to `engine`; null if there is none.
    std::unique_ptr<proxy_engine> entry;
    /// The link between the two instances is cut: nothing arrives, and new connections fail.
    bool relayLinkCut = false;
    duration relayDelay = std::chrono::milliseconds(1);
    /// The process of `engine` stands still; see standStill.
    bool holderStandsStill = false;
    /// `entry` names no groups, and `engine` does not mark its replies as those of the named group, as older builds.
    bool groupsNotNamed = false;
    bool repliesNotMarked = false;
    /// The holder opens no channels for `entry`, as when it has drained.
    bool refusesNewChannels = false;
    std::mt19937_64 random;
    time_point now{std::chrono::seconds(1000)};
    std::multimap<time_point, std::function<void()>> events;
    /// Lines that the instance under test wrote to the log, by event.
    std::map<std::string, std::size_t> reports;
    std::map<database_name, fake_database> databases;
    std::map<database_connection_id, database_name> databaseByConnection;
    /// The workspace that each connection was opened for.
    std::map<database_connection_id, workspace_name> workspaceByConnection;
    /// Workspaces of the next configuration; none for a deployment without.
    workspace_table workspaces;
    /// Group of each route in the next configuration; "g" for those that are missing here.
    std::map<std::string, group_name> groupByRoute;
    /// Read rule of each route in the next configuration, where it is another one than the route's name says.
    std::map<std::string, read_rule> ruleByRoute;
    /// The latest version that the operator wrote, where instances read it at different times.
    std::uint64_t lastVersion = 1;
    std::map<session_id, fake_client> clients;
    std::vector<acknowledged_commit> acknowledged;
    std::set<std::string> rolledBack;
    /// What the log of its database held, for each read that ran.
    std::map<std::string, std::set<std::string>> seenByRead;
    /// The group that ran each read and each commit.
    std::map<std::string, group_name> groupByStatement;
    std::vector<std::string> violations;
    std::uint64_t nextId = 1;
    std::uint64_t nextSession = 1;
    store_position lastStorePosition{store_era{}, store_revision(10)};
    promotion_claim claim;
    bool storeUnavailable = false;
    bool promotionRepliesLost = false;
    std::vector<std::uint64_t> fences;
    std::uint32_t connectionLimit = 20;
    duration promotionTime = std::chrono::milliseconds(300);
    /// A replaced primary accepts writes until it is told to step down, or for a second after the new one can reach it.
    bool replacedPrimariesContinue = false;
    /// Claims that were read as evidence.
    int claimsReadAsEvidence = 0;

    /// Adds the instance that relays. Limits the databases to `connections`, so that it does.
    void addEntry(std::uint32_t connections);
    /// Connects a client to the instance that relays.
    fake_client &connectToEntry(const std::string &database, const std::string &key = {});
    /// Closes all connections between the instances, as when the holder's process ends.
    void resetRelayLink();
    /// The holder closes all channels, as it does with idle ones when it stops.
    void closeRelayedSessions();
    /// The process of `engine` gets no processor time until thaw: its timers don't run, and what arrives stays in socket buffers.
    void standStill();
    /// The process of `engine` runs again: the timers that are due come before what has arrived in the meantime.
    void thaw();
    /// Adds a group of three databases, named by the prefix and a number; the first is primary.
    void addGroup(const std::string &group = "g", const std::string &prefix = "db-");
    /// Tells the engine of the databases' entries, which may have changed `age` ago.
    void publishListing(duration age = {});
    /// Configures the routes "latest", "session" and "age", and the public route "open", in this version; see `groupByRoute`.
    void configure(std::uint64_t version);
    /// The same for one of the instances only.
    void configure(proxy_engine &instance, std::uint64_t version);
    /// Sets `workspaces`, given as "NAME KEY KEY".
    void setWorkspaces(const std::vector<std::string> &all);
    void runFor(duration span);
    fake_client &connect(const std::string &database, const std::string &key = {});
    /// Sends a statement as the client, with a new id.
    void send(fake_client &client, client_verb verb, const std::string &name = {}, const std::string &value = {}, bool writes = false);
    /// Sends a statement and runs until its reply arrives, for at most 10 s.
    client_reply sendAndWait(
        fake_client &client, client_verb verb, const std::string &name = {}, const std::string &value = {}, bool writes = false);
    /// Newest primary of the group.
    fake_database &primary(const group_name &group = group_name("g"));
    /// Makes the database primary of the next term. If `replacedPrimariesContinue`, the previous primary remains one for a while.
    void promote(const database_name &name);
    /// Has another instance claim and order the promotion of the database.
    void promoteFromOtherInstance(const database_name &name);
    /// The store returns from a copy that has no claim and a lower revision.
    void loseStoreHistory();
    store_position nextPosition();
    /// Makes a replaced primary a replica with the newest primary's log.
    void stepDown(fake_database &database);
    /// Commits a write of a client of another instance at the group's primary.
    void writeFromOtherInstance(const group_name &group = group_name("g"));
    void crash(fake_database &database);
    /// Resets all connections of a database; statements that were sent before still run.
    void resetConnections(fake_database &database);
    /// Restarts a crashed database; a replica copies the primary's log.
    void restart(fake_database &database);
    /// Ids of the commits in the logs of all groups' primaries, each with its number of occurrences.
    std::map<std::string, int> committed();
    void performActions();
    /// Checks that no statement was committed whose reply said that it was not.
    void checkRefusedNotCommitted();

private:
    void perform(proxy_engine &from, proxy_action &action);
    /// Records the workspaces of connections, and checks that the instance's configuration lets the clients of the statements that it sends
    /// use theirs.
    void observeCallers(const proxy_engine &from, const proxy_action &action);
    void checkCallers(const proxy_engine &from, const send_commands &sent);
    bool performRelayed(proxy_action &action);
    proxy_engine &engineOf(database_connection_id connection);
    proxy_engine &engineOf(session_id session);
    /// Has the engine handle what arrived for it, once its process runs.
    void whenRuns(const proxy_engine &receiver, std::function<void()> handle);
    void relay(const send_commands &sent);
    void receiveRelayed(const send_commands &message, std::uint32_t number);
    /// Tells `entry` that the channel was closed, after what was sent before.
    void relayClosed(database_connection_id connection, std::uint32_t handled);
    void relayReply(database_connection_id connection, const client_reply &reply);
    void deliver(database_connection_id connection, const std::vector<database_command> &commands);
    database_reply execute(fake_database &database, database_connection_id connection, const database_command &command);
    database_reply runStatement(fake_database &database, database_connection_id connection, const database_command &command);
    void append(fake_database &database, const std::string &id);
    void applyPendingCommits(fake_database &database);
    void checkExecution(fake_database &database,
                        database_connection_id connection,
                        const database_command &command,
                        const fake_connection &fake);
    void checkReply(fake_client &client, const client_reply &reply);
    void checkFreshness(const fake_client &client, const std::string &id);
    promotion_claim &claimOf(const group_name &group);
    /// Claims of other groups than "g".
    std::map<group_name, promotion_claim> m_otherClaims;
    /// Commits of a primary that had already been replaced.
    std::set<std::string> m_committedAfterReplacement;
    std::set<std::string> m_sentIds;
    std::map<std::string, session_id> m_senders;
    std::set<database_connection_id> m_openRelays;
    /// Channels at `engine`, and the number of the last message that `entry` has sent on each.
    relay_channels m_relayChannels;
    std::map<database_connection_id, std::uint32_t> m_sentOnRelay;
    /// What is in the socket buffers of `engine` while its process stands still.
    std::deque<std::function<void()>> m_unreadByHolder;
    /// Counts the links between the instances; what is under way on a link that was reset is lost.
    std::uint64_t m_relayLink = 0;
};

} // namespace mustardrouter
