#pragma once

#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Core/statement.h"
#include "mustardrouter/Core/statement_result.h"
#include "mustardrouter/Instance/request_hops.h"
#include "mustardrouter/Membership/instance_directory.h"
#include "mustardrouter/Ownership/database_report.h"
#include "mustardrouter/Schema/wire.pb.h"

namespace mustardrouter
{

/// Conversions between wire messages and the structs of the decision modules. Deadlines are sent as the
/// remaining time, since instances share no clock.
statement fromWire(const wire::statement &message, time_point now);
/// Whether this version knows the message's statement kind and read rule.
bool isKnown(const wire::statement &message);
wire::statement toWire(const statement &what, time_point now);
statement_result fromWire(const wire::result &message);
wire::result toWire(const statement_result &result);
database_report fromWire(const wire::database_report &message);
log_entry fromWire(const wire::log_entry &message);
wire::log_entry toWire(const log_entry &entry);

instance_view fromWire(const wire::instance_location &message);
wire::instance_location toWire(const instance_view &view);
request_hops fromWire(const wire::request_hops &message);
wire::request_hops toWire(const request_hops &hops);

/// Wire value of a statement kind.
wire::statement_kind toWire(statement_kind kind);

} // namespace mustardrouter
