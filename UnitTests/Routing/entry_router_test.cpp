#include "mustardrouter/Routing/entry_router.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

std::shared_ptr<const configuration_snapshot> configuration()
{
    auto snapshot = std::make_shared<configuration_snapshot>();
    snapshot->revision = revision_number(1);
    snapshot->services["scripts"] = {"scripts", {"scripts-1", "scripts-2"}, "policy", 0.1, {}};
    snapshot->readRules["session"] = {"session", read_rule::session, {}};
    snapshot->policies["policy"].readRule = "session";
    return snapshot;
}

} // namespace

TEST_GROUP(entry_router)
{
    entry_router router{"key", entry_settings{}};
    time_point now{std::chrono::seconds(10)};
    std::vector<forward_statement> forwarded;
    std::vector<answer_caller> answers;
    std::vector<abandon_at_owner> abandoned;
    std::size_t ownerQueries = 0;
    std::uint64_t lastRequest = 0;

    void setup() override
    {
        handle(configuration_adopted{configuration()});
        for (const char *group : {"scripts-1", "scripts-2"}) {
            handle(holders_found{group_name(group), {instance_name("owner"), instance_name("deputy")}});
        }
    }

    void handle(const entry_event &event)
    {
        entry_actions actions;
        step(router, event, now, actions);
        for (const entry_action &action : actions) {
            if (const auto *forward = std::get_if<forward_statement>(&action)) {
                forwarded.push_back(*forward);
            } else if (const auto *answer = std::get_if<answer_caller>(&action)) {
                answers.push_back(*answer);
            } else if (const auto *abandon = std::get_if<abandon_at_owner>(&action)) {
                abandoned.push_back(*abandon);
            } else {
                ++ownerQueries;
            }
        }
    }

    void tick(duration passed)
    {
        now += passed;
        handle(entry_ticked{});
    }

    caller_request_arrived sent(statement_kind kind, transaction_id transaction = {})
    {
        caller_request_arrived event;
        event.caller = caller_id(1);
        event.callerRequest = ++lastRequest;
        event.partition = "partition";
        event.timeout = std::chrono::seconds(1);
        event.what.kind = kind;
        event.what.service = service_name("scripts");
        event.what.transaction = transaction;
        return event;
    }

    void answer(outcome kind, failure cause = failure::none, transaction_id transaction = {})
    {
        owner_answered event;
        event.request = forwarded.back().request;
        event.result.kind = kind;
        event.result.cause = cause;
        event.result.transaction = transaction;
        handle(event);
    }

    transaction_id begin()
    {
        handle(sent(statement_kind::begin));
        answer(outcome::done, failure::none, transaction_id(77));
        return answers.back().result.transaction;
    }
};

TEST(entry_router, aWriteThatWasSentIsUnknownWhenNoAnswerComes)
{
    handle(sent(statement_kind::write));
    tick(std::chrono::seconds(2));
    CHECK_EQUAL(1U, answers.size());
    CHECK(answers[0].result.kind == outcome::unknown);
    CHECK_EQUAL(1U, abandoned.size());
}

TEST(entry_router, aWriteThatWasSentIsUnknownWhenItsOwnerDisconnects)
{
    handle(sent(statement_kind::write));
    handle(peer_disconnected{instance_name("owner")});
    CHECK(answers.at(0).result.kind == outcome::unknown);
    CHECK_EQUAL(1U, forwarded.size());
}

TEST(entry_router, aRefusedWriteIsRetriedAtTheNextHolderAndIsNotRunAtItsDeadline)
{
    handle(sent(statement_kind::write));
    answer(outcome::notRun, failure::notOwner);
    CHECK(answers.empty());
    tick(std::chrono::milliseconds(200));
    CHECK(forwarded.back().to == instance_name("deputy"));
    answer(outcome::notRun, failure::notOwner);
    now += std::chrono::seconds(2);
    handle(entry_ticked{});
    CHECK(answers.at(0).result.kind == outcome::notRun);
}

TEST(entry_router, aReadIsRetriedAtTheNextHolderWhenItsOwnerDisconnects)
{
    handle(sent(statement_kind::read));
    handle(peer_disconnected{instance_name("owner")});
    tick(std::chrono::milliseconds(200));
    CHECK(forwarded.back().to == instance_name("deputy"));
    CHECK(answers.empty());
}

TEST(entry_router, anAnswerToARequestThatHasEndedIsIgnored)
{
    handle(sent(statement_kind::write));
    tick(std::chrono::seconds(2));
    answer(outcome::done);
    CHECK_EQUAL(1U, answers.size());
}

