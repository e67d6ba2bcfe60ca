#include "mustardrouter/Configuration/distribution.h"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

using snapshot_pointer = std::shared_ptr<const configuration_snapshot>;

/// Snapshot of revision `number`, where each revision changes one place and removes another.
snapshot_pointer snapshotOfRevision(std::uint64_t number)
{
    configuration_snapshot snapshot;
    for (std::uint64_t step = 1; step <= number; ++step) {
        snapshot.places["p" + std::to_string(step % 5)] = place{"p" + std::to_string(step % 5), std::to_string(step)};
        snapshot.places.erase("p" + std::to_string((step + 2) % 5));
    }
    snapshot.revision = revision_number(number);
    return std::make_shared<const configuration_snapshot>(snapshot);
}

/// Simulates instances, the network between them and the platform in virtual time.
struct simulated_fleet {
    struct in_flight_message {
        time_point at;
        instance_name from;
        instance_name to;
        distribution_action what;
    };

    explicit simulated_fleet(std::uint64_t seed, std::size_t followers)
        : random(seed)
    {
        for (const char *relay : {"relay-1", "relay-2"}) {
            add(instance_name(relay), true, {instance_name("relay-1"), instance_name("relay-2")});
        }
        for (std::size_t index = 0; index < followers; ++index) {
            add(instance_name("follower-" + std::to_string(index)), false, {instance_name("relay-1"), instance_name("relay-2")});
        }
    }

    std::map<instance_name, distribution> nodes;
    std::map<instance_name, bool> watching;
    std::vector<in_flight_message> messages;
    std::set<std::pair<instance_name, instance_name>> blockedRoutes;
    std::mt19937_64 random;
    time_point now = time_point(1s);
    std::uint64_t published = 0;
    bool platformDown = false;
    unsigned percentLost = 0;
    std::size_t polls = 0;
    std::size_t sent = 0;

    void add(const instance_name &name, bool relay, std::vector<instance_name> sources)
    {
        std::erase(sources, name);
        nodes.insert_or_assign(name, distribution(distribution_settings{}, random()));
        run(name, sources_chosen{relay, std::move(sources)});
    }

    void run(const instance_name &name, const distribution_event &event)
    {
        distribution &node = nodes.at(name);
        const revision_number before = revisionOf(node);
        distribution_actions actions;
        step(node, event, now, actions);
        RC_ASSERT(revisionOf(node) >= before);
        if (node.known) {
            RC_ASSERT(node.known->places == snapshotOfRevision(node.known->revision.value())->places);
        }
        for (const distribution_action &action : actions) {
            apply(name, action);
        }
    }

    void apply(const instance_name &name, const distribution_action &action)
    {
        if (const auto *watch = std::get_if<watch_platform>(&action)) {
            watching[name] = watch->on;
        } else if (std::holds_alternative<poll_platform>(action)) {
            ++polls;
            readPlatform(name);
        } else if (const auto *request = std::get_if<request_changes>(&action)) {
            transmit(name, request->to, action);
        } else if (const auto *changes = std::get_if<send_changes>(&action)) {
            transmit(name, changes->to, action);
        }
    }

    void transmit(const instance_name &from, const instance_name &to, const distribution_action &what)
    {
        ++sent;
        const bool lost = blockedRoutes.contains({from, to}) || std::uniform_int_distribution<unsigned>(0, 99)(random) < percentLost;
        if (!lost) {
            // Random delays reorder the messages.
            messages.push_back({now + std::chrono::milliseconds(std::uniform_int_distribution<int>(1, 80)(random)), from, to, what});
        }
    }

    void readPlatform(const instance_name &name)
    {
        if (!platformDown && published > 0) {
            run(name, configuration_read{snapshotOfRevision(published)});
        }
    }

    void deliver()
    {
        const auto due = std::ranges::min_element(messages, {}, &in_flight_message::at);
        if (due == messages.end() || due->at > now) {
            return;
        }
        const in_flight_message message = *due;
        messages.erase(due);
        if (const auto *request = std::get_if<request_changes>(&message.what)) {
            run(message.to, changes_requested{message.from, request->have});
        } else if (const auto *changes = std::get_if<send_changes>(&message.what)) {
            run(message.to, delta_received{message.from, changes->delta});
        }
        deliver();
    }

    void passTime(duration span)
    {
        constexpr auto interval = 20ms;
        for (const time_point until = now + span; now < until;) {
            now += interval;
            deliver();
            for (const auto &[name, on] : watching) {
                if (on) {
                    readPlatform(name);
                }
            }
            for (auto &[name, node] : nodes) {
                run(name, distribution_ticked{});
            }
        }
    }

    std::uint64_t lowestRevision() const
    {
        std::uint64_t found = published;
        for (const auto &[name, node] : nodes) {
            found = std::min(found, revisionOf(node).value());
        }
        return found;
    }
};

} // namespace

TEST_GROUP(distribution){};

