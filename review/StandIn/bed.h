#pragma once

#include <asio.hpp>
#include <json/json.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// A small deployment for the review's scripts: databases, the platform's store and its orders, and clients, all in one thread, around
/// instances of the program that run as processes of their own.
namespace review
{

using namespace std::chrono_literals;
using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;
using instant = steady::time_point;
using millis = std::chrono::milliseconds;

/// What was sent, answered and run, one event a line, with the seconds since the start.
class recorder
{
public:
    explicit recorder(const std::string &path);
    void write(const std::string &what);
    double seconds() const;

private:
    std::ofstream m_file;
    instant m_startedAt = steady::now();
};

/// Suspends the calling coroutine.
asio::awaitable<void> sleepFor(steady::duration span);
asio::awaitable<void> sleepUntil(instant due);

/// One commit in a database's log.
struct log_commit {
    unsigned term = 0;
    /// Ids of the statement or of the transaction's writes.
    std::vector<std::string> ids;
    instant at;
};

/// One database of the service.
struct database {
    std::string name;
    std::string zone;
    std::string address;
    /// One way from the primary.
    millis delay{};
    bool running = true;
    /// It answers nothing and receives nothing, and its connections stay open.
    bool dark = false;
    bool primary = false;
    /// Another one was promoted, and this one goes on until it learns of that.
    bool replaced = false;
    bool draining = false;
    /// It receives nothing from the primary.
    bool deaf = false;
    /// The primary's links to the replicas are cut.
    bool cutFromReplicas = false;
    /// Instances that don't reach it.
    std::set<std::string> cutFrom;
    unsigned term = 3;
    /// PAUSE: the term from which on it receives again; 0 while it is not paused.
    unsigned pausedUntil = 0;
    std::vector<log_commit> log;
    /// Since when the link from the primary has been up.
    instant linkSince{};
    /// When the next entry may arrive.
    bool linkWasUp = true;
    std::vector<instant> slotFreeAt;
    unsigned connections = 0;
    std::uint64_t born = 0;
    std::uint64_t sequence = 1;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::set<std::shared_ptr<tcp::socket>> sockets;
    instant silentSince{};
    /// Share of its requests that it refuses with BUSY, unrun, and of which verbs; its health is good.
    double refusedShare = 0;
    std::set<std::string> refusedVerbs;
    std::uint64_t refused = 0;
};

/// What a database order or a promotion did, for the checks of a scenario.
struct promotion {
    instant at;
    std::string successor;
    /// Commits that were acknowledged to clients before and that the successor's log lacks.
    std::vector<std::string> lost;
};

/// An order to the platform.
struct order {
    instant at;
    std::string holder;
    std::uint64_t token = 0;
    std::string successor;
    unsigned status = 0;
};

/// Settings of a deployment.
struct bed_options {
    /// Where the record goes, and where settings and logs go.
    std::string folder{};
    std::string scratch{};
    std::size_t instances = 3;
    unsigned syncReplicas = 1;
    bool fenced = true;
    millis promoteTime{1000};
    std::size_t slots = 3;
    unsigned maxConnections = 45;
    millis work{8};
    /// The store's revision counter begins here.
    std::uint64_t firstRevision = 100;
};

/// One instance of the program.
struct instance {
    std::string name;
    std::string ip;
    pid_t process = 0;
    std::uint16_t storePort = 0;
    std::uint16_t orderPort = 0;
    bool cutFromStore = false;
    /// How old its stale reads of the store are.
    millis staleness{};
};

/// A client's statement as a database ran it.
struct database_run {
    std::string id;
    std::string text;
};

/// A client's statement that a database ran to its end, with what the connection held then.
struct statement_run {
    std::string id;
    std::string database;
    std::map<std::string, std::string> values;
    /// Number of the transaction on the connection; 0 outside of one.
    std::uint64_t transaction = 0;
    instant at{};
};

/// A statement of a client whose session has values, as the client sent it.
struct sent_statement {
    std::size_t client = 0;
    std::string text;
    /// Values that the system has acknowledged to the client.
    std::map<std::string, std::string> values;
    /// Number of the client's transaction; 0 outside of one.
    std::uint64_t transaction = 0;
    std::string answer = "none";
};

/// One request of a client and what became of it.
struct client_request {
    std::string id;
    instant sentAt;
    std::optional<instant> answeredAt;
    /// First word of the last answer: COMPLETE, a code, or CLOSED.
    std::string answer;
    bool writes = false;
};

class bed
{
public:
    explicit bed(bed_options chosen);
    ~bed();
    bed(const bed &) = delete;
    bed &operator=(const bed &) = delete;

