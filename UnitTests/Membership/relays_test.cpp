#include "mustardrouter/Membership/relays.h"

#include <algorithm>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

std::vector<instance_view> makeFleet(std::size_t places, std::size_t perPlace)
{
    std::vector<instance_view> live;
    for (std::size_t index = 0; index < places * perPlace; ++index) {
        live.push_back({instance_name("i" + std::to_string(index)), "", "place-" + std::to_string(index % places), 1, false});
    }
    return live;
}

} // namespace

TEST_GROUP(relays){};

TEST(relays, everyInstanceIsReachedFromEveryRelay)
{
    for (const std::size_t perPlace : {1, 2, 5, 7, 130}) {
        const auto live = makeFleet(3, perPlace);
        std::map<instance_name, relay_choice> choices;
        for (const instance_view &self : live) {
            choices[self.name] = chooseRelays(live, self);
        }
        for (const auto &[start, choice] : choices) {
            if (!choice.relay) {
                continue;
            }
            // Changes spread from a source to its followers, and from a follower to a source that is behind.
            std::set<instance_name> reached{start};
            for (std::size_t before = 0; before != reached.size();) {
                before = reached.size();
                for (const auto &[name, item] : choices) {
                    for (const instance_name &source : item.sources) {
                        if (reached.contains(source) || reached.contains(name)) {
                            reached.insert({source, name});
                        }
                    }
                }
            }
            UNSIGNED_LONGS_EQUAL(live.size(), reached.size());
        }
    }
}

TEST(relays, relayAndFollowerCountsGrowSlowerThanTheFleet)
{
    const auto live = makeFleet(5, 130);
    std::map<instance_name, std::size_t> followers;
    std::size_t relays = 0;
    for (const instance_view &self : live) {
        const relay_choice choice = chooseRelays(live, self);
        relays += choice.relay ? 1U : 0U;
        CHECK(choice.sources.size() <= 9);
        for (const instance_name &source : choice.sources) {
            ++followers[source];
        }
    }
    UNSIGNED_LONGS_EQUAL(5 * 11, relays);
    for (const auto &[name, count] : followers) {
        CHECK(count <= 64);
    }
}
