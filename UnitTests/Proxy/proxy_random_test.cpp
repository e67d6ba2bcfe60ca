#include "UnitTests/Proxy/proxy_world.h"

#include "mustardrouter/Proxy/engine_parts.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

/// Sends one random statement if the client is not waiting for a reply.
void sendRandomStatement(proxy_world &world, fake_client &client)
{
    if (client.awaitsReply || client.closed || !client.accepted) {
        return;
    }
    const std::uint64_t draw = world.random() % 100;
    const std::string item = "item" + std::to_string(world.random() % 5);
    if (client.inTransaction && draw < 25) {
        world.send(client, client_verb::commit);
    } else if (client.inTransaction && draw < 32) {
        world.send(client, client_verb::rollback);
    } else if (!client.inTransaction && draw < 8) {
        world.send(client, client_verb::begin);
    } else if (!client.inTransaction && draw < 14) {
        world.send(client, client_verb::beginRead);
    } else if (draw < 40) {
        world.send(client, client_verb::write, item, "data");
    } else if (draw < 46) {
        world.send(client, client_verb::setValue, "name" + std::to_string(draw % 2), "value" + std::to_string(world.random() % 3));
    } else if (draw < 52) {
        world.send(client,
                   client_verb::prepare,
                   "s" + std::to_string(draw % 2),
                   "shape" + std::to_string(world.random() % 3),
                   world.random() % 2 == 0);
    } else if (draw < 62 && !client.preparedTexts.empty()) {
        world.send(client, client_verb::execute, client.preparedTexts.begin()->first, item);
    } else {
        world.send(client, client_verb::read, item);
    }
}

/// Starts or ends one random fault; several may overlap.
void changeFaults(proxy_world &world)
{
    fake_database &any = world.databases.at(database_name("db-" + std::to_string(world.random() % 3)));
    if (world.entry && world.random() % 4 == 0) {
        if (world.random() % 2 == 0) {
            world.relayLinkCut = !world.relayLinkCut;
        } else {
            world.resetRelayLink();
        }
        return;
    }
    switch (world.random() % 10) {
    case 0:
        world.crash(any);
        break;
    case 1:
        world.restart(any);
        break;
    case 2:
        any.lag = 10ms + duration(1ms) * static_cast<int>(world.random() % 3000);
        break;
    case 3:
        any.lag = 10ms;
        break;
    case 4:
        any.replyLossPercent = world.random() % 2 == 0 ? 0 : 20;
        break;
    case 5:
        any.full = !any.full;
        break;
    case 6:
        world.storeUnavailable = !world.storeUnavailable;
        break;
    case 7:
        world.promotionRepliesLost = !world.promotionRepliesLost;
        break;
    case 8:
        if (world.replacedPrimariesContinue) {
            world.promoteFromOtherInstance(any.listed.name);
        } else {
            world.promote(any.listed.name);
        }
        break;
    case 9:
        world.resetConnections(any);
        break;
    }
}

/// Has each instance read the next version up to half a second after the operator wrote it.
void publishVersion(proxy_world &world)
{
    world.lastVersion += 1;
    for (proxy_engine *instance : {&world.engine, world.entry.get()}) {
        if (instance == nullptr) {
            continue;
        }
        const duration wait = 1ms * static_cast<int>(world.random() % 500);
        world.events.emplace(
            world.now + wait, [&world, instance, table = world.workspaces, groups = world.groupByRoute, version = world.lastVersion] {
                world.workspaces = table;
                world.groupByRoute = groups;
                world.configure(*instance, version);
            });
    }
}

const group_name secondGroup("h");

/// Moves routes between the two groups, and changes the lag of replicas, so that either log may be the shorter one.
void moveRoutes(proxy_world &world)
{
    for (const char *name : {"latest", "session", "age"}) {
        world.groupByRoute[name] = world.random() % 2 == 0 ? group_name("g") : secondGroup;
    }
    publishVersion(world);
    for (auto &[name, database] : world.databases) {
        if (database.listed.group == secondGroup) {
            database.lag = world.random() % 2 == 0 ? 10ms : 1ms * static_cast<int>(world.random() % 3000);
        }
    }
}

