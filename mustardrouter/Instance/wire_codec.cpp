#include "mustardrouter/Instance/wire_codec.h"

#include <algorithm>
#include <chrono>

namespace mustardrouter
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::uint64_t toMilliseconds(duration span)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration_cast<milliseconds>(span).count()));
}

} // namespace

wire::statement_kind toWire(statement_kind kind)
{
    return static_cast<wire::statement_kind>(kind);
}

log_entry fromWire(const wire::log_entry &message)
{
    return {term_number(message.term()), log_position(message.position())};
}

wire::log_entry toWire(const log_entry &entry)
{
    wire::log_entry message;
    message.set_term(entry.term.value());
    message.set_position(entry.position.value());
    return message;
}

bool isKnown(const wire::statement &message)
{
    return wire::statement_kind_IsValid(message.kind()) && wire::read_rule_kind_IsValid(message.read_rule());
}

statement fromWire(const wire::statement &message, time_point now)
{
    statement what;
    what.kind = static_cast<statement_kind>(message.kind());
    what.rule = static_cast<read_rule>(message.read_rule());
    what.maxAge = milliseconds(message.max_age_ms());
    what.nonIdempotent = message.non_idempotent();
    what.key = request_key(message.key());
    what.session = session_name(message.session());
    what.service = service_name(message.service());
    what.transaction = transaction_id(message.transaction());
    what.deadline = now + milliseconds(message.deadline_ms());
    what.sql = message.sql();
    what.traceParent = message.trace_parent();
    return what;
}

wire::statement toWire(const statement &what, time_point now)
{
    wire::statement message;
    message.set_kind(toWire(what.kind));
    message.set_read_rule(static_cast<wire::read_rule_kind>(what.rule));
    message.set_max_age_ms(toMilliseconds(what.maxAge));
    message.set_non_idempotent(what.nonIdempotent);
    message.set_key(what.key.value());
    message.set_session(what.session.value());
    message.set_service(what.service.value());
    message.set_transaction(what.transaction.value());
    message.set_deadline_ms(toMilliseconds(what.deadline - now));
    message.set_sql(what.sql);
    message.set_trace_parent(what.traceParent);
    return message;
}

statement_result fromWire(const wire::result &message)
{
    statement_result result;
    result.kind = static_cast<outcome>(message.outcome());
    result.cause = static_cast<failure>(message.failure());
    result.detail = message.detail();
    result.transaction = transaction_id(message.transaction());
    result.retryAfter = milliseconds(message.retry_after_ms());
    result.database = database_name(message.database());
    result.fromReplica = message.from_replica();
    if (message.columns_size() > 0 || message.rows_size() > 0 || message.changed_rows() > 0) {
        wire::result rows;
        *rows.mutable_columns() = message.columns();
        *rows.mutable_rows() = message.rows();
        rows.set_changed_rows(message.changed_rows());
        rows.SerializeToString(&result.rows);
    }
    return result;
}

wire::result toWire(const statement_result &result)
{
    wire::result message;
    if (!result.rows.empty()) {
        message.ParseFromString(result.rows);
    }
    message.set_outcome(static_cast<wire::outcome_kind>(result.kind));
    message.set_failure(static_cast<std::uint32_t>(result.cause));
    message.set_detail(result.detail);
    message.set_transaction(result.transaction.value());
    message.set_retry_after_ms(toMilliseconds(result.retryAfter));
    message.set_database(result.database.value());
    message.set_from_replica(result.fromReplica);
    return message;
}

database_report fromWire(const wire::database_report &message)
{
    database_report report;
    report.term = term_number(message.term());
    report.role = static_cast<database_role>(message.role());
    report.received = fromWire(message.received());
    report.applied = fromWire(message.applied());
    report.round = message.round();
    report.inSync = message.in_sync();
    report.leaving = message.leaving();
    return report;
}

instance_view fromWire(const wire::instance_location &message)
{
    return {instance_name(message.name()), message.address(), message.place(), message.incarnation(), message.leaving()};
}

wire::instance_location toWire(const instance_view &view)
{
    wire::instance_location message;
    message.set_name(view.name.value());
    message.set_address(view.address);
    message.set_place(view.place);
    message.set_incarnation(view.incarnation);
    message.set_leaving(view.leaving);
    return message;
}

request_hops fromWire(const wire::request_hops &message)
{
    request_hops hops;
    hops.queueTime = std::chrono::microseconds(message.queued_us());
    hops.runTime = std::chrono::microseconds(message.ran_us());
    hops.confirmationTime = std::chrono::microseconds(message.confirming_us());
    hops.reason = message.reason();
    return hops;
}

wire::request_hops toWire(const request_hops &hops)
{
    wire::request_hops message;
    message.set_queued_us(static_cast<std::uint64_t>(hops.queueTime.count()));
    message.set_ran_us(static_cast<std::uint64_t>(hops.runTime.count()));
    message.set_confirming_us(static_cast<std::uint64_t>(hops.confirmationTime.count()));
    message.set_reason(hops.reason);
    return message;
}

} // namespace mustardrouter