    /// Adds a database; all are added before `start`, or later to join.
    database &addDatabase(const std::string &name, const std::string &zone, millis delay, bool primary);
    /// Starts the store, the databases and the instances, and waits until these are ready. Returns false if that takes too long.
    asio::awaitable<bool> start();
    /// Runs clients, each of which writes, or begins a transaction that writes, with the given shares, and otherwise reads.
    void startClients(std::size_t count, double writes, double transactions, millis pause);
    void stopClients();
    /// While held, clients send nothing new.
    void holdClients(bool held);

    /// Disruptions and planned work.
    void crash(database &which);
    void setDark(database &which, bool dark);
    /// A new database starts, with the primary's log, and is published.
    void join(const std::string &name, const std::string &zone, millis delay);
    void drain(database &which);
    void finishDraining(database &which);
    void killInstances();
    void startInstances();
    /// Starts instances again that have ended by themselves, and counts how often each has; ends when the clients stop.
    asio::awaitable<void> superviseInstances();
    const std::map<std::string, unsigned> &ownEnds() const;
    /// Sends one message on a new session, without its CR LF, and returns the first line of the answer.
    asio::awaitable<std::string> sendOne(std::string message);
    void publish(database &which);
    /// Another writer writes an entry among the databases' ones. `text` stands in it as JSON text, unchecked.
    void writeForeignEntry(const std::string &name, const std::string &text);

    database &byName(const std::string &name);
    database *primary();
    std::vector<const database *> databases() const;
    asio::io_context &context();
    recorder &record();
    std::vector<instance> &instances();
    const std::vector<client_request> &requests() const;
    const std::vector<promotion> &promotions() const;
    const std::vector<order> &orders() const;
    /// Requests that a replaced primary committed after the promotion of its successor, with the time of the commit.
    const std::map<std::string, instant> &commitsOfReplaced() const;
    /// Reads, writes and commits that databases ran.
    const std::vector<database_run> &runs() const;

    /// Runs clients each of which gives its session a value of its own, then reads, writes, and begins transactions of which it rolls
    /// back half.
    void startSessions(std::size_t count, double writes, double transactions, millis pause);
    /// A client sends so many statements of this length one after the other, without awaiting answers, on a session to the instance, and
    /// begins again when that ends.
    void startFlood(std::size_t instanceIndex, std::size_t messages, std::size_t bytes);
    /// Kills processes that use more than this, as the platform does; superviseInstances() starts them again.
    asio::awaitable<void> limitMemory(std::size_t bytes);
    std::size_t largestMemory() const;
    const std::map<std::string, sent_statement> &sentStatements() const;
    const std::vector<statement_run> &statementRuns() const;

    /// Called when a database has handled a command of an instance: PAUSE, RESUME or STEPDOWN.
    std::function<void(database &, const std::string &verb, const std::string &caller)> onControl;

private:
    struct connection;
    struct stored {
        Json::Value spec;
        std::uint64_t created = 0;
        std::uint64_t revision = 0;
    };
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        Json::Value object;
        bool removed = false;
        instant at;
    };
    struct http_request {
        std::string method;
        std::string target;
        std::map<std::string, std::string> headers;
        std::string body;
    };
    struct http_answer {
        unsigned status = 200;
        std::string body;
    };

