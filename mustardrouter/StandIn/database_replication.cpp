#include "mustardrouter/Instance/wire_codec.h"
#include "mustardrouter/Network/endpoint.h"
#include "mustardrouter/Runtime/log.h"
#include "mustardrouter/StandIn/database_standin.h"

namespace mustardrouter
{

namespace
{

constexpr auto reconnectDelay = std::chrono::milliseconds(20);

} // namespace

void database_standin::connectToPrimary()
{
    if (m_role != wire::ROLE_REPLICA || m_down) {
        return;
    }
    const bool valid = handleErrors(
        [&]() -> result_of<bool> {
            BOOST_LEAF_AUTO(endpoint, parseEndpoint(m_primaryAddress));
            m_primaryConnection = std::make_shared<frame_connection>(asio::ip::tcp::socket(m_context));
            m_primaryConnection->connect(
                endpoint,
                [this](frame_connection &connection, std::string_view payload) {
                    wire::database_message message;
                    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size())) || !message.has_batch()) {
                        connection.close(failure::malformedFrame);
                        return;
                    }
                    runAfter(std::chrono::microseconds(m_settings.replication_delay_us() + m_settings.network_delay_us()),
                             [this, term = m_term, batch = message.batch()] {
                                 if (term == m_term && m_role == wire::ROLE_REPLICA) {
                                     onBatch(batch);
                                 }
                             });
                },
                [this](frame_connection &connection, failure) {
                    if (m_primaryConnection.get() != &connection) {
                        return;
                    }
                    m_inSync = false;
                    runAfter(reconnectDelay, [this, term = m_term] {
                        if (term == m_term) {
                            connectToPrimary();
                        }
                    });
                });
            wire::database_message message;
            message.mutable_replicate()->set_term(m_term);
            for (const log_entry &end : termEnds(m_log)) {
                *message.mutable_replicate()->add_term_ends() = toWire(end);
            }
            m_primaryConnection->send(message);
            return true;
        },
        [](const error &) {
            return false;
        });
    if (!valid) {
        writeLog(log_level::warning, "standin", "invalid primary address", {{"address", m_primaryAddress}});
    }
}

void database_standin::onReplicate(const session_ptr &from, const wire::replicate_request &request)
{
    wire::database_message message;
    if (m_role != wire::ROLE_PRIMARY || request.term() != m_term) {
        from->connection->close(failure::staleTerm);
        return;
    }
    std::vector<log_entry> ends;
    for (const wire::log_entry &end : request.term_ends()) {
        ends.push_back(fromWire(end));
    }
    const log_position common = commonPrefix(m_log, ends);
    message.mutable_batch()->set_truncate(true);
    message.mutable_batch()->set_keep_up_to(common.value());
    message.mutable_batch()->set_primary_position(lastEntry(m_log).position.value());
    reply(from, message);
    from->nextReplicaPosition = common.value() + 1;
    sendToReplica(from);
}

void database_standin::sendToReplica(const session_ptr &replica)
{
    constexpr std::size_t maxRecords = 512;
    while (*replica->nextReplicaPosition <= m_log.records.size()) {
        wire::database_message message;
        wire::replicate_batch &batch = *message.mutable_batch();
        batch.set_primary_position(lastEntry(m_log).position.value());
        while (*replica->nextReplicaPosition <= m_log.records.size() && static_cast<std::size_t>(batch.records_size()) < maxRecords) {
            const database_log_record &record = m_log.records[*replica->nextReplicaPosition - 1];
            wire::log_record &copy = *batch.add_records();
            *copy.mutable_entry() = toWire(record.entry);
            copy.set_key(record.key.value());
            for (const std::string &sql : record.statements) {
                copy.add_statements(sql);
            }
            ++*replica->nextReplicaPosition;
        }
        reply(replica, message);
    }
}

void database_standin::onBatch(const wire::replicate_batch &batch)
{
    if (batch.truncate()) {
        const bool discardsApplied = batch.keep_up_to() < m_appliedPosition;
        truncateAbove(m_log, log_position(batch.keep_up_to()));
        if (discardsApplied) {
            rebuild();
        }
        m_inSync = true;
    }
    for (const wire::log_record &record : batch.records()) {
        const log_entry entry = fromWire(record.entry());
        if (entry.position.value() != m_log.records.size() + 1) {
            continue;
        }
        appendRecord(m_log, {entry, {record.statements().begin(), record.statements().end()}, request_key(record.key())});
    }
    const std::uint64_t received = lastEntry(m_log).position.value();
    runAfter(std::chrono::microseconds(m_settings.apply_lag_us()), [this, term = m_term, received] {
        if (term == m_term) {
            applyUpTo(received);
            pushReports();
        }
    });
    pushReports();
}

void database_standin::applyUpTo(std::uint64_t position)
{
    while (m_appliedPosition < position && m_appliedPosition < m_log.records.size()) {
        const database_log_record &record = m_log.records[m_appliedPosition];
        m_store->begin();
        for (const std::string &sql : record.statements) {
            wire::result ignored;
            m_store->write(sql, ignored);
        }
        m_store->commit();
        ++m_appliedPosition;
    }
}

void database_standin::rebuild()
{
    m_store->reset();
    m_appliedPosition = 0;
    applyUpTo(lastEntry(m_log).position.value());
}

} // namespace mustardrouter
