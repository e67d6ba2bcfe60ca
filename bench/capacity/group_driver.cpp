#include "bench/capacity/group_driver.h"

#include "mustardrouter/Schema/wire.pb.h"

#include <deque>
#include <type_traits>

namespace mustardrouter::bench
{

namespace
{

constexpr duration tickInterval = std::chrono::milliseconds(5);
constexpr duration heartbeatInterval = std::chrono::milliseconds(100);
const char *const selfName = "entry-017.1766500000000000";
const char *const selfAddress = "10.20.30.40:7000";

ownership_record recordFor(driven_role role)
{
    ownership_record record;
    record.version = 1;
    const std::vector<std::string> holders = role == driven_role::owner    ? std::vector<std::string>{selfName, "b", "c"}
                                             : role == driven_role::deputy ? std::vector<std::string>{"a", selfName, "c"}
                                                                           : std::vector<std::string>{"a", "b", "c"};
    std::uint64_t first = 1;
    for (const std::string &holder : holders) {
        record.ranges.push_back({instance_name(holder), selfAddress, term_number(first), term_number(first + termsPerRange - 1)});
        first += termsPerRange;
    }
    return record;
}

std::size_t heartbeatSize(const group_name &group, const send_heartbeat &action)
{
    wire::peer_message message;
    wire::heartbeat &heartbeat = *message.mutable_heartbeat();
    heartbeat.set_group(group.value());
    heartbeat.set_term(action.term.value());
    heartbeat.set_record_version(action.recordVersion);
    return message.ByteSizeLong() + 1;
}

std::size_t reportSize(const database_report &report)
{
    wire::database_message message;
    wire::database_report &encoded = *message.mutable_report();
    encoded.set_term(report.term.value());
    encoded.mutable_received()->set_term(report.term.value());
    encoded.mutable_received()->set_position(report.received.position.value());
    encoded.mutable_applied()->set_term(report.term.value());
    encoded.mutable_applied()->set_position(report.applied.position.value());
    encoded.set_round(report.round);
    encoded.set_in_sync(report.inSync);
    encoded.set_role(wire::ROLE_REPLICA);
    return message.ByteSizeLong() + 1;
}

struct simulated_peers {
    driven_group &group;
    std::deque<engine_event> events;

    database_report reportOf(const database_name &name) const
    {
        const group_ownership &ownership = group.engine.ownership;
        database_report report;
        report.term = ownership.term;
        report.role = name == ownership.primary ? database_role::primary : database_role::replica;
        report.received = {ownership.term, log_position(group.position)};
        report.applied = report.received;
        report.inSync = name != ownership.primary;
        report.round = ownership.round;
        return report;
    }

    void order(const database_name &name, bool promoted)
    {
        database_report report = reportOf(name);
        if (promoted) {
            ++group.position;
            report = reportOf(name);
            report.role = database_role::primary;
        }
        ++group.totals.orders;
        constexpr std::size_t orderBytes = 8;
        group.totals.orderBytes += orderBytes + reportSize(report);
        events.emplace_back(ownership_event(database_reported{name, report}));
    }

    void operator()(const ownership_action &action)
    {
        std::visit(*this, action);
    }
    void operator()(const read_record &)
    {
        ++group.totals.platformReads;
        events.emplace_back(ownership_event(record_read{group.engine.ownership.record}));
    }
    void operator()(const write_record &action)
    {
        ++group.totals.platformWrites;
        ownership_record stored = action.record;
        stored.version = ++group.recordVersion;
        events.emplace_back(ownership_event(record_written{stored}));
    }
    void operator()(const order_report &action)
    {
        order(action.database, false);
    }
    void operator()(const order_fence &action)
    {
        order(action.database, false);
    }
    void operator()(const order_promote &action)
    {
        order(action.database, true);
    }
    void operator()(const order_follow &action)
    {
        order(action.database, false);
    }
    void operator()(const send_heartbeat &action)
    {
        ++group.totals.heartbeats;
        group.totals.heartbeatBytes += heartbeatSize(group.engine.ownership.group, action);
    }
    void operator()(const open_connection &action)
    {
        events.emplace_back(connection_opened{action.connection, true, action.term});
    }
    void operator()(const run_statement &action)
    {
        statement_answered answered;
        answered.connection = action.connection;
        answered.request = action.request;
        answered.result.kind = outcome::done;
        group.position += action.kind == statement_kind::write ? 1 : 0;
        answered.entry = {action.term, log_position(group.position)};
        events.emplace_back(answered);
    }
    template<typename Other>
    void operator()(const Other &)
    {
    }
};

} // namespace

driven_group makeGroup(const std::string &name, driven_role role, std::size_t databases, time_point now)
{
    std::vector<database_name> names;
    std::map<database_name, pool_limits> limits;
    for (std::size_t index = 0; index < databases; ++index) {
        const database_name database(name + "-" + std::to_string(index));
        names.push_back(database);
        limits.emplace(database, pool_limits{5, 140});
    }
    group_ownership ownership(group_name(name), instance_name(selfName), selfAddress, std::move(names), ownership_settings{});
    driven_group group{group_engine(std::move(ownership), limits, engine_settings{}), 1, 1, {}, {}};
    owner_candidates_changed ranked;
    if (role == driven_role::candidate) {
        ranked.ranking.push_back({instance_name(selfName), selfAddress, {}, {}});
    }
    for (const term_range &range : recordFor(role).ranges) {
        ranked.ranking.push_back({range.holder, range.address, {}, {}});
    }
    drive(group, ownership_event(ranked), now);
    drive(group, ownership_event(record_read{recordFor(role)}), now);
    if (role == driven_role::deputy) {
        group.heartbeatsFrom = instance_name("a");
    }
    group.totals = {};
    return group;
}

void drive(driven_group &group, const engine_event &event, time_point now)
{
    simulated_peers peers{group, {event}};
    while (!peers.events.empty()) {
        const engine_event next = std::move(peers.events.front());
        peers.events.pop_front();
        engine_actions actions;
        step(group.engine, next, now, actions);
        for (const engine_action &action : actions) {
            std::visit(peers, action);
        }
    }
}

void pushReports(driven_group &group, time_point now)
{
    const simulated_peers peers{group, {}};
    for (const database_view &view : std::vector<database_view>(group.engine.ownership.databases)) {
        drive(group, ownership_event(database_reported{view.name, peers.reportOf(view.name)}), now);
    }
}

void advanceTime(driven_group &group, time_point from, time_point until)
{
    time_point heartbeatAt = from;
    for (time_point now = from; now < until; now += tickInterval) {
        if (!group.heartbeatsFrom.value().empty() && now >= heartbeatAt) {
            heartbeatAt = now + heartbeatInterval;
            drive(group, ownership_event(heartbeat_received{group.heartbeatsFrom, term_number(1), 1, false}), now);
        }
        const bool idle = isIdle(group.engine);
        if (!idle || now >= nextWakeup(group.engine.ownership)) {
            drive(group, ownership_event(clock_ticked{}), now);
        }
    }
}

} // namespace mustardrouter::bench
