#include "mustardrouter/Load/caller_client.h"
#include "mustardrouter/Load/testbed.h"

#include <functional>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

bool becomesTrue(const std::function<bool()> &condition)
{
    constexpr auto patience = 15s;
    const auto until = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

} // namespace

TEST_GROUP(configuration_loopback){};

TEST(configuration_loopback, changesTakeEffectOnRunningInstances)
{
    testbed bed(*findDeployment("kovacik"), 2);
    const bool started = handleErrors(
        [&]() -> result_of<bool> {
            BOOST_LEAF_CHECK(bed.start());
            return true;
        },
        [](const error &) {
            return false;
        });
    CHECK(started);
    CHECK(bed.waitUntilServing(15s));

    // A service for one caller on the first group only; the other groups are removed.
    change_set changes;
    changes.changed.emplace_back(service{"scripts", {"scripts-1"}, "default", 0.1, {"describers"}});
    changes.removed = {{"database_group", "scripts-2"}, {"database_group", "scripts-3"}};
    const publication_result published = bed.publish(changes);
    CHECK(published.kind == outcome::done);
    CHECK(becomesTrue([&] {
        return bed.instances()[0]->revision() >= published.revision.value() && bed.instances()[1]->revision() >= published.revision.value();
    }));
    CHECK(becomesTrue([&] {
        return bed.instances()[0]->status()["groups"].size() == 1 && bed.instances()[1]->status()["groups"].size() == 1;
    }));

    wire::statement statement;
    statement.set_service("scripts");
    statement.set_sql("SELECT count(*) FROM items");
    statement.set_session("s");
    statement.set_deadline_ms(5000);
    statement.set_caller("strangers");
    const wire::result refused = callOnce(bed.entryAddresses().front(), statement);
    CHECK(refused.outcome() == wire::OUTCOME_NOT_RUN);
    UNSIGNED_LONGS_EQUAL(static_cast<unsigned>(failure::callerNotAllowed), refused.failure());
    statement.set_caller("describers");
    CHECK(callOnce(bed.entryAddresses().front(), statement).outcome() == wire::OUTCOME_DONE);
}
