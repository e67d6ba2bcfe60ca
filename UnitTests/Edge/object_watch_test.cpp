#include "mustardrouter/Edge/object_watch.h"
#include "mustardrouter/PlatformStandIn/standin_store.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

/// A store with one object of the kind "k", and a watch of it.
struct watched_store {
    asio::io_context context;
    standin_store store{context, {}, 1};
    std::shared_ptr<object_watch> watch;
    std::size_t seen = 0;
    int regained = 0;

    explicit watched_store(duration longestPause)
    {
        store.objects().put("k", "a", "one");
        const std::string address = store.addInstance();
        object_watch::handlers callbacks;
        callbacks.onChange = [this](const object_watch::objects &objects) {
            seen = objects.size();
        };
        callbacks.onReachable = [this](bool reachable) {
            regained += reachable ? 1 : 0;
        };
        watch =
            std::make_shared<object_watch>(context, address, object_watch::subject{"k", 20ms, false, longestPause, 300ms}, 1, callbacks);
    }
    ~watched_store()
    {
        watch->stop();
        context.run_for(10ms);
    }
};

} // namespace

TEST_GROUP(object_watch){};

TEST(object_watch, aWatchThatIsToldOfTheStoreAsksAtOnce)
{
    watched_store world(10s);
    world.store.faults().down = store_failure::busy;
    world.watch->start();
    world.context.run_for(700ms);
    CHECK_EQUAL(0U, world.seen);
    world.store.faults().down = store_failure::none;
    world.watch->askNow();
    world.context.run_for(100ms);
    CHECK_EQUAL(1U, world.seen);
    CHECK_EQUAL(1, world.regained);
}

TEST(object_watch, changesAndAHistoryThatIsGoneAreFollowed)
{
    watched_store world(200ms);
    world.watch->start();
    world.context.run_for(100ms);
    world.store.objects().put("k", "b", "two");
    world.store.wakeWatches();
    world.context.run_for(100ms);
    CHECK_EQUAL(2U, world.seen);
    world.store.objects().put("k", "c", "three");
    world.store.objects().dropHistory();
    world.store.cutWatches();
    world.context.run_for(600ms);
    CHECK_EQUAL(3U, world.seen);
}

TEST(object_watch, aWatchThatWasAskedForWhileTheStoreWasSilentIsNotWaitedForForEver)
{
    watched_store world(200ms);
    world.watch->start();
    world.context.run_for(100ms);
    // A change makes it ask anew, while the store says nothing.
    world.store.objects().put("k", "b", "two");
    world.store.wakeWatches();
    world.store.faults().down = store_failure::silent;
    world.context.run_for(200ms);
    CHECK_EQUAL(2U, world.seen);
    world.store.faults().down = store_failure::none;
    world.store.objects().put("k", "c", "three");
    world.store.wakeWatches();
    world.context.run_for(2s);
    CHECK_EQUAL(3U, world.seen);
}

TEST(object_watch, listsOfSeveralPagesAreRead)
{
    watched_store world(200ms);
    for (int index = 0; index < 23; ++index) {
        world.store.objects().put("k", "n" + std::to_string(index), index);
    }
    world.watch->start();
    world.context.run_for(300ms);
    CHECK_EQUAL(24U, world.seen);
}
