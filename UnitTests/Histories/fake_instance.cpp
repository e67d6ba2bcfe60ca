#include "fake_instance.h"

#include <algorithm>

namespace mustardrouter::histories
{

namespace
{

ownership_settings shortOwnershipSettings(std::uint32_t confirmReplicas)
{
    ownership_settings settings;
    settings.heartbeatInterval = std::chrono::milliseconds(15);
    settings.ownerHeartbeatTimeout = std::chrono::milliseconds(60);
    settings.probeInterval = std::chrono::milliseconds(10);
    settings.primaryReportTimeout = std::chrono::milliseconds(40);
    settings.platformReplyTimeout = std::chrono::milliseconds(40);
    settings.recordPollInterval = std::chrono::milliseconds(100);
    settings.missingHoldersTimeout = std::chrono::milliseconds(120);
    settings.deputyRefreshInterval = std::chrono::milliseconds(80);
    settings.fenceGracePeriod = std::chrono::milliseconds(4);
    settings.orderRetryInterval = std::chrono::milliseconds(15);
    settings.promotionTimeout = std::chrono::milliseconds(50);
    settings.confirmReplicas = confirmReplicas;
    return settings;
}

entry_settings shortEntrySettings()
{
    entry_settings settings;
    settings.retryBackoff = std::chrono::milliseconds(3);
    settings.maxRetryBackoff = std::chrono::milliseconds(20);
    settings.ownerQueryInterval = std::chrono::milliseconds(30);
    settings.ownerResponseTimeout = std::chrono::milliseconds(40);
    return settings;
}

engine_settings shortEngineSettings()
{
    engine_settings settings;
    settings.sessionCapacity = 3;
    settings.idleInTransactionTimeout = std::chrono::milliseconds(150);
    settings.openBackoff = std::chrono::milliseconds(10);
    settings.drainTimeout = std::chrono::milliseconds(100);
    return settings;
}

std::vector<database_name> namesOf(const std::vector<std::unique_ptr<fake_database>> &databases)
{
    std::vector<database_name> names;
    for (const auto &item : databases) {
        names.push_back(item->name());
    }
    return names;
}

std::map<database_name, pool_limits> limitsOf(const std::vector<std::unique_ptr<fake_database>> &databases)
{
    std::map<database_name, pool_limits> limits;
    for (const auto &item : databases) {
        limits[item->name()] = pool_limits{3, 6};
    }
    return limits;
}

std::shared_ptr<const configuration_snapshot> configuration()
{
    auto snapshot = std::make_shared<configuration_snapshot>();
    snapshot->revision = revision_number(1);
    snapshot->services["service"] = {"service", {"group"}, "policy", 0.5, {}};
    snapshot->readRules["session"] = {"session", read_rule::session, {}};
    snapshot->policies["policy"].readRule = "session";
    return snapshot;
}

} // namespace

fake_instance *findInstance(const history_environment &environment, const instance_name &name)
{
    for (const auto &item : environment.instances) {
        if (item && item->isUp() && item->name() == name) {
            return item.get();
        }
    }
    return nullptr;
}

fake_instance::fake_instance(endpoint_index index, instance_name name, history_environment &environment)
    : m_index(index)
    , m_name(std::move(name))
    , m_environment(environment)
    , m_entry("key", shortEntrySettings())
    , m_engine(group_ownership(
                   theGroup, m_name, m_name.value(), namesOf(environment.databases), shortOwnershipSettings(environment.confirmReplicas)),
               limitsOf(environment.databases),
               shortEngineSettings())
{
    // Connection numbers are unique across instances, so that a mix-up is detected.
    m_engine.nextConnection = (index + 1) * 1000000;
    stepEntry(configuration_adopted{configuration()});
}

void fake_instance::tick()
{
    if (!m_up || m_environment.network.paused[m_index]) {
        return;
    }
    stepEngine(ownership_event(clock_ticked{}));
    stepEntry(entry_ticked{});
}

void fake_instance::stepEngine(const engine_event &event)
{
    if (!m_up) {
        return;
    }
    engine_actions actions;
    step(m_engine, event, m_environment.queue.now(), actions);
    for (const engine_action &action : actions) {
        apply(action);
    }
}

void fake_instance::apply(const engine_action &action)
{
    std::visit(
        [&](const auto &what) {
            apply(what);
        },
        action);
}

void fake_instance::apply(const ownership_action &action)
{
    const auto deliver = [this](const ownership_event &event) {
        stepEngine(event);
    };
    if (std::holds_alternative<read_record>(action)) {
        m_environment.platform.read(m_index, deliver);
    } else if (const auto *write = std::get_if<write_record>(&action)) {
        m_environment.platform.write(m_index, write->record, deliver);
    } else if (const auto *report = std::get_if<order_report>(&action)) {
        sendOrder(report->database, action);
    } else if (const auto *fence = std::get_if<order_fence>(&action)) {
        sendOrder(fence->database, action);
    } else if (const auto *promote = std::get_if<order_promote>(&action)) {
        sendOrder(promote->database, action);
    } else if (const auto *follow = std::get_if<order_follow>(&action)) {
        sendOrder(follow->database, action);
    } else if (const auto *beat = std::get_if<send_heartbeat>(&action)) {
        sendHeartbeat(*beat);
    } else if (const auto *ended = std::get_if<term_ended>(&action)) {
        if (ended->ownershipLost) {
            for (auto &[name, control] : m_controls) {
                control->closed = true;
            }
            m_controls.clear();
        }
    }
}

void fake_instance::sendOrder(const database_name &name, const ownership_action &action)
{
    for (const auto &database : m_environment.databases) {
        if (database->name() != name) {
            continue;
        }
        control_ptr &control = m_controls[name];
        if (!control) {
            control = std::make_shared<fake_control>();
            control->instance = m_index;
            control->toDatabase = m_environment.network.open(m_index, database->index());
            control->toInstance = m_environment.network.open(database->index(), m_index);
            control->deliver = [this](const database_reported &event) {
                stepEngine(ownership_event(event));
            };
            database->controls.push_back(control);
        }
        m_environment.network.send(control->toDatabase, [this, to = database.get(), control, action, name] {
            if (!to->up) {
                m_environment.network.send(control->toInstance, [this, control, name] {
                    if (!control->closed) {
                        failControlConnection(name);
                    }
                });
                return;
            }
            if (!control->closed) {
                to->onOrder(control, action);
            }
        });
    }
}

void fake_instance::failControlConnection(database_name database)
{
    const auto found = m_controls.find(database);
    if (found == m_controls.end()) {
        return;
    }
    found->second->closed = true;
    m_controls.erase(found);
    stepEngine(ownership_event(database_unreachable{database}));
}

void fake_instance::sendHeartbeat(const send_heartbeat &action)
{
    const peer_connection_ptr connection = connectionTo(action.to);
    if (!connection) {
        return;
    }
    heartbeat_received event{m_name, action.term, action.recordVersion, action.resigning};
    m_environment.network.send(connection->outbound, [environment = &m_environment, to = action.to, event] {
        if (fake_instance *peer = findInstance(*environment, to)) {
            peer->stepEngine(ownership_event(event));
        }
    });
}

void fake_instance::apply(const open_connection &action)
{
    for (const auto &database : m_environment.databases) {
        if (database->name() != action.database) {
            continue;
        }
        const auto connection = std::make_shared<fake_connection>();
        connection->id = action.connection;
        connection->toDatabase = m_environment.network.open(m_index, database->index());
        connection->toInstance = m_environment.network.open(database->index(), m_index);
        connection->deliver = [this](const engine_event &event) {
            stepEngine(event);
        };
        m_connections[action.connection] = connection;
        m_environment.network.send(connection->toDatabase, [this, to = database.get(), connection, term = action.term] {
            if (to->up) {
                to->onOpen(connection, term);
                return;
            }
            m_environment.network.send(connection->toInstance, [connection] {
                connection->deliver(connection_closed{connection->id});
            });
        });
    }
}

void fake_instance::apply(const close_connection &action)
{
    const auto found = m_connections.find(action.connection);
    if (found == m_connections.end()) {
        return;
    }
    const connection_ptr connection = found->second;
    m_connections.erase(found);
    // The channel to the instance stays open: answers in flight still arrive and must be ignored.
    m_environment.network.send(connection->toDatabase, [this, connection] {
        for (const auto &database : m_environment.databases) {
            if (database->index() == connection->toDatabase->to) {
                database->onClose(connection);
            }
        }
    });
}

void fake_instance::apply(const run_statement &action)
{
    const auto found = m_connections.find(action.connection);
    if (found == m_connections.end()) {
        m_environment.onViolation("a statement was sent on a connection that is not open");
        return;
    }
    const connection_ptr connection = found->second;
    m_environment.network.send(connection->toDatabase, [this, connection, action] {
        for (const auto &database : m_environment.databases) {
            if (database->index() == connection->toDatabase->to) {
                database->onStatement(connection, action);
            }
        }
    });
}

std::optional<instance_name> fake_instance::believedOwner() const
{
    const group_ownership &ownership = m_engine.ownership;
    if (ownership.role == ownership_role::owner || ownership.record.ranges.empty()) {
        return std::nullopt;
    }
    return ownership.record.ranges.front().holder;
}

void fake_instance::acceptRequest(const peer_connection_ptr &from, request_id entryRequest, statement what)
{
    const request_id id(m_nextRequest++);
    m_requests.emplace(id, owner_request{from, entryRequest, what.kind, what.deadline});
    if (m_environment.injected == defect::ignoreFloors) {
        what.floor.reset();
        what.session = session_name();
        what.rule = what.rule == read_rule::session ? read_rule::age : what.rule;
        what.maxAge = std::chrono::seconds(10);
    }
    stepEngine(request_arrived{id, std::move(what)});
}

void fake_instance::apply(const answer_request &action)
{
    const auto found = m_requests.find(action.request);
    if (found == m_requests.end()) {
        m_environment.onViolation("an owner answered a request twice, or one that is not pending");
        return;
    }
    const owner_request origin = found->second;
    m_requests.erase(found);
    owner_answered event{origin.entryRequest, action.result, std::nullopt};
    if (action.result.cause == failure::notOwner) {
        event.owner = believedOwner();
    }
    if (!origin.from) {
        stepEntry(event);
        return;
    }
    if (origin.kind == statement_kind::begin && action.result.transaction.value() != 0) {
        origin.from->transactions.insert(action.result.transaction);
    }
    m_environment.network.send(origin.from->inbound, [environment = &m_environment, connection = origin.from, event] {
        const auto &entry = environment->instances[connection->outbound->from];
        if (entry && !connection->closed) {
            entry->stepEntry(event);
        }
    });
}

void fake_instance::abandonRequest(const peer_connection_ptr &from, request_id entryRequest)
{
    for (const auto &[id, origin] : m_requests) {
        if (origin.from == from && origin.entryRequest == entryRequest) {
            const request_id found = id;
            m_requests.erase(found);
            stepEngine(request_abandoned{found});
            return;
        }
    }
}

void fake_instance::abandonPeerRequests(const peer_connection_ptr &connection)
{
    std::vector<request_id> lost;
    for (const auto &[id, origin] : m_requests) {
        if (origin.from == connection) {
            lost.push_back(origin.entryRequest);
        }
    }
    for (const request_id request : lost) {
        abandonRequest(connection, request);
    }
    const std::set<transaction_id> open = std::move(connection->transactions);
    connection->transactions.clear();
    for (const transaction_id transaction : open) {
        stepEngine(transaction_abandoned{transaction});
    }
}

void fake_instance::crash()
{
    m_up = false;
    const auto connections = m_connections;
    for (const auto &[id, connection] : connections) {
        apply(close_connection{id});
    }
    for (const auto &[name, control] : m_controls) {
        control->closed = true;
    }
    resetPeerConnections();
    // The other instances detect that their connections to this one were closed.
    for (const auto &other : m_environment.instances) {
        if (!other || !other->isUp()) {
            continue;
        }
        m_environment.queue.after(m_environment.network.randomDelay(), [environment = &m_environment, peer = other->name(), gone = m_name] {
            if (fake_instance *alive = findInstance(*environment, peer)) {
                alive->closePeerConnection(gone);
            }
        });
    }
}

} // namespace mustardrouter::histories