TEST(distribution, aChangeReachesAllInstancesWithinASecondThroughRelays)
{
    simulated_fleet fleet(1, 20);
    fleet.published = 1;
    fleet.passTime(10s);
    fleet.polls = 0;
    for (std::uint64_t revision = 2; revision < 20; ++revision) {
        fleet.published = revision;
        fleet.passTime(1s);
        UNSIGNED_LONGS_EQUAL(revision, fleet.lowestRevision());
    }
    UNSIGNED_LONGS_EQUAL(0, fleet.polls);
}

TEST(distribution, idleMessageRateIsBounded)
{
    simulated_fleet fleet(1, 20);
    fleet.published = 1;
    fleet.passTime(10s);
    fleet.sent = 0;
    fleet.passTime(40s);
    // Each instance sends a request to two sources every 4 to 6 s and gets a reply.
    CHECK(fleet.sent <= fleet.nodes.size() * 2 * 2 * 40 / 4);
}

TEST(distribution, revisionsNeverDecreaseAndConvergeUnderOutagesLossAndReordering)
{
    CHECK(rc::check("revision of each instance", [](std::uint64_t seed) {
        simulated_fleet fleet(seed, 4);
        std::mt19937_64 random(seed);
        const auto pick = [&](unsigned below) {
            return std::uniform_int_distribution<unsigned>(0, below - 1)(random);
        };
        std::vector<instance_name> names;
        for (const auto &[name, node] : fleet.nodes) {
            names.push_back(name);
        }
        for (unsigned round = 0; round < 15; ++round) {
            fleet.percentLost = pick(3) * 20;
            fleet.platformDown = pick(3) == 0;
            fleet.published += fleet.platformDown ? 0 : pick(3);
            fleet.blockedRoutes.clear();
            for (unsigned cuts = pick(6); cuts > 0; --cuts) {
                // One direction only, as in a partial partition.
                fleet.blockedRoutes.insert({names[pick(names.size())], names[pick(names.size())]});
            }
            if (pick(4) == 0) {
                const instance_name name = names[pick(names.size())];
                fleet.add(name, name.value().starts_with("relay"), {instance_name("relay-1"), instance_name("relay-2")});
            }
            fleet.passTime(std::chrono::milliseconds(100 * (1 + pick(20))));
        }
        fleet.percentLost = 0;
        fleet.platformDown = false;
        fleet.blockedRoutes.clear();
        fleet.passTime(8s);
        RC_ASSERT(fleet.lowestRevision() == fleet.published);
    }));
}

TEST(distribution, aRevisionReadByOneRelayReachesAllWhileThePlatformIsDown)
{
    simulated_fleet fleet(3, 6);
    fleet.published = 1;
    fleet.passTime(10s);
    fleet.platformDown = true;
    fleet.published = 2;
    fleet.run(instance_name("relay-2"), configuration_read{snapshotOfRevision(2)});
    fleet.passTime(1s);
    UNSIGNED_LONGS_EQUAL(2, fleet.lowestRevision());
}

TEST(distribution, aNewInstanceStartsFromPeersWhileThePlatformIsDown)
{
    simulated_fleet fleet(4, 2);
    fleet.published = 100;
    fleet.passTime(5s);
    fleet.platformDown = true;
    fleet.add(instance_name("new"), false, {instance_name("relay-1")});
    fleet.passTime(1s);
    UNSIGNED_LONGS_EQUAL(100, revisionOf(fleet.nodes.at(instance_name("new"))).value());
}

TEST(distribution, aFollowerPollsThePlatformWithJitterWhenItsRelaysAreUnresponsive)
{
    simulated_fleet fleet(5, 10);
    fleet.published = 1;
    fleet.passTime(10s);
    for (auto &[name, node] : fleet.nodes) {
        fleet.blockedRoutes.insert({instance_name("relay-1"), name});
        fleet.blockedRoutes.insert({instance_name("relay-2"), name});
    }
    fleet.passTime(10s);
    fleet.published = 2;
    fleet.polls = 0;
    fleet.passTime(4s);
    UNSIGNED_LONGS_EQUAL(2, fleet.lowestRevision());
    // Ten followers with at most four polls each in 4 s.
    CHECK(fleet.polls >= 10 && fleet.polls <= 50);
}

TEST(distribution, onlyChangedObjectsAreSent)
{
    distribution relay(distribution_settings{}, 1);
    distribution_actions actions;
    for (std::uint64_t revision = 1; revision <= 40; ++revision) {
        step(relay, configuration_read{snapshotOfRevision(revision)}, time_point(1s), actions);
    }
    actions.clear();
    step(relay, changes_requested{instance_name("f"), revision_number(38)}, time_point(1s), actions);
    const auto &delta = std::get<send_changes>(actions.back()).delta;
    CHECK_FALSE(delta.whole);
    CHECK(applyChanges(*snapshotOfRevision(38), delta.changes).places == snapshotOfRevision(40)->places);
    CHECK(affectedObjects(delta.changes).size() <= 4);
}
