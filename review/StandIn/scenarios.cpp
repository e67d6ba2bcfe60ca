#include "bed.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>

/// The review's scenarios. Each runs one case and tells whether its rule was broken.
namespace review
{

namespace
{

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

struct scenario {
    bed_options options;
    asio::awaitable<int> (*run)(bed &, bool trouble);
};

std::size_t servedBetween(const bed &all, instant from, instant to, std::size_t &sent)
{
    std::size_t served = 0;
    sent = 0;
    for (const client_request &request : all.requests()) {
        if (request.sentAt < from || request.sentAt >= to) {
            continue;
        }
        sent += 1;
        served += request.answer == "COMPLETE" && request.answeredAt ? 1 : 0;
    }
    return served;
}

int judgeLost(bed &all)
{
    std::set<std::string> missing;
    for (const promotion &one : all.promotions()) {
        missing.insert(one.lost.begin(), one.lost.end());
    }
    const std::size_t lost = missing.size();
    std::size_t sent = 0;
    const std::size_t served = servedBetween(all, {}, instant::max(), sent);
    all.record().write("requests " + std::to_string(sent) + ", served " + std::to_string(served) + ", promotions "
                       + std::to_string(all.promotions().size()) + ", acknowledged commits missing in a promoted log "
                       + std::to_string(lost));
    if (served == 0) {
        return couldNotRun;
    }
    return lost > 0 ? ruleBroken : ruleHeld;
}

std::string textOf(const std::map<std::string, std::string> &values)
{
    std::string text;
    for (const auto &[name, value] : values) {
        text += (text.empty() ? "" : ", ") + name + " = " + value;
    }
    return text.empty() ? "no value" : text;
}

/// Whether statements ran with other values than those of their session, or in a transaction that is not their client's; and which
/// writes were acknowledged that no database has.
int judgePinned(bed &all)
{
    std::size_t otherValues = 0;
    std::size_t otherTransaction = 0;
    std::map<std::uint64_t, std::uint64_t> clientOf;
    std::set<std::string> committed;
    for (const database *one : all.databases()) {
        for (const log_commit &commit : one->log) {
            committed.insert(commit.ids.begin(), commit.ids.end());
        }
    }
    for (const statement_run &run : all.statementRuns()) {
        const auto sent = all.sentStatements().find(run.id);
        if (sent == all.sentStatements().end()) {
            continue;
        }
        const sent_statement &statement = sent->second;
        const std::string who = "client " + std::to_string(statement.client) + " " + run.id + " " + statement.text;
        if (run.values != statement.values) {
            otherValues += 1;
            all.record().write(who + " ran at " + run.database + " with " + textOf(run.values) + "; its session has "
                               + textOf(statement.values) + "; answered " + statement.answer);
        }
        bool foreign = (run.transaction == 0) != (statement.transaction == 0);
        if (run.transaction != 0 && statement.transaction != 0) {
            foreign = clientOf.try_emplace(run.transaction, statement.transaction).first->second != statement.transaction;
        }
        if (foreign) {
            otherTransaction += 1;
            all.record().write(who + " ran at " + run.database + " in the transaction " + std::to_string(run.transaction)
                               + " of the connection, which is not its client's; answered " + statement.answer);
        }
    }
    std::size_t missing = 0;
    std::size_t served = 0;
    for (const auto &[id, statement] : all.sentStatements()) {
        const bool done = statement.answer == "COMPLETE";
        served += done ? 1 : 0;
        if (done && statement.transaction == 0 && statement.text.starts_with("WRITE") && !committed.contains(id)) {
            missing += 1;
            all.record().write("acknowledged, but in no database's log: client " + std::to_string(statement.client) + " " + id + " "
                               + statement.text);
        }
    }
    all.record().write("statements answered with success " + std::to_string(served) + ", run by databases "
                       + std::to_string(all.statementRuns().size()) + ", of these with other values than their session's "
                       + std::to_string(otherValues) + ", in another transaction than their client's " + std::to_string(otherTransaction)
                       + "; acknowledged writes that no database has " + std::to_string(missing));
    if (served == 0) {
        return couldNotRun;
    }
    return otherValues + otherTransaction + missing > 0 ? ruleBroken : ruleHeld;
}

/// A replica is replaced as planned; meanwhile the other replica receives nothing, and the primary ends.
asio::awaitable<int> leavingReplicaHoldsCommits(bed &all, bool trouble)
{
    all.addDatabase("i-1a", "ba-dubravka", 0ms, true);
    database &leaving = all.addDatabase("i-2b", "ke-sever", 20ms, false);
    database &behind = all.addDatabase("i-3c", "za-vlcince", 20ms, false);
    const bool started = co_await all.start();
    if (!started) {
        co_return couldNotRun;
    }
    all.startClients(12, 0.35, 0.4, 20ms);
    co_await sleepFor(5s);
    all.drain(leaving);
    co_await sleepFor(1s);
    if (trouble) {
        all.record().write("database " + behind.name + " receives nothing from now on");
        behind.deaf = true;
    }
    co_await sleepFor(3s);
    if (trouble) {
        all.crash(all.byName("i-1a"));
    }
    co_await sleepFor(2500ms);
    behind.deaf = false;
    co_await sleepFor(2500ms);
    all.finishDraining(leaving);
    co_await sleepFor(4s);
    all.stopClients();
    co_await sleepFor(500ms);
    co_return judgeLost(all);
}

/// The primary is silent for two seconds and returns after its successor was ordered, before that one leads.
asio::awaitable<int> primaryReturnsBeforePromotion(bed &all, bool trouble)
{
    database &primary = all.addDatabase("i-3a", "ba-dubravka", 0ms, true);
    all.addDatabase("i-1b", "ke-sever", 20ms, false);
    all.addDatabase("i-2c", "ba-petrzalka", 1ms, false);
    const bool started = co_await all.start();
    if (!started) {
        co_return couldNotRun;
    }
    all.startClients(12, 0.35, 0.4, 20ms);
    co_await sleepFor(5500ms);
    // Both replicas have received all of the log when the primary goes silent.
    all.holdClients(true);
    co_await sleepFor(500ms);
    if (trouble) {
        all.setDark(primary, true);
    }
    all.holdClients(false);
    if (trouble) {
        co_await sleepFor(2s);
        all.setDark(primary, false);
    }
    co_await sleepFor(6s);
    all.stopClients();
    co_await sleepFor(500ms);
    co_return judgeLost(all);
}

/// Whether a client was told that a write is done that a replaced primary committed after the promotion.
int judgeReplaced(bed &all)
{
    std::size_t broken = 0;
    for (const client_request &request : all.requests()) {
        const auto commit = all.commitsOfReplaced().find(request.id);
        if (request.answer == "COMPLETE" && commit != all.commitsOfReplaced().end()) {
            broken += 1;
            all.record().write("acknowledged, though committed after the promotion: " + request.id);
        }
    }
    std::size_t sent = 0;
    const std::size_t served = servedBetween(all, {}, instant::max(), sent);
    all.record().write("requests " + std::to_string(sent) + ", served " + std::to_string(served) + ", promotions "
                       + std::to_string(all.promotions().size()) + ", commits of the replaced primary "
                       + std::to_string(all.commitsOfReplaced().size()) + ", of these acknowledged to clients " + std::to_string(broken));
    if (served == 0) {
        return couldNotRun;
    }
    return broken > 0 ? ruleBroken : ruleHeld;
}

/// A replica is replaced as planned, and the primary is cut off from the replicas and from two of five instances. The others read the
/// store's list three seconds late.
asio::awaitable<int> successorIsNotListedYet(bed &all, bool trouble)
{
    database &primary = all.addDatabase("i-4a", "ba-dubravka", 0ms, true);
    database &leaving = all.addDatabase("i-2b", "ke-sever", 20ms, false);
    all.addDatabase("i-3c", "za-vlcince", 20ms, false);
    const bool started = co_await all.start();
    if (!started) {
        co_return couldNotRun;
    }
    for (std::size_t index = 2; index < all.instances().size(); ++index) {
        all.instances()[index].staleness = 3000ms;
    }
    all.startClients(15, 0.2, 0.25, 30ms);
    co_await sleepFor(6s);
    database &joined = all.addDatabase("i-1n", "ke-sever", 20ms, false);
    joined.log = primary.log;
    all.publish(joined);
    all.record().write("database i-1n joins");
    co_await sleepFor(150ms);
    if (trouble) {
        all.record().write("database i-4a is cut off from the replicas, edge-1 and edge-2");
        primary.cutFromReplicas = true;
        primary.cutFrom = {"edge-1", "edge-2"};
    }
    co_await sleepFor(850ms);
    all.drain(leaving);
    co_await sleepFor(4150ms);
    all.record().write("database i-4a is no longer cut off");
    primary.cutFromReplicas = false;
    primary.cutFrom.clear();
    co_await sleepFor(5s);
    all.stopClients();
    co_await sleepFor(1500ms);
    co_return judgeReplaced(all);
}

/// A client's text has a line feed in it; messages end with CR LF.
asio::awaitable<int> textHoldsLineFeed(bed &all, bool trouble)
{
    all.addDatabase("i-1a", "ba-dubravka", 0ms, true);
    all.addDatabase("i-2b", "ke-sever", 20ms, false);
    all.addDatabase("i-3c", "za-vlcince", 20ms, false);
    const bool started = co_await all.start();
    if (!started) {
        co_return couldNotRun;
    }
    std::map<std::string, std::string> sent;
    for (int number = 0; number < 10; ++number) {
        const std::string id = "5c0e7a21d94b10" + std::to_string(number);
        const std::string separator = trouble ? "\n" : " ";
        const std::string text =
            "WRITE " + std::to_string(number) + " first" + separator + "QUERY ffffffffffff000" + std::to_string(number) + " WRITE 9 second";
        sent[id] = text;
        std::string shown = "QUERY " + id + " " + text;
        std::string message = shown;
        if (trouble) {
            shown.replace(shown.find('\n'), 1, "<LF>");
        }
        const std::string answer = co_await all.sendOne(std::move(message));
        all.record().write("client sent " + shown + "<CR><LF>: " + answer);
    }
    std::size_t unasked = 0;
    std::size_t asked = 0;
    for (const database_run &run : all.runs()) {
        const auto known = sent.find(run.id);
        const bool same = known != sent.end() && known->second == run.text;
        asked += same ? 1 : 0;
        unasked += same ? 0 : 1;
        all.record().write("a database ran " + run.id + " " + run.text
                           + (same                  ? ""
                              : known == sent.end() ? ": no client sent it"
                                                    : ": text changed"));
    }
    all.record().write("messages sent " + std::to_string(sent.size()) + ", run as sent " + std::to_string(asked)
                       + ", run otherwise or unasked " + std::to_string(unasked));
    if (asked + unasked == 0) {
        co_return trouble ? ruleHeld : couldNotRun;
    }
    co_return unasked > 0 ? ruleBroken : ruleHeld;
}

/// The primary ends while the store's revisions are large numbers.
asio::awaitable<int> revisionsAreLarge(bed &all, bool trouble)
{
    database &primary = all.addDatabase("i-1a", "ba-dubravka", 0ms, true);
    all.addDatabase("i-2b", "ke-sever", 20ms, false);
    all.addDatabase("i-3c", "za-vlcince", 20ms, false);
    const bool started = co_await all.start();
    if (!started) {
        co_return couldNotRun;
    }
    all.startClients(12, 0.35, 0.4, 20ms);
    asio::co_spawn(all.context(), all.superviseInstances(), asio::detached);
    co_await sleepFor(5s);
    if (trouble) {
        all.crash(primary);
    }
    co_await sleepFor(20s);
    all.stopClients();
    co_await sleepFor(1s);
    unsigned instances = 0;
    for (const auto &[name, ends] : all.ownEnds()) {
        all.record().write("instance " + name + " ended by itself " + std::to_string(ends) + " times");
        constexpr unsigned endsOfFault = 3;
        instances += ends >= endsOfFault ? 1 : 0;
    }
    std::size_t sent = 0;
    const std::size_t served = servedBetween(all, {}, instant::max(), sent);
    all.record().write("requests " + std::to_string(sent) + ", served " + std::to_string(served)
                       + ", instances that ended by themselves three times: " + std::to_string(instances));
    if (served == 0) {
        co_return couldNotRun;
    }
    co_return instances >= 2 ? ruleBroken : ruleHeld;
}

/// Clients whose sessions have values of their own use three databases. One of these refuses a part of its requests for some seconds.
asio::awaitable<int> refuses(bed &all, bool trouble, std::set<std::string> verbs)
{
    database &primary = all.addDatabase("i-1a", "ba-dubravka", 0ms, true);
    all.addDatabase("i-2b", "ke-sever", 20ms, false);
    all.addDatabase("i-3c", "za-vlcince", 20ms, false);
    const bool started = co_await all.start();
    if (!started) {
        co_return couldNotRun;
    }
    all.startSessions(16, 0.35, 0.4, 20ms);
    co_await sleepFor(5s);
    if (trouble) {
        all.record().write("database i-1a refuses a part of its requests from now on");
        primary.refusedVerbs = std::move(verbs);
        primary.refusedShare = 0.4;
    }
    co_await sleepFor(6500ms);
    primary.refusedShare = 0;
    all.record().write("database i-1a refuses nothing; refused so far: " + std::to_string(primary.refused));
    co_await sleepFor(3s);
    all.stopClients();
    co_await sleepFor(1500ms);
    co_return judgePinned(all);
}

asio::awaitable<int> valuesAreRefused(bed &all, bool trouble)
{
    return refuses(all, trouble, {"READ", "WRITE", "EXECUTE", "COMMIT", "SET", "PREPARE", "DISCARD"});
}

asio::awaitable<int> requestsAreRefused(bed &all, bool trouble)
{
    return refuses(all, trouble, {"READ", "WRITE", "EXECUTE", "COMMIT", "SET", "PREPARE", "DISCARD", "BEGIN", "ROLLBACK"});
}

/// Statements, single ones and the first of a transaction, that the database ran later than drain_ms after the store had accepted that
/// it is draining.
std::size_t countLateRuns(bed &all, const database &leaving, instant acknowledgedAt, instant until)
{
    constexpr auto drainTime = 7s;
    std::size_t before = 0;
    std::size_t late = 0;
    std::set<std::uint64_t> transactions;
    for (const statement_run &run : all.statementRuns()) {
        const bool first = run.transaction == 0 || transactions.insert(run.transaction).second;
        if (run.database != leaving.name || !first || run.at > until) {
            continue;
        }
        (run.at > acknowledgedAt + drainTime ? late : before) += 1;
    }
    all.record().write("database " + leaving.name + " ran " + std::to_string(before)
                       + " statements up to drain_ms after the store had accepted that it is draining, and " + std::to_string(late)
                       + " later");
    return late;
}

/// The databases of the service are replaced one after the other as planned, the primary first. A new one starts before the old one
/// drains.
asio::awaitable<int> databasesAreReplacedInTurn(bed &all, bool trouble)
{
    constexpr auto gap = 1s;
    database &primary = all.addDatabase("i-1a", "ba-dubravka", 0ms, true);
    database &second = all.addDatabase("i-2b", "ke-sever", 20ms, false);
    all.addDatabase("i-3c", "za-vlcince", 20ms, false);
    const bool started = co_await all.start();
    if (!started) {
        co_return couldNotRun;
    }
    all.startClients(12, 0.35, 0.4, 20ms);
    co_await sleepFor(5s);
    all.join("i-1n", "ba-dubravka", 20ms);
    co_await sleepFor(gap);
    all.drain(primary);
    co_await sleepFor(gap);
    if (trouble) {
        all.join("i-2n", "ke-sever", 20ms);
    }
    co_await sleepFor(gap);
    if (trouble) {
        all.drain(second);
    }
    co_await sleepFor(8s);
    all.stopClients();
    co_await sleepFor(500ms);
    co_return judgeLost(all);
}

/// An entry from another writer stands among the databases' ones when a replica is replaced as planned, and when all processes are
/// killed and start again.
asio::awaitable<int> entryIsUnreadable(bed &all, bool trouble)
{
    constexpr auto recoverTime = 12s;
    constexpr double quarter = 0.25;
    all.addDatabase("i-1a", "ba-dubravka", 0ms, true);
    database &leaving = all.addDatabase("i-2b", "ke-sever", 20ms, false);
    all.addDatabase("i-3c", "za-vlcince", 20ms, false);
    const bool started = co_await all.start();
    if (!started) {
        co_return couldNotRun;
    }
    const instant startedAt = steady::now();
    all.startClients(8, 0.35, 0.4, 20ms);
    all.startSessions(8, 0.35, 0.4, 20ms);
    co_await sleepFor(3s);
    all.writeForeignEntry("note-1", trouble ? "\"\\ud83d\"" : "\"a note\"");
    co_await sleepFor(6s);
    all.drain(leaving);
    const instant acknowledgedAt = steady::now();
    co_await sleepFor(10s);
    const instant killedAt = steady::now();
    all.killInstances();
    co_await sleepFor(1s);
    all.startInstances();
    const instant backAt = steady::now();
    co_await sleepFor(recoverTime + 6s);
    const instant endedAt = steady::now();
    all.stopClients();
    co_await sleepFor(1500ms);
    const std::size_t late = countLateRuns(all, leaving, acknowledgedAt, killedAt);
    std::size_t sentBefore = 0;
    const std::size_t servedBefore = servedBetween(all, startedAt, killedAt, sentBefore);
    std::size_t sentAfter = 0;
    const std::size_t servedAfter = servedBetween(all, backAt + recoverTime, endedAt, sentAfter);
    all.record().write("before the processes were killed " + std::to_string(servedBefore) + " of " + std::to_string(sentBefore)
                       + " requests were served; of those sent later than recover_s after they were back " + std::to_string(servedAfter)
                       + " of " + std::to_string(sentAfter));
    if (static_cast<double>(servedBefore) < quarter * static_cast<double>(sentBefore) || sentAfter == 0) {
        co_return couldNotRun;
    }
    const bool recovered = static_cast<double>(servedAfter) >= quarter * static_cast<double>(sentAfter);
    co_return late > 0 || !recovered ? ruleBroken : ruleHeld;
}

/// The primary is silent for two seconds, and all processes are killed while both replicas are paused for its replacement.
asio::awaitable<int> processesEndWhileReplicasArePaused(bed &all, bool trouble)
{
    constexpr auto recoverTime = 12s;
    constexpr double quarter = 0.25;
    database &primary = all.addDatabase("i-1a", "ba-dubravka", 0ms, true);
    all.addDatabase("i-2b", "ke-sever", 20ms, false);
    all.addDatabase("i-3c", "za-vlcince", 20ms, false);
    std::set<std::string> paused;
    all.onControl = [&](database &which, const std::string &verb, const std::string &) {
        if (verb == "PAUSE") {
            paused.insert(which.name);
        }
    };
    const bool started = co_await all.start();
    if (!started) {
        co_return couldNotRun;
    }
    const instant startedAt = steady::now();
    all.startClients(12, 0.35, 0.4, 20ms);
    co_await sleepFor(5s);
    const instant darkAt = steady::now();
    if (trouble) {
        all.setDark(primary, true);
    }
    while (trouble && paused.size() < 2 && steady::now() < darkAt + 2s) {
        co_await sleepFor(1ms);
    }
    const instant killedAt = steady::now();
    all.killInstances();
    co_await sleepUntil(std::max(darkAt + 2s, killedAt + 1s));
    if (trouble) {
        all.setDark(primary, false);
    }
    all.startInstances();
    const instant backAt = steady::now();
    co_await sleepFor(recoverTime + 8s);
    const instant endedAt = steady::now();
    all.stopClients();
    co_await sleepFor(1500ms);
    std::size_t sentBefore = 0;
    const std::size_t servedBefore = servedBetween(all, startedAt, killedAt, sentBefore);
    std::size_t sentAfter = 0;
    const std::size_t servedAfter = servedBetween(all, backAt + recoverTime, endedAt, sentAfter);
    std::size_t writesAfter = 0;
    for (const client_request &request : all.requests()) {
        writesAfter += request.writes && request.answer == "COMPLETE" && request.sentAt >= backAt + recoverTime ? 1 : 0;
    }
    all.record().write("before the processes were killed " + std::to_string(servedBefore) + " of " + std::to_string(sentBefore)
                       + " requests were served; of those sent later than recover_s after they were back " + std::to_string(servedAfter)
                       + " of " + std::to_string(sentAfter) + ", of these writes " + std::to_string(writesAfter));
    if (static_cast<double>(servedBefore) < quarter * static_cast<double>(sentBefore) || sentAfter == 0) {
        co_return couldNotRun;
    }
    co_return static_cast<double>(servedAfter) < quarter *static_cast<double>(sentAfter) ? ruleBroken : ruleHeld;
}

/// Some clients send long statements without awaiting answers.
asio::awaitable<int> clientsFlood(bed &all, bool trouble)
{
    constexpr std::size_t megabyte = 1'000'000;
    constexpr std::size_t memoryLimit = 182 * megabyte;
    all.addDatabase("i-1a", "ba-dubravka", 0ms, true);
    all.addDatabase("i-2b", "ke-sever", 20ms, false);
    all.addDatabase("i-3c", "za-vlcince", 20ms, false);
    const bool started = co_await all.start();
    if (!started) {
        co_return couldNotRun;
    }
    all.startClients(12, 0.35, 0.4, 20ms);
    asio::co_spawn(all.context(), all.superviseInstances(), asio::detached);
    asio::co_spawn(all.context(), all.limitMemory(memoryLimit), asio::detached);
    co_await sleepFor(3s);
    for (std::size_t peer = 0; trouble && peer < 36; ++peer) {
        all.startFlood(peer % all.instances().size(), 60, megabyte);
    }
    co_await sleepFor(20s);
    all.stopClients();
    co_await sleepFor(1s);
    unsigned instances = 0;
    for (const auto &[name, ends] : all.ownEnds()) {
        all.record().write("instance " + name + " ended " + std::to_string(ends) + " times");
        constexpr unsigned endsOfFault = 3;
        instances += ends >= endsOfFault ? 1 : 0;
    }
    std::size_t sent = 0;
    const std::size_t served = servedBetween(all, {}, instant::max(), sent);
    all.record().write("requests " + std::to_string(sent) + ", served " + std::to_string(served) + ", most memory of a process "
                       + std::to_string(all.largestMemory() / megabyte)
                       + " MB, instances that ended three times: " + std::to_string(instances));
    if (served == 0) {
        co_return couldNotRun;
    }
    co_return instances >= 2 ? ruleBroken : ruleHeld;
}

const std::map<std::string, scenario> &scenarios()
{
    static const std::map<std::string, scenario> all{
        {"unlisted-successor",
         {{.instances = 5, .syncReplicas = 0, .fenced = false, .slots = 2, .maxConnections = 36}, successorIsNotListedYet}},
        {"leaving-replica", {{.instances = 3, .syncReplicas = 1}, leavingReplicaHoldsCommits}},
        {"primary-returns", {{.instances = 3, .syncReplicas = 1}, primaryReturnsBeforePromotion}},
        {"paused-replicas", {{.instances = 3, .syncReplicas = 1}, processesEndWhileReplicasArePaused}},
        {"replaced-in-turn", {{.instances = 3, .syncReplicas = 1, .slots = 2, .maxConnections = 36}, databasesAreReplacedInTurn}},
        {"flood", {{.instances = 3, .syncReplicas = 0}, clientsFlood}},
        {"unreadable-entry", {{.instances = 3, .syncReplicas = 0, .fenced = false, .slots = 2, .maxConnections = 36}, entryIsUnreadable}},
        {"values-refused", {{.instances = 3, .syncReplicas = 0, .fenced = false, .slots = 2, .maxConnections = 36}, valuesAreRefused}},
        {"requests-refused", {{.instances = 3, .syncReplicas = 0, .fenced = false, .slots = 2, .maxConnections = 36}, requestsAreRefused}},
        {"line-feed", {{.instances = 1, .syncReplicas = 0, .fenced = false, .slots = 2, .maxConnections = 36}, textHoldsLineFeed}},
        {"large-revisions", {{.instances = 3, .syncReplicas = 0, .firstRevision = 1'796'428'800'000}, revisionsAreLarge}},
    };
    return all;
}

} // namespace

} // namespace review

int main(int count, char **arguments)
{
    using namespace review;
    if (count != 3 || !scenarios().contains(arguments[1])) {
        std::cerr << "usage: bed SCENARIO FOLDER\n";
        return couldNotRun;
    }
    const char *setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";
    const scenario &chosen = scenarios().at(arguments[1]);
    bed_options options = chosen.options;
    options.folder = arguments[2];
    std::string scratch = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(scratch.data()) == nullptr) {
        return couldNotRun;
    }
    options.scratch = scratch;
    int result = couldNotRun;
    {
        bed all(options);
        asio::co_spawn(all.context(), chosen.run(all, trouble), [&](const std::exception_ptr &problem, int verdict) {
            result = problem ? couldNotRun : verdict;
            all.context().stop();
        });
        all.context().run();
        all.record().write(std::string("verdict: ") + (result == ruleBroken ? "broken" : result == ruleHeld ? "held" : "could not run"));
    }
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(scratch);
    } else {
        std::cerr << scratch << '\n';
    }
    return result;
}