/// Withdraws, adds or moves a key.
void changeKeys(proxy_world &world)
{
    const char *keys[] = {"key-0", "key-1", "key-2"};
    std::vector<std::string> all{"red", "blue", "green"};
    for (const char *key : keys) {
        if (world.random() % 4 != 0) {
            all[world.random() % 3] += std::string(" ") + key;
        }
    }
    world.setWorkspaces(all);
    publishVersion(world);
}

/// What a replaced primary does, what the engine expects of it, and which instances there are.
struct scenario_kind {
    bool continues = false;
    bool engineExpectsThat = false;
    /// A second instance relays the statements of half the clients.
    bool relays = false;
    /// Clients have keys, which are withdrawn, added and moved.
    bool workspaces = false;
    /// Routes move between two groups.
    bool movesRoutes = false;
    /// Statements take up to 3 s while there are faults, and openings and statuses up to 1.5 s.
    bool longStatements = false;
};

const std::vector<std::string> allKeys{"red key-0", "blue key-1", "green key-2"};

/// Changes how long a random database takes for its statements, its new connections and its statuses.
void changeDurations(proxy_world &world)
{
    fake_database &any = world.databases.at(database_name("db-" + std::to_string(world.random() % 3)));
    any.serviceTime = world.random() % 3 == 0 ? 5ms : 1ms * static_cast<int>(300 + world.random() % 2700);
    any.openingTime = world.random() % 2 == 0 ? 0ms : 1ms * static_cast<int>(world.random() % 1500);
    any.statusTime = world.random() % 2 == 0 ? 0ms : 1ms * static_cast<int>(world.random() % 1500);
}

/// Whether a statement has waited for longer than its route allows.
bool anyUnanswered(const proxy_world &world)
{
    return std::ranges::any_of(world.clients, [&](const auto &entry) {
        const fake_client &client = entry.second;
        return client.accepted && !client.closed && client.awaitsReply && world.now - client.sentAt > 1050ms;
    });
}

/// Whether each connection that belongs to a session is one that the session uses, and the other way round.
bool connectionsMatchSessions(proxy_engine &engine)
{
    const bool anyLeaked = std::ranges::any_of(engine.connections, [&](const auto &entry) {
        const auto session = engine.sessions.find(entry.second.session);
        const bool inTransaction =
            session != engine.sessions.end() && session->second.transaction && session->second.transaction->connection == entry.first;
        return session != engine.sessions.end() && !inTransaction && proxying::runOn(session->second, entry.first) == nullptr;
    });
    const auto isForeign = [&](const client_session &session, database_connection_id id) {
        const auto connection = engine.connections.find(id);
        return id != database_connection_id{} && (connection == engine.connections.end() || connection->second.session != session.id);
    };
    return !anyLeaked && std::ranges::none_of(engine.sessions, [&](const auto &entry) {
        const client_session &session = entry.second;
        return session.current
               && (isForeign(session, session.current->connection)
                   || (session.current->earlierRun && isForeign(session, session.current->earlierRun->connection)));
    });
}

