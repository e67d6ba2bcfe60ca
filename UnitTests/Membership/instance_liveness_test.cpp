#include "mustardrouter/Membership/instance_liveness.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <set>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

/// Instances with the store that keeps their entries, in virtual time. A copy of the list is read at each step.
struct liveness_world {
    struct instance {
        instance_liveness liveness;
        std::size_t number = 0;
        bool runs = true;
        /// It can't read or write the store.
        bool cutFromStore = false;
        /// What arrives waits until it goes on.
        bool standsStill = false;
    };
    time_point now{1000s};
    std::uint64_t revision = 100;
    std::map<instance_name, instance_entry> entries;
    std::vector<instance> instances;
    /// Whether a message between the two arrives.
    std::function<bool(std::size_t, std::size_t)> reaches = [](std::size_t, std::size_t) {
        return true;
    };
    std::size_t marks = 0;
    std::size_t removals = 0;
    std::size_t probes = 0;
    std::size_t rewrites = 0;
    /// Instances whose entry was removed although they lived.
    std::set<std::size_t> removedAlive;

    explicit liveness_world(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            start(number);
        }
    }
    static instance_name nameOf(std::size_t number)
    {
        return instance_name("i-" + std::to_string(100 + number));
    }
    void start(std::size_t number)
    {
        if (number >= instances.size()) {
            instances.resize(number + 1);
        }
        instances[number] = {};
        instances[number].number = number;
        instances[number].liveness.self = nameOf(number);
        // Rounds of different instances come at different times.
        instances[number].liveness.nextRoundAt = now + std::chrono::milliseconds(number * 700 % 2000);
        write(number, false);
    }
    void write(std::size_t number, bool leaving)
    {
        const std::string address = "10.0.0." + std::to_string(number) + ":1";
        entries[nameOf(number)] = {nameOf(number), address, "dc", leaving, {store_era(1), store_revision(++revision)}};
        rewrites += 1;
    }
    bool isListed(std::size_t number) const
    {
        return entries.contains(nameOf(number));
    }
    bool isMarked(std::size_t number) const
    {
        return isListed(number) && entries.at(nameOf(number)).leaving;
    }
    std::size_t numberOf(const instance_name &name) const
    {
        for (const instance &one : instances) {
            if (one.liveness.self == name) {
                return one.number;
            }
        }
        return instances.size();
    }
    bool isRevision(const instance_entry &entry) const
    {
        const auto found = entries.find(entry.name);
        return found != entries.end() && found->second.position == entry.position;
    }
    void perform(instance &one, const liveness_actions &actions)
    {
        for (const instance_entry &entry : actions.probes) {
            probes += 1;
            const std::size_t to = numberOf(entry.name);
            const bool arrives = to < instances.size() && instances[to].runs && !instances[to].standsStill && reaches(one.number, to);
            if (arrives) {
                onProbeReply(one.liveness, entry.name, one.liveness.round);
            }
        }
        for (const instance_entry &entry : actions.marks) {
            if (one.cutFromStore || !isRevision(entry)) {
                continue;
            }
            marks += 1;
            entries[entry.name].leaving = true;
            entries[entry.name].position.revision = store_revision(++revision);
            onMarked(one.liveness, entry.name, entries[entry.name].position);
        }
        for (const instance_entry &entry : actions.removals) {
            if (one.cutFromStore || !isRevision(entry)) {
                continue;
            }
            removals += 1;
            if (instances[numberOf(entry.name)].runs) {
                removedAlive.insert(numberOf(entry.name));
            }
            entries.erase(entry.name);
        }
    }
    void step()
    {
        now += 100ms;
        for (instance &one : instances) {
            if (!one.runs || one.standsStill) {
                continue;
            }
            if (!one.cutFromStore) {
                if (!isListed(one.number) || isMarked(one.number)) {
                    write(one.number, false);
                }
                std::vector<instance_entry> listed;
                for (const auto &[name, entry] : entries) {
                    listed.push_back(entry);
                }
                onEntries(one.liveness, listed, now);
            }
            perform(one, advance(one.liveness, now));
        }
    }
    void runFor(duration span)
    {
        const time_point end = now + span;
        while (now < end) {
            step();
        }
    }
    void lose(std::size_t number)
    {
        instances[number].runs = false;
    }
    std::size_t listed() const
    {
        return entries.size();
    }
};

} // namespace

TEST_GROUP(instance_liveness){};

TEST(instance_liveness, theEntryOfALostInstanceIsMarkedAndRemovedByOneOther)
{
    liveness_world world(15);
    world.runFor(20s);
    world.lose(7);
    world.runFor(6s);
    CHECK_TRUE(world.isListed(7) && !world.isMarked(7));
    world.runFor(6s);
    // No more statements are relayed to it.
    CHECK_TRUE(world.isMarked(7));
    world.runFor(16s);
    CHECK_TRUE(world.isListed(7));
    world.runFor(16s);
    CHECK_FALSE(world.isListed(7));
    CHECK_EQUAL(14, world.listed());
    CHECK_EQUAL(1, world.marks);
    CHECK_EQUAL(1, world.removals);
}

TEST(instance_liveness, whereAllLiveEachProbesOneOther)
{
    liveness_world world(100);
    world.runFor(100s);
    CHECK_TRUE(world.probes <= 100 * 51);
    CHECK_EQUAL(0, world.marks);
    CHECK_EQUAL(100, world.rewrites);
}

