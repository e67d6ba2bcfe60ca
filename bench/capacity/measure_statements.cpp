#include "bench/capacity/group_driver.h"
#include "bench/capacity/measurements.h"
#include "bench/capacity/meters.h"
#include "mustardrouter/Instance/wire_codec.h"
#include "mustardrouter/Routing/entry_router.h"

#include <array>

namespace mustardrouter::bench
{

namespace
{

constexpr std::array<std::size_t, 6> statementCounts{1000, 2000, 4000, 8000, 16000, 32000};
constexpr time_point begin{std::chrono::hours(1)};
const char *const owner = "entry-017.1766500000000000";

std::shared_ptr<configuration_snapshot> makeConfiguration()
{
    auto snapshot = std::make_shared<configuration_snapshot>();
    snapshot->revision = revision_number(1);
    service item;
    item.name = "booking-core";
    item.groups = {"group-0"};
    item.sessionPolicy = "default";
    snapshot->services.emplace(item.name, item);
    session_policy policy;
    policy.name = "default";
    policy.readRule = "own-work";
    snapshot->policies.emplace(policy.name, policy);
    snapshot->readRules.emplace("own-work", named_read_rule{"own-work", read_rule::session, {}});
    return snapshot;
}

wire::caller_request requestOf(std::uint64_t id, statement_kind kind)
{
    wire::caller_request request;
    request.set_id(id);
    wire::statement &statement = *request.mutable_statement();
    statement.set_kind(toWire(kind));
    statement.set_service("booking-core");
    statement.set_sql("SELECT rider, slot, instructor FROM bookings WHERE school = 17 AND day = '2027-01-16'");
    statement.set_session("parent-4711");
    return request;
}

caller_request_arrived decodeRequest(const std::string &frame, time_point now)
{
    wire::caller_request request;
    request.ParseFromString(frame);
    caller_request_arrived sent;
    sent.caller = caller_id(1);
    sent.callerRequest = request.id();
    sent.token = request.statement().session_token();
    sent.what = fromWire(request.statement(), now);
    return sent;
}

std::string encodeForward(const forward_statement &action, time_point now)
{
    wire::peer_message message;
    wire::forward &forward = *message.mutable_forward();
    forward.set_id(action.request.value());
    forward.set_group(action.group.value());
    *forward.mutable_statement() = toWire(action.what, now);
    return message.SerializeAsString();
}

statement decodeForward(const std::string &frame, time_point now)
{
    wire::peer_message message;
    message.ParseFromString(frame);
    return fromWire(message.forward().statement(), now);
}

std::string encodeAnswer(std::uint64_t id, const statement_result &result)
{
    wire::peer_message message;
    message.mutable_forward_answer()->set_id(id);
    *message.mutable_forward_answer()->mutable_result() = toWire(result);
    if (result.floor) {
        *message.mutable_forward_answer()->mutable_floor() = toWire(*result.floor);
    }
    return message.SerializeAsString();
}

struct statement_bench {
    entry_router entry{"a key of the deployment", entry_settings{}};
    driven_group group = makeGroup("group-0", driven_role::owner, 3, begin);
    time_point now = begin;
    std::string token;
    std::uint64_t bytes = 0;

    statement_bench()
    {
        entry_actions ignored;
        step(entry, configuration_adopted{makeConfiguration()}, now, ignored);
        step(entry, holders_found{group_name("group-0"), {instance_name(owner)}}, now, ignored);
    }

    void run(std::uint64_t id, statement_kind kind)
    {
        now += std::chrono::microseconds(50);
        wire::caller_request request = requestOf(id, kind);
        request.mutable_statement()->set_session_token(token);
        const std::string frame = request.SerializeAsString();
        entry_actions sent;
        step(entry, decodeRequest(frame, now), now, sent);
        for (const entry_action &action : sent) {
            if (const auto *forward = std::get_if<forward_statement>(&action)) {
                serve(*forward, kind);
            }
        }
    }

    void serve(const forward_statement &forward, statement_kind kind)
    {
        const std::string frame = encodeForward(forward, now);
        bytes += frame.size();
        drive(group, request_arrived{forward.request, decodeForward(frame, now)}, now);
        if (kind == statement_kind::write) {
            pushReports(group, now);
        }
        statement_result result;
        result.kind = outcome::done;
        result.floor = log_entry{group.engine.ownership.term, log_position(group.position)};
        wire::peer_message answer;
        const std::string answerFrame = encodeAnswer(forward.request.value(), result);
        bytes += answerFrame.size();
        answer.ParseFromString(answerFrame);
        owner_answered event{request_id(answer.forward_answer().id()), fromWire(answer.forward_answer().result()), std::nullopt};
        event.result.floor = fromWire(answer.forward_answer().floor());
        entry_actions done;
        step(entry, event, now, done);
        for (const entry_action &action : done) {
            if (const auto *answered = std::get_if<answer_caller>(&action)) {
                token = answered->token;
            }
        }
    }
};

void measureKind(statement_kind kind, const std::string &name, std::vector<series> &all)
{
    series cpu{"statement." + name + ".cpu", "statements", "us", {}};
    series bytes{"statement." + name + ".peer_bytes", "statements", "bytes", {}};
    for (const std::size_t count : statementCounts) {
        statement_bench bench;
        const double before = threadMicros();
        for (std::size_t index = 0; index < count; ++index) {
            bench.run(index + 1, kind);
        }
        const auto size = static_cast<double>(count);
        cpu.samples.push_back({size, threadMicros() - before});
        bytes.samples.push_back({size, static_cast<double>(bench.bytes)});
    }
    all.push_back(cpu);
    all.push_back(bytes);
}

} // namespace

std::vector<series> measureStatements()
{
    std::vector<series> all;
    measureKind(statement_kind::read, "read", all);
    measureKind(statement_kind::write, "write", all);
    return all;
}

} // namespace mustardrouter::bench