/// Runs clients with all read rules under random faults and then without. Returns the first violation, or an empty string.
std::string runScenario(std::uint64_t seed, scenario_kind kind)
{
    proxy_world world(seed);
    world.replacedPrimariesContinue = kind.continues;
    world.engine.settings.replacedPrimariesStepDown = !kind.engineExpectsThat;
    if (kind.workspaces) {
        world.setWorkspaces(allKeys);
    }
    world.addGroup();
    if (kind.movesRoutes) {
        world.addGroup(secondGroup.value(), "other-");
        world.groupByRoute["open"] = secondGroup;
    }
    world.configure(1);
    const char *routes[] = {"latest", "session", "age"};
    if (kind.relays) {
        world.addEntry(1);
    }
    const auto connect = [&](int index) {
        const std::string key = kind.workspaces ? "key-" + std::to_string(index / 3) : std::string();
        return kind.relays && index >= 4 ? &world.connectToEntry(routes[index % 3], key) : &world.connect(routes[index % 3], key);
    };
    std::vector<fake_client *> present;
    for (int index = 0; index < 9; ++index) {
        present.push_back(connect(index));
    }
    world.runFor(5s);
    world.lastVersion = world.engine.routes.version.value();
    for (int step = 0; step < 400; ++step) {
        for (std::size_t index = 0; index < present.size(); ++index) {
            if (present[index]->closed && step % 10 == 0) {
                present[index] = connect(static_cast<int>(index));
            }
            sendRandomStatement(world, *present[index]);
        }
        if (kind.workspaces && step > 40 && step < 300 && world.random() % 15 == 0) {
            changeKeys(world);
        }
        if (kind.movesRoutes && step > 40 && step < 300 && world.random() % 12 == 0) {
            moveRoutes(world);
        }
        world.writeFromOtherInstance();
        if (kind.movesRoutes && world.random() % 3 == 0) {
            world.writeFromOtherInstance(secondGroup);
        }
        world.runFor(20ms);
        if (step > 40 && step < 300 && world.random() % 25 == 0) {
            changeFaults(world);
        }
        if (kind.longStatements && step > 40 && step < 300 && world.random() % 8 == 0) {
            changeDurations(world);
        }
        if (step == 300) {
            world.storeUnavailable = false;
            world.promotionRepliesLost = false;
            world.relayLinkCut = false;
            if (kind.workspaces) {
                world.runFor(500ms);
                world.setWorkspaces(allKeys);
                world.configure(world.lastVersion + 1);
            }
            if (kind.movesRoutes) {
                world.runFor(500ms);
                world.configure(world.lastVersion + 1);
            }
            for (auto &[name, database] : world.databases) {
                world.restart(database);
                database.full = false;
                database.replyLossPercent = 0;
                database.lag = 10ms;
                database.serviceTime = 5ms;
                database.openingTime = 0ms;
                database.statusTime = 0ms;
            }
        }
        if (anyUnanswered(world)) {
            return "seed " + std::to_string(seed) + ", step " + std::to_string(step) + ": a statement is not answered in time";
        }
        if (!connectionsMatchSessions(world.engine) || (world.entry && !connectionsMatchSessions(*world.entry))) {
            return "seed " + std::to_string(seed) + ", step " + std::to_string(step) + ": a connection and a session don't match";
        }
        if (!world.violations.empty()) {
            return "seed " + std::to_string(seed) + ", step " + std::to_string(step) + ": " + world.violations.front();
        }
    }
    world.runFor(6s);
    world.checkRefusedNotCommitted();
    for (const auto &[id, count] : world.committed()) {
        if (count != 1) {
            return "seed " + std::to_string(seed) + ": TWICE: " + id;
        }
    }
    const std::map<std::string, int> kept = world.committed();
    for (const acknowledged_commit &commit : world.acknowledged) {
        if (!kept.contains(commit.id) && !world.rolledBack.contains(commit.id)) {
            return "seed " + std::to_string(seed) + ": LOST: " + commit.id;
        }
    }
    for (const auto &[id, connection] : world.engine.connections) {
        const bool unusable = connection.state == database_connection_state::busy && connection.expected.empty();
        if (unusable && !world.engine.sessions.contains(connection.session)) {
            return "seed " + std::to_string(seed) + ": a connection to " + connection.database.value() + " waits for nothing";
        }
    }
    for (const char *name : routes) {
        fake_client &client = world.connect(name, kind.workspaces ? "key-1" : "");
        if (world.sendAndWait(client, client_verb::read, "item").code != reply_code::done
            || world.sendAndWait(client, client_verb::write, "item", "x").code != reply_code::done) {
            return "seed " + std::to_string(seed) + ": not served after the faults ended, on route " + name;
        }
    }
    return world.violations.empty() ? std::string() : "seed " + std::to_string(seed) + ": " + world.violations.front();
}

} // namespace