TEST(instance_liveness, twelveOfFifteenLostAtOnceAreRemovedByTheThreeThatAreLeft)
{
    liveness_world world(15);
    world.runFor(20s);
    for (const std::size_t number : {0, 1, 2, 3, 5, 6, 7, 8, 9, 11, 12, 13}) {
        world.lose(number);
    }
    world.runFor(120s);
    CHECK_EQUAL(3, world.listed());
    CHECK_EQUAL(12, world.removals);
    CHECK_TRUE(world.removedAlive.empty());
}

TEST(instance_liveness, theOnlyOneThatIsLeftRemovesAllOthers)
{
    liveness_world world(21);
    world.runFor(20s);
    for (std::size_t number = 0; number < 20; ++number) {
        world.lose(number);
    }
    world.runFor(240s);
    CHECK_EQUAL(1, world.listed());
}

TEST(instance_liveness, machinesReplacedOneByOneLeaveNoEntriesBehind)
{
    liveness_world world(6);
    for (std::size_t next = 6; next < 30; ++next) {
        world.runFor(20s);
        world.lose(next - 6);
        world.start(next);
    }
    world.runFor(150s);
    CHECK_EQUAL(6, world.listed());
    CHECK_TRUE(world.removedAlive.empty());
}

TEST(instance_liveness, afterALossOfAllPowerNoEntryIsMarked)
{
    liveness_world world(15);
    world.runFor(60s);
    for (liveness_world::instance &one : world.instances) {
        one.runs = false;
    }
    world.runFor(300s);
    for (std::size_t number = 0; number < 15; ++number) {
        world.start(number);
        world.runFor(1s);
    }
    world.runFor(60s);
    CHECK_EQUAL(0, world.marks);
    CHECK_EQUAL(15, world.listed());
}

TEST(instance_liveness, oneThatOnlyItsProberCannotReachTakesTheMarkBackAndIsSpared)
{
    liveness_world world(10);
    world.reaches = [](std::size_t from, std::size_t to) {
        return !(from == 3 && to == 4) && !(from == 4 && to == 3);
    };
    world.runFor(300s);
    CHECK_TRUE(world.removedAlive.empty());
    CHECK_TRUE(world.marks >= 1 && world.marks <= 2);
    CHECK_TRUE(world.isListed(4) && !world.isMarked(4));
}

TEST(instance_liveness, regionsThatLoseEachOtherKeepTheirEntries)
{
    liveness_world world(20);
    world.reaches = [](std::size_t from, std::size_t to) {
        return (from < 10) == (to < 10);
    };
    world.runFor(300s);
    CHECK_TRUE(world.removedAlive.empty());
    CHECK_EQUAL(20, world.listed());
    // Each entry at most once by each side.
    CHECK_TRUE(world.marks <= 20);
}

TEST(instance_liveness, oneThatIsCutFromTheStoreOnlyIsNotMarked)
{
    liveness_world world(10);
    world.runFor(20s);
    world.instances[4].cutFromStore = true;
    world.runFor(120s);
    CHECK_EQUAL(0, world.marks);
}

TEST(instance_liveness, anInstanceThatStoodStillItselfConcludesNothingFromIt)
{
    liveness_world world(10);
    world.runFor(20s);
    world.instances[4].standsStill = true;
    world.runFor(6s);
    world.instances[4].standsStill = false;
    world.runFor(60s);
    CHECK_EQUAL(0, world.marks);
}

TEST(instance_liveness, oneThatStandsStillForLessTimeThanARemovalTakesKeepsItsEntry)
{
    liveness_world world(10);
    world.runFor(20s);
    world.instances[4].standsStill = true;
    world.runFor(20s);
    CHECK_TRUE(world.isMarked(4));
    world.instances[4].standsStill = false;
    world.runFor(1s);
    CHECK_TRUE(world.isListed(4) && !world.isMarked(4));
    world.runFor(60s);
    CHECK_EQUAL(0, world.removals);
}

TEST(instance_liveness, oneThatWasRemovedWhileItStoodStillEntersItselfAgain)
{
    liveness_world world(10);
    world.runFor(20s);
    world.instances[4].standsStill = true;
    world.runFor(90s);
    CHECK_FALSE(world.isListed(4));
    world.instances[4].standsStill = false;
    world.runFor(60s);
    CHECK_TRUE(world.isListed(4) && !world.isMarked(4));
    CHECK_EQUAL(1, world.marks);
}

TEST(instance_liveness, anEntryWhoseAddressIsAnotherInstancesIsRemoved)
{
    // Replies name the instance, so that the one which has the address now does not answer for the one before.
    liveness_world world(5);
    world.runFor(20s);
    world.lose(2);
    world.entries[liveness_world::nameOf(2)].address = world.entries[liveness_world::nameOf(3)].address;
    world.runFor(60s);
    CHECK_FALSE(world.isListed(2));
}

TEST(instance_liveness, anEntryThatTheStoreShowsAgainAfterAReturnFromACopyIsRemovedAgain)
{
    liveness_world world(5);
    world.runFor(20s);
    const instance_entry before = world.entries[liveness_world::nameOf(2)];
    world.lose(2);
    world.runFor(60s);
    CHECK_FALSE(world.isListed(2));
    world.entries[before.name] = before;
    world.runFor(60s);
    CHECK_FALSE(world.isListed(2));
}
