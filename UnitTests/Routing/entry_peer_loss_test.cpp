#include "mustardrouter/Routing/entry_router.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

const group_name group("scripts-1");
const instance_name owner("owner");
const instance_name deputy("deputy");

std::shared_ptr<const configuration_snapshot> oneService()
{
    configuration_snapshot snapshot;
    snapshot.revision = revision_number(1);
    snapshot.readRules.emplace("own", named_read_rule{"own", read_rule::session, {}});
    session_policy policy;
    policy.name = "default";
    policy.readRule = "own";
    snapshot.policies.emplace(policy.name, policy);
    service offered;
    offered.name = "scripts";
    offered.groups = {group.value()};
    offered.sessionPolicy = policy.name;
    snapshot.services.emplace(offered.name, offered);
    return std::make_shared<const configuration_snapshot>(std::move(snapshot));
}

caller_request_arrived newWrite()
{
    caller_request_arrived sent;
    sent.caller = caller_id(1);
    sent.callerRequest = 1;
    sent.what.kind = statement_kind::write;
    sent.what.service = service_name("scripts");
    return sent;
}

template<typename Action>
std::size_t countOf(const entry_actions &actions)
{
    std::size_t count = 0;
    for (const entry_action &action : actions) {
        count += std::holds_alternative<Action>(action) ? 1U : 0U;
    }
    return count;
}

} // namespace

TEST_GROUP(entry_peer_loss)
{
    entry_router router{"key", entry_settings{}};
    entry_actions actions;
    time_point now{std::chrono::seconds(1)};

    void setup() override
    {
        step(router, configuration_adopted{oneService()}, now, actions);
        step(router, holders_found{group, {owner, deputy}}, now, actions);
        step(router, newWrite(), now, actions);
        CHECK_EQUAL(1U, countOf<forward_statement>(actions));
        actions.clear();
    }
};

TEST(entry_peer_loss, aWriteThatWasSentIsUnknownWhenThePeerDisconnects)
{
    step(router, peer_disconnected{owner, false}, now, actions);
    CHECK_EQUAL(1U, countOf<answer_caller>(actions));
    CHECK(std::get<answer_caller>(actions.back()).result.kind == outcome::unknown);
}

TEST(entry_peer_loss, aWriteGoesToTheNextHolderWhenTheConnectFailed)
{
    step(router, peer_disconnected{owner, true}, now, actions);
    CHECK_EQUAL(0U, countOf<answer_caller>(actions));
    now += std::chrono::seconds(1);
    step(router, entry_ticked{}, now, actions);
    CHECK_EQUAL(1U, countOf<forward_statement>(actions));
    for (const entry_action &action : actions) {
        if (const auto *forward = std::get_if<forward_statement>(&action)) {
            CHECK(forward->to == deputy);
        }
    }
}
