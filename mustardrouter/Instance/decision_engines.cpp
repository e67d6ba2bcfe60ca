#include "mustardrouter/Instance/decision_thread.h"
#include "mustardrouter/Instance/wire_codec.h"
#include "mustardrouter/Runtime/log.h"

#include <algorithm>

namespace mustardrouter
{

void decision_thread::stepEngine(const group_name &group, const engine_event &event)
{
    const auto engine = m_engines.find(group);
    if (engine == m_engines.end()) {
        return;
    }
    engine_actions actions;
    step(engine->second, event, now(), actions);
    const std::optional<time_point> round = nextRoundDue(engine->second);
    if (round) {
        m_roundsDue[group] = *round;
    } else if (!m_roundsDue.empty()) {
        m_roundsDue.erase(group);
    }
    // Queued and running requests have deadlines, so a busy engine is stepped every tick. An idle one is woken when
    // its ownership needs it.
    const bool idle = isIdle(engine->second) && !engine->second.draining;
    m_wakeups.set(group, idle ? nextWakeup(engine->second.ownership) : time_point::min());
    for (engine_action &action : actions) {
        std::visit(
            [&](auto &what) {
                apply(group, what);
            },
            action);
    }
}

void decision_thread::apply(const group_name &group, ownership_action &action)
{
    std::visit(
        [&](const auto &what) {
            apply(group, what);
        },
        action);
}

void decision_thread::apply(const group_name &group, const read_record &)
{
    post(read_record_job{group});
}

void decision_thread::apply(const group_name &group, const write_record &action)
{
    post(write_record_job{group, action.record});
}

void decision_thread::apply(const group_name &group, const order_report &action)
{
    wire::database_order order;
    order.set_kind(wire::database_order::ORDER_REPORT);
    order.set_round(action.round);
    sendOrder(group, action.database, std::move(order));
}

void decision_thread::apply(const group_name &, const replace_control_connection &action)
{
    const auto connection = m_controlConnections.find(action.database);
    if (connection == m_controlConnections.end()) {
        return;
    }
    m_outputs.network.post(close_frame_connection{connection->second});
    m_connections.erase(connection->second);
    m_controlConnections.erase(connection);
}

void decision_thread::apply(const group_name &group, const order_fence &action)
{
    wire::database_order order;
    order.set_kind(wire::database_order::ORDER_FENCE);
    order.set_term(action.term.value());
    sendOrder(group, action.database, std::move(order));
}

void decision_thread::apply(const group_name &group, const order_promote &action)
{
    wire::database_order order;
    order.set_kind(wire::database_order::ORDER_PROMOTE);
    order.set_term(action.term.value());
    sendOrder(group, action.database, std::move(order));
}

void decision_thread::apply(const group_name &group, const order_follow &action)
{
    wire::database_order order;
    order.set_kind(wire::database_order::ORDER_FOLLOW);
    order.set_term(action.term.value());
    order.set_primary(action.primary.value());
    const database *primary = findConfigured(group, action.primary);
    order.set_primary_address(primary == nullptr ? std::string() : primary->address);
    sendOrder(group, action.database, std::move(order));
}

void decision_thread::apply(const group_name &group, const send_heartbeat &action)
{
    wire::peer_message message;
    wire::heartbeat &heartbeat = *message.mutable_heartbeat();
    heartbeat.set_group(group.value());
    heartbeat.set_term(action.term.value());
    heartbeat.set_record_version(action.recordVersion);
    heartbeat.set_resigning(action.resigning);
    sendToPeer(action.to, std::move(message));
}

void decision_thread::apply(const group_name &group, const term_started &action)
{
    m_outputs.instanceMetrics.countTermStarted(group.value());
    writeLog(log_level::info,
             "ownership",
             "serves",
             {{"group", group.value()}, {"term", std::to_string(action.term.value())}, {"primary", action.primary.value()}});
}

void decision_thread::apply(const group_name &group, const term_ended &action)
{
    if (action.ownershipLost) {
        closeControlConnections(group);
    }
}

void decision_thread::apply(const group_name &, const ownership_log_message &action)
{
    writeLog(log_level::info, "ownership", action.text, {{"instance", m_settings.self.name.value()}});
}

void decision_thread::closeControlConnections(const group_name &group)
{
    for (const database_view &view : m_engines.at(group).ownership.databases) {
        const auto connection = m_controlConnections.find(view.name);
        if (connection == m_controlConnections.end()) {
            continue;
        }
        m_outputs.network.post(close_frame_connection{connection->second});
        m_connections.erase(connection->second);
        m_controlConnections.erase(connection);
    }
}

const database *decision_thread::findConfigured(const group_name &group, const database_name &name) const
{
    if (!m_configuration) {
        return nullptr;
    }
    const auto found = m_configuration->groups.find(group.value());
    if (found == m_configuration->groups.end()) {
        return nullptr;
    }
    const auto item = std::ranges::find(found->second.databases, name, &database::name);
    return item == found->second.databases.end() ? nullptr : &*item;
}

void decision_thread::sendOrder(const group_name &group, const database_name &database, wire::database_order order)
{
    auto connection = m_controlConnections.find(database);
    if (connection == m_controlConnections.end()) {
        const auto *configured = findConfigured(group, database);
        if (configured == nullptr) {
            return;
        }
        const frame_connection_id opened =
            openConnection(connection_kind::database, configured->address, control_connection{group, database});
        connection = m_controlConnections.emplace(database, opened).first;
    }
    wire::database_message message;
    *message.mutable_order() = std::move(order);
    send(connection->second, std::move(message));
}

void decision_thread::apply(const group_name &group, const open_connection &action)
{
    const auto *configured = findConfigured(group, action.database);
    if (configured == nullptr) {
        return;
    }
    const frame_connection_id connection =
        openConnection(connection_kind::database, configured->address, statement_connection{group, action.connection});
    m_statementConnections.emplace(action.connection, connection);
    wire::database_message message;
    message.set_open(action.term.value());
    send(connection, std::move(message));
}

void decision_thread::apply(const group_name &, const close_connection &action)
{
    const auto connection = m_statementConnections.find(action.connection);
    if (connection == m_statementConnections.end()) {
        return;
    }
    m_outputs.network.post(close_frame_connection{connection->second});
    m_connections.erase(connection->second);
    m_statementConnections.erase(connection);
}

void decision_thread::apply(const group_name &, run_statement &action)
{
    const auto connection = m_statementConnections.find(action.connection);
    if (connection == m_statementConnections.end()) {
        return;
    }
    const auto origin = m_ownerRequests.find(action.request);
    if (origin != m_ownerRequests.end()) {
        origin->second.reason = action.reason;
    }
    wire::database_message message;
    wire::database_statement &statement = *message.mutable_statement();
    statement.set_id(action.request.value());
    statement.set_term(action.term.value());
    statement.set_kind(toWire(action.kind));
    statement.set_sql(std::move(action.sql));
    statement.set_key(action.key.value());
    statement.set_on_replica(action.onReplica);
    send(connection->second, std::move(message));
}

std::optional<instance_name> decision_thread::believedOwner(const group_name &group) const
{
    const auto engine = m_engines.find(group);
    if (engine == m_engines.end()) {
        return std::nullopt;
    }
    const group_ownership &ownership = engine->second.ownership;
    if (ownership.role == ownership_role::owner || ownership.record.ranges.empty()) {
        return std::nullopt;
    }
    return ownership.record.ranges.front().holder;
}

void decision_thread::acceptRequest(const group_name &group, owner_request origin, statement what)
{
    const request_id id(m_nextOwnerRequest++);
    origin.kind = what.kind;
    m_ownerRequests.emplace(id, std::move(origin));
    if (!m_engines.contains(group)) {
        answer_request refused;
        refused.request = id;
        refused.result = notRun(failure::notOwner, "the group is not in this instance's configuration");
        apply(group, refused);
        return;
    }
    stepEngine(group, request_arrived{id, std::move(what)});
}

std::optional<request_id> decision_thread::findRequest(std::optional<frame_connection_id> from, std::uint64_t entryRequest) const
{
    for (const auto &[id, origin] : m_ownerRequests) {
        if (origin.from == from && origin.entryRequest == entryRequest) {
            return id;
        }
    }
    return std::nullopt;
}

void decision_thread::abandonRequest(request_id id)
{
    const auto found = m_ownerRequests.find(id);
    if (found == m_ownerRequests.end()) {
        return;
    }
    const group_name group = found->second.group;
    m_ownerRequests.erase(found);
    stepEngine(group, request_abandoned{id});
}

void decision_thread::apply(const group_name &group, answer_request &action)
{
    const auto found = m_ownerRequests.find(action.request);
    if (found == m_ownerRequests.end()) {
        return;
    }
    const owner_request origin = std::move(found->second);
    m_ownerRequests.erase(found);
    request_hops hops{action.queueTime, action.runTime, action.confirmationTime, origin.reason};
    if (origin.kind == statement_kind::read && action.result.kind == outcome::done) {
        m_outputs.instanceMetrics.countRead(group.value(), action.result.fromReplica);
    }
    std::optional<instance_name> owner;
    if (action.result.cause == failure::notOwner) {
        owner = believedOwner(group);
    }
    if (!origin.from) {
        answerEntry(owner_answered{request_id(origin.entryRequest), std::move(action.result), owner}, std::move(hops));
        return;
    }
    if (origin.kind == statement_kind::begin && action.result.transaction.value() != 0) {
        m_peerTransactions[*origin.from].emplace(group, action.result.transaction);
    }
    wire::peer_message message;
    wire::forward_answer &answer = *message.mutable_forward_answer();
    answer.set_id(origin.entryRequest);
    *answer.mutable_result() = toWire(action.result);
    *answer.mutable_hops() = toWire(hops);
    if (action.result.floor) {
        *answer.mutable_floor() = toWire(*action.result.floor);
    }
    if (owner) {
        answer.set_owner(owner->value());
    }
    send(*origin.from, std::move(message));
}

} // namespace mustardrouter
