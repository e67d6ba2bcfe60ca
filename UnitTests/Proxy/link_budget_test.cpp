#include "mustardrouter/Proxy/link_budget.h"

#include <algorithm>
#include <array>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

TEST_GROUP(link_budget){};

TEST(link_budget, theFirstConnectionIsAlwaysAllowed)
{
    CHECK_TRUE(mayOpenLink({0, 0, 8, 89, 89, true}));
}

TEST(link_budget, oneIsOpenedAtATimeUpToTheMost)
{
    CHECK_FALSE(mayOpenLink({1, 1, 8, 0, 89, false}));
    CHECK_TRUE(mayOpenLink({1, 0, 8, 0, 89, false}));
    CHECK_FALSE(mayOpenLink({8, 0, 8, 0, 89, false}));
}

TEST(link_budget, aFullDatabaseGetsNoMoreThanTwo)
{
    CHECK_TRUE(mayOpenLink({1, 0, 8, 0, 89, true}));
    CHECK_FALSE(mayOpenLink({2, 0, 8, 0, 89, true}));
}

TEST(link_budget, aCrowdedDatabaseIsLeftToThoseThatHaveNone)
{
    CHECK_TRUE(mayOpenLink({2, 0, 8, 31, 45, false}));
    CHECK_FALSE(mayOpenLink({2, 0, 8, 32, 45, false}));
    CHECK_TRUE(mayOpenLink({1, 0, 8, 45, 45, false}));
    CHECK_TRUE(mayOpenLink({0, 0, 8, 45, 45, false}));
    CHECK_FALSE(mustGiveBack({8, 0, 8, 42, 45, false}));
    CHECK_TRUE(mustGiveBack({8, 0, 8, 43, 45, false}));
    CHECK_FALSE(mustGiveBack({2, 0, 8, 45, 45, false}));
}

TEST(link_budget, theScarcerConnectionsAreTheSoonerOneIsClosed)
{
    duration before = idleTimeoutOf({1, 0, 8, 0, 100, false});
    for (std::uint32_t taken = 10; taken <= 120; taken += 10) {
        const duration timeout = idleTimeoutOf({1, 0, 8, taken, 100, false});
        CHECK_TRUE(timeout <= before);
        CHECK_TRUE(timeout > duration{});
        before = timeout;
    }
    CHECK_TRUE(before < std::chrono::seconds(1));
}

TEST(link_budget, aFullDatabaseDoesNotPayForAConnectionThatIsClosedAndOpenedAgain)
{
    CHECK_TRUE(idleTimeoutOf({1, 0, 8, 100, 100, true}) > idleTimeoutOf({1, 0, 8, 100, 100, false}));
}

namespace
{

/// Transactions of 15 instances at one database of 45 connections after a failure: 40 a second come, unevenly, and each holds a
/// connection for as long as 6 statements of 20 ms take in 3 slots that all share.
struct crowd {
    static constexpr std::size_t instances = 15;
    static constexpr std::uint32_t limit = 45;
    struct instance_view {
        std::uint32_t links = 0;
        std::uint32_t busy = 0;
        std::uint32_t taken = 0;
        std::vector<int> waitingMillis;
    };
    std::array<instance_view, instances> views{};
    int givenUp = 0;
    int begun = 0;

    std::uint32_t taken() const
    {
        std::uint32_t sum = 0;
        for (const instance_view &view : views) {
            sum += view.links;
        }
        return sum;
    }

    void play(bool bounded)
    {
        std::mt19937 random(5);
        struct held {
            std::size_t instance;
            double leftMillis;
        };
        std::vector<held> active;
        for (int milli = 0; milli < 20'000; ++milli) {
            if (random() % 1000 < 40) {
                // Half of the callers are at a fifth of the instances.
                const std::size_t at = random() % 2 == 0 ? random() % 3 : random() % instances;
                views[at].waitingMillis.push_back(0);
            }
            const double speed = active.empty() ? 1.0 : std::min(1.0, 3.0 / static_cast<double>(active.size()));
            for (held &one : active) {
                one.leftMillis -= speed;
            }
            for (const held &one : active) {
                views[one.instance].busy -= one.leftMillis <= 0 ? 1 : 0;
            }
            std::erase_if(active, [](const held &one) {
                return one.leftMillis <= 0;
            });
            for (std::size_t at = 0; at < instances; ++at) {
                instance_view &view = views[at];
                view.taken = milli % 500 == 0 ? taken() : view.taken;
                const link_budget budget{view.links, 0, 8, bounded ? view.taken : 0, limit, false};
                if (bounded && view.links > view.busy && mustGiveBack(budget)) {
                    view.links -= 1;
                    view.taken -= 1;
                }
                for (int &waited : view.waitingMillis) {
                    waited += 1;
                }
                const auto late = std::erase_if(view.waitingMillis, [](int waited) {
                    return waited > 1000;
                });
                givenUp += static_cast<int>(late);
                if (view.waitingMillis.empty()) {
                    continue;
                }
                if (view.busy == view.links && mayOpenLink(budget) && taken() < limit) {
                    view.links += 1;
                }
                if (view.busy < view.links) {
                    view.busy += 1;
                    view.waitingMillis.erase(view.waitingMillis.begin());
                    active.push_back({at, 120.0});
                    begun += 1;
                }
            }
        }
    }
};

} // namespace

TEST(link_budget, afterAFailureNoInstanceIsLeftWithoutAConnection)
{
    crowd naive;
    naive.play(false);
    crowd bounded;
    bounded.play(true);
    const auto without = [](const crowd &world) {
        return std::ranges::count(world.views, 0U, &crowd::instance_view::links);
    };
    printf("naive without %d given up %d begun %d; bounded without %d given up %d begun %d\n",(int)without(naive),naive.givenUp,naive.begun,(int)without(bounded),bounded.givenUp,bounded.begun);
    CHECK_TRUE(without(naive) >= 3);
    CHECK_EQUAL(0, without(bounded));
}
