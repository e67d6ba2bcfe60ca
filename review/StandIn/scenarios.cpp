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
    std::size_t lost = 0;
    for (const promotion &one : all.promotions()) {
        lost += one.lost.size();
    }
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

const std::map<std::string, scenario> &scenarios()
{
    static const std::map<std::string, scenario> all{
        {"unlisted-successor",
         {{.instances = 5, .syncReplicas = 0, .fenced = false, .slots = 2, .maxConnections = 36}, successorIsNotListedYet}},
        {"leaving-replica", {{.instances = 3, .syncReplicas = 1}, leavingReplicaHoldsCommits}},
        {"primary-returns", {{.instances = 3, .syncReplicas = 1}, primaryReturnsBeforePromotion}},
        {"line-feed", {{.instances = 1, .syncReplicas = 0}, textHoldsLineFeed}},
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