TEST(entry_router, anUnresponsiveOwnerIsSuspectedOnce)
{
    handle(sent(statement_kind::write));
    tick(router.settings.ownerResponseTimeout);
    tick(router.settings.ownerResponseTimeout / 2);
    CHECK_EQUAL(1U, ownerQueries);
    handle(sent(statement_kind::write));
    CHECK(forwarded.back().to == instance_name("deputy"));
}

TEST(entry_router, anOwnerThatAnswersOtherRequestsIsNotSuspected)
{
    handle(sent(statement_kind::write));
    now += router.settings.ownerResponseTimeout / 2;
    handle(sent(statement_kind::read));
    answer(outcome::done);
    tick(router.settings.ownerResponseTimeout / 2);
    CHECK_EQUAL(0U, ownerQueries);
}

TEST(entry_router, aBeginIsRolledBackWhenItsCallerHasDisconnected)
{
    handle(sent(statement_kind::begin));
    handle(caller_disconnected{caller_id(1)});
    answer(outcome::done, failure::none, transaction_id(77));
    CHECK(abandoned.back().transaction == transaction_id(77));
    CHECK(abandoned.back().to == instance_name("owner"));
    CHECK(router.orphanedBegins.empty());
}

TEST(entry_router, anExpiredBeginIsRolledBackWhenItsAnswerComesLate)
{
    handle(sent(statement_kind::begin));
    tick(std::chrono::seconds(2));
    CHECK(answers.at(0).result.kind == outcome::notRun);
    answer(outcome::done, failure::none, transaction_id(77));
    CHECK(abandoned.back().transaction == transaction_id(77));
}

TEST(entry_router, orphanedBeginsExpire)
{
    handle(sent(statement_kind::begin));
    handle(caller_disconnected{caller_id(1)});
    tick(std::chrono::seconds(2) + router.settings.orphanedBeginTtl);
    CHECK(router.orphanedBegins.empty());
}

TEST(entry_router, onlyTheCallerThatBeganMayUseATransaction)
{
    const transaction_id transaction = begin();
    caller_request_arrived other = sent(statement_kind::write, transaction);
    other.caller = caller_id(2);
    handle(other);
    CHECK(answers.back().result.cause == failure::transactionLost);
    handle(sent(statement_kind::write, transaction));
    CHECK(forwarded.back().what.transaction == transaction_id(77));
}

TEST(entry_router, aStatementOfATransactionTakesItsGroupsFloor)
{
    const transaction_id transaction = begin();
    const group_name mine = forwarded.back().group;
    const group_name foreign(mine.value() == "scripts-1" ? "scripts-2" : "scripts-1");
    const log_entry low{term_number(1), log_position(3)};
    const log_entry high{term_number(90), log_position(3)};
    caller_request_arrived event = sent(statement_kind::write, transaction);
    event.token = encodeToken({{mine, low}, {foreign, high}}, "key");
    // A partition may belong to the other group; the group of the transaction is used.
    for (const char *partition : {"partition", "p1", "p2", "p3", "p4"}) {
        event.partition = partition;
        event.callerRequest = ++lastRequest;
        handle(event);
        CHECK(forwarded.back().group == mine);
        CHECK(forwarded.back().what.floor == low);
    }
}

TEST(entry_router, anExpiredCommitIsUnknownAndEndsTheTransaction)
{
    const transaction_id transaction = begin();
    handle(sent(statement_kind::commit, transaction));
    tick(std::chrono::seconds(2));
    CHECK(answers.back().result.kind == outcome::unknown);
    CHECK(router.transactions.empty());
}

TEST(entry_router, aForgedTokenIsRefused)
{
    caller_request_arrived event = sent(statement_kind::read);
    event.token = encodeToken({{group_name("scripts-1"), {}}}, "another key");
    handle(event);
    CHECK(answers.at(0).result.cause == failure::badSessionToken);
    CHECK(forwarded.empty());
}

TEST(entry_router, aNonIdempotentRequestNeedsAKey)
{
    caller_request_arrived event = sent(statement_kind::write);
    event.what.nonIdempotent = true;
    handle(event);
    CHECK(answers.at(0).result.cause == failure::malformedRequest);
}

TEST(entry_router, theTokenOfAnAnswerKeepsTheOtherGroupsFloors)
{
    const session_floors_by_group before{
        {group_name("scripts-1"), {term_number(1), log_position(4)}}, {group_name("scripts-2"), {term_number(1), log_position(9)}}};
    caller_request_arrived event = sent(statement_kind::write);
    event.token = encodeToken(before, "key");
    handle(event);
    owner_answered done;
    done.request = forwarded.back().request;
    done.result.kind = outcome::done;
    done.result.floor = log_entry{term_number(2), log_position(20)};
    handle(done);
    session_floors_by_group wanted = before;
    raiseFloor(wanted, forwarded.back().group, *done.result.floor);
    CHECK(std::get<session_floors_by_group>(decodeToken(answers.back().token, "key")) == wanted);
}