TEST_GROUP(proxy_random){};

TEST(proxy_random, guaranteesHoldUnderOverlappingFaults)
{
    constexpr std::uint64_t scenarios = 80;
    for (std::uint64_t seed = 1; seed <= scenarios; ++seed) {
        const std::string problem = runScenario(seed, {});
        CHECK_TRUE_TEXT(problem.empty(), problem.c_str());
    }
}

TEST(proxy_random, guaranteesHoldWhereReplacedPrimariesContinue)
{
    constexpr std::uint64_t scenarios = 80;
    for (std::uint64_t seed = 1; seed <= scenarios; ++seed) {
        const std::string problem = runScenario(seed, {.continues = true, .engineExpectsThat = true});
        CHECK_TRUE_TEXT(problem.empty(), problem.c_str());
    }
}

TEST(proxy_random, guaranteesHoldForRelayedStatements)
{
    constexpr std::uint64_t scenarios = 40;
    for (std::uint64_t seed = 1; seed <= scenarios; ++seed) {
        for (const bool continues : {false, true}) {
            const std::string problem = runScenario(seed, {.continues = continues, .engineExpectsThat = continues, .relays = true});
            CHECK_TRUE_TEXT(problem.empty(), problem.c_str());
        }
    }
}

TEST(proxy_random, guaranteesHoldWhileKeysAreWithdrawnAndMoved)
{
    constexpr std::uint64_t scenarios = 40;
    for (std::uint64_t seed = 1; seed <= scenarios; ++seed) {
        for (const bool relays : {false, true}) {
            const bool continues = seed % 2 == 0;
            const std::string problem =
                runScenario(seed, {.continues = continues, .engineExpectsThat = continues, .relays = relays, .workspaces = true});
            CHECK_TRUE_TEXT(problem.empty(), problem.c_str());
        }
    }
}

TEST(proxy_random, guaranteesHoldWhileRoutesMoveBetweenGroups)
{
    constexpr std::uint64_t scenarios = 40;
    for (std::uint64_t seed = 1; seed <= scenarios; ++seed) {
        for (const bool relays : {false, true}) {
            const bool continues = seed % 2 == 0;
            // Long statements are sent a second time, which may be to the other group.
            const std::string problem = runScenario(seed,
                                                    {.continues = continues,
                                                     .engineExpectsThat = continues,
                                                     .relays = relays,
                                                     .movesRoutes = true,
                                                     .longStatements = seed % 3 == 0});
            CHECK_TRUE_TEXT(problem.empty(), problem.c_str());
        }
    }
}

TEST(proxy_random, guaranteesHoldForLongStatementsUnderOverlappingFaults)
{
    constexpr std::uint64_t scenarios = 40;
    for (std::uint64_t seed = 1; seed <= scenarios; ++seed) {
        for (const bool relays : {false, true}) {
            const bool continues = seed % 2 == 0;
            const std::string problem = runScenario(seed,
                                                    {.continues = continues,
                                                     .engineExpectsThat = continues,
                                                     .relays = relays,
                                                     .workspaces = seed % 3 == 0,
                                                     .longStatements = true});
            CHECK_TRUE_TEXT(problem.empty(), problem.c_str());
        }
    }
}

TEST(proxy_random, withoutVerificationReplacedPrimariesViolateTheGuarantees)
{
    constexpr std::uint64_t scenarios = 80;
    int violations = 0;
    for (std::uint64_t seed = 1; seed <= scenarios; ++seed) {
        violations += runScenario(seed, {.continues = true, .engineExpectsThat = false}).empty() ? 0 : 1;
    }
    CHECK_TRUE(violations > 0);
}