    // Databases (databases.cpp)
    bool listen(database &which);
    asio::awaitable<void> accept(database &which);
    asio::awaitable<void> serve(database &which, std::shared_ptr<tcp::socket> socket);
    asio::awaitable<std::string> execute(database &which, connection &from, std::string line);
    asio::awaitable<std::string> runClientVerb(database &which, connection &from, std::string verb, std::string rest);
    asio::awaitable<std::string> commitAt(database &which, std::vector<std::string> ids);
    std::string control(database &which, connection &from, const std::string &verb, const std::string &rest);
    asio::awaitable<bool> takeSlot(database &which, millis work);
    asio::awaitable<void> untilReachable(database &which, const std::string &caller);
    asio::awaitable<void> replicate();
    void receive(database &replica, instant now);
    void promote(const std::string &successor);

    // Platform (platform.cpp)
    asio::awaitable<void> acceptHttp(std::shared_ptr<tcp::acceptor> acceptor, std::size_t index, bool orders);
    asio::awaitable<void> serveHttp(tcp::socket socket, std::size_t index, bool orders);
    asio::awaitable<http_answer> answerStore(http_request request, std::size_t index);
    asio::awaitable<http_answer> watch(const std::string &kind, std::map<std::string, std::string> query, std::size_t index);
    http_answer answerOrder(const http_request &request);
    void put(const std::string &kind, const std::string &name, const Json::Value &spec);
    void remove(const std::string &kind, const std::string &name);
    Json::Value objectOf(const std::string &name, const stored &object) const;
    asio::awaitable<void> heartbeat();
    std::uint16_t listenHttp(std::size_t index, bool orders);

    // Instances and clients (clients.cpp)
    void writeSettings(const instance &which) const;
    void spawn(instance &which);
    asio::awaitable<bool> isReady(const instance &which);
    asio::awaitable<void> runClient(std::size_t number, double writes, double transactions, millis pause);
    asio::awaitable<std::string> ask(tcp::socket &socket, std::string &buffer, std::string id, std::string text);
    asio::awaitable<bool> runOperation(tcp::socket &socket, std::string &buffer, double draw, double writes, double transactions);

    // Sessions with values (sessions.cpp)
    asio::awaitable<void> runSession(std::size_t number, double writes, double transactions, millis pause);
    asio::awaitable<std::string> askAs(tcp::socket &socket, std::string &buffer, sent_statement sent);
    asio::awaitable<void> flood(std::size_t instanceIndex, std::size_t messages, std::size_t bytes);
    std::size_t m_largestMemory = 0;
    asio::awaitable<void> useSession(
        tcp::socket &socket, std::string &buffer, sent_statement base, std::mt19937_64 &random, double writes, double transactions);

    /// JSON text that stands for a mark in the store's answers.
    std::string m_foreignText;
    std::map<std::string, sent_statement> m_sentStatements;
    std::vector<statement_run> m_statementRuns;
    std::uint64_t m_nextTransaction = 1;
    std::uint64_t m_nextClientTransaction = 1;
    bed_options m_options;
    asio::io_context m_context{1};
    recorder m_record;
    std::mt19937_64 m_random{1};
    std::map<std::string, std::unique_ptr<database>> m_databases;
    std::vector<instance> m_instances;
    std::uint16_t m_frontendPort = 0;
    std::uint16_t m_readinessPort = 0;
    std::uint16_t m_internalPort = 0;
    std::map<std::string, std::map<std::string, stored>> m_objects;
    std::deque<event> m_events;
    std::uint64_t m_revision = 0;
    std::uint64_t m_highestToken = 0;
    std::vector<client_request> m_requests;
    std::map<std::string, instant> m_acknowledged;
    std::vector<promotion> m_promotions;
    std::vector<order> m_orders;
    std::map<std::string, instant> m_commitsOfReplaced;
    std::vector<database_run> m_runs;
    std::map<std::string, unsigned> m_ownEnds;
    bool m_clientsRun = false;
    bool m_clientsHeld = false;
    std::uint64_t m_nextId = 1;
};

/// Reads a line without its CR LF; throws when the connection ends.
asio::awaitable<std::string> readLine(tcp::socket &socket, std::string &buffer);
/// Removes and returns the next word.
std::string takeWord(std::string &text);

} // namespace review
