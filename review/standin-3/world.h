#pragma once

#include <poll.h>
#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// Small stand-ins of the platform's store, of databases and of clients, all on loopback addresses and in one thread, and the
/// processes of the project that a case starts.
namespace standin3
{

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;
using std::chrono::milliseconds;

/// One TCP connection. While it is silent, nothing is read or written, as on a cut link.
struct stream : std::enable_shared_from_this<stream> {
    int descriptor = -1;
    std::string input;
    std::string output;
    bool silent = false;
    bool closesAfterOutput = false;
    std::function<void(stream &)> onInput;
    std::function<void()> onClosed;
};
using stream_ref = std::shared_ptr<stream>;

struct listener {
    int descriptor = -1;
    std::uint16_t port = 0;
    std::function<void(const stream_ref &)> onAccepted;
};

/// Sockets and timers.
class event_loop
{
public:
    ~event_loop();
    /// Listens on a free port of 127.0.0.1.
    listener &listen(std::function<void(const stream_ref &)> onAccepted);
    stream_ref connect(std::uint16_t port);
    void close(const stream_ref &which);
    void after(milliseconds wait, std::function<void()> what);
    /// Handles events until the condition holds or the time is over; returns whether it held.
    bool runUntil(const std::function<bool()> &condition, milliseconds limit);
    void runFor(milliseconds span);

private:
    void step();
    void receive(const stream_ref &from);
    void send(const stream_ref &to);

    std::deque<listener> m_listeners;
    std::vector<stream_ref> m_streams;
    std::multimap<time_point, std::function<void()>> m_timers;
};

std::uint16_t freePort();
/// Removes the first line, without its end; returns false if there is no whole line yet.
bool takeLine(std::string &input, std::string &line);
std::string takeWord(std::string &text);

/// The platform's store and its orders, over HTTP. Each instance has an address of its own, so that it can be cut off alone.
class object_store
{
public:
    explicit object_store(event_loop &loop);
    std::uint16_t addPort();
    std::uint16_t orderPort() const;
    void put(const std::string &kind, const std::string &name, const std::string &content);
    /// Whether the instance with this port reaches the store; a cut is silent.
    void setReachable(std::uint16_t port, bool reachable);
    /// Appends a line for each order that arrived.
    std::vector<std::string> orders;

private:
    struct object {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string content;
    };
    struct change {
        std::uint64_t revision;
        std::string kind;
        std::string event;
    };
    struct request {
        std::string method;
        std::string path;
        std::map<std::string, std::string> query;
        std::string body;
    };

    void serve(stream &client);
    void answer(const stream_ref &client, const request &call);
    void respond(const stream_ref &client, int status, const std::string &body);
    void watch(const stream_ref &client, const std::string &kind, std::uint64_t since, time_point until);
    std::string textOf(const std::string &name, const object &one) const;
    void write(const std::string &kind, const std::string &name, const std::string &content);

    event_loop &m_loop;
    std::uint64_t m_revision = 1;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::vector<change> m_changes;
    std::map<std::uint16_t, std::vector<std::weak_ptr<stream>>> m_byPort;
    std::set<std::uint16_t> m_cut;
    std::uint16_t m_orderPort = 0;
};

/// A statement as a database ran it.
struct run_record {
    std::string id;
    std::string text;
    std::string service;
    std::string database;
    /// The instance whose connection it came on.
    std::string caller;
    time_point at;
    /// Number of the last commit in the log that it ran on.
    std::size_t applied = 0;
};

/// A service: one primary, which holds the log, and replicas that apply it some time later.
class service
{
public:
    service(event_loop &loop, std::string name, std::size_t maxConnections);
    void addDatabase(const std::string &id, const std::string &zone, bool primary);
    /// Fills the log with this many commits from before, under item names that no client uses.
    void fill(std::size_t commits);
    /// From now on replicas apply what they receive this much later.
    void setLag(milliseconds lag);
    /// Commits in the log.
    std::size_t length() const;
    /// Enters the databases in the store.
    void publish(object_store &store) const;
    const std::string &name() const;
    std::size_t maxConnections() const;
    /// Instances that have connections to a database of the service now.
    std::set<std::string> connectedInstances() const;
    std::vector<run_record> runs;

private:
    struct database {
        std::string id;
        std::string zone;
        bool primary = false;
        std::uint16_t port = 0;
        std::map<const stream *, std::string> callers;
    };
    struct entry {
        std::string item;
        std::string data;
        time_point at;
    };
    struct session {
        std::weak_ptr<stream> link;
        database *at = nullptr;
        std::deque<std::string> lines;
        bool busy = false;
        bool started = false;
        bool inTransaction = false;
        bool reads = false;
        bool failed = false;
        std::vector<std::pair<std::string, std::string>> writes;
        std::map<std::string, std::string> prepared;
    };
    using session_ref = std::shared_ptr<session>;

    void next(const session_ref &one);
    void start(const session_ref &one, std::string line);
    void execute(const session_ref &one, const std::string &line);
    void reply(const session_ref &one, const std::string &text);
    std::size_t appliedAt(const database &where) const;

    event_loop &m_loop;
    std::string m_name;
    std::size_t m_maxConnections;
    std::deque<database> m_databases;
    std::vector<entry> m_log;
    milliseconds m_lag;
    std::uint64_t m_signatures = 0;
};

/// The reply to a statement; `code` is empty after a success.
struct client_answer {
    std::string code;
    std::string position;
    std::vector<std::string> rows;
    bool closed = false;
};

/// One client's session, with one statement at a time.
class client
{
public:
    client(event_loop &loop, std::uint16_t port, std::string database);
    void ask(const std::string &id, const std::string &text, std::function<void(const client_answer &)> onAnswer);
    bool isOpen() const;
    void close();

private:
    void onInput(stream &from);

    event_loop &m_loop;
    stream_ref m_link;
    bool m_ready = false;
    bool m_open = true;
    std::string m_waiting;
    client_answer m_answer;
    std::function<void(const client_answer &)> m_onAnswer;
};

/// An instance of the project, as a process.
struct instance {
    std::string name;
    std::string zone;
    std::uint16_t clientPort = 0;
    std::uint16_t readinessPort = 0;
    std::uint16_t relayPort = 0;
    std::uint16_t storePort = 0;
    pid_t process = -1;
};

/// Writes the instance's settings into the folder and starts it with the command of the deploy file.
bool startInstance(
    instance &one, const std::string &program, const std::string &folder, const std::vector<std::string> &zones, std::uint16_t orderPort);
void stopInstance(instance &one);
/// Whether the instance answers its readiness probe with 200.
bool isReady(const instance &one);

} // namespace standin3
