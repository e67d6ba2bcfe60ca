#pragma once

#include "mustardrouter/Core/strong_type.h"

#include <cstdint>
#include <string>

namespace mustardrouter
{

/// Name of a database group.
using group_name = strong_type<struct group_name_tag, std::string>;
using database_name = strong_type<struct database_name_tag, std::string>;
/// Name of one run of an instance: a restart takes a new name.
using instance_name = strong_type<struct instance_name_tag, std::string>;
using service_name = strong_type<struct service_name_tag, std::string>;
/// Name that a caller gives to its session.
using session_name = strong_type<struct session_name_tag, std::string>;
/// Idempotency key: identifies a caller's request across retries.
using request_key = strong_type<struct request_key_tag, std::string>;
/// Term of a group's ownership; increases with each change of owner or primary.
using term_number = strong_type<struct term_number_tag, std::uint64_t>;
/// Name of a workspace: the callers that share keys and a limit. Databases are told it.
using workspace_name = strong_type<struct workspace_name_tag, std::string>;
/// Secret by which a caller shows which workspace it belongs to. Never logged, and never sent to a database.
using api_key = strong_type<struct api_key_tag, std::string>;
/// Position in the log of a database group; 0 is before the first entry.
using log_position = strong_type<struct log_position_tag, std::uint64_t>;
/// Revision of the configuration; never decreases.
using revision_number = strong_type<struct revision_number_tag, std::uint64_t>;
/// Identifies a request within one instance.
using request_id = strong_type<struct request_id_tag, std::uint64_t>;
/// Identifies a connection to a database within one instance.
using connection_id = strong_type<struct connection_id_tag, std::uint64_t>;
/// Identifies a transaction within one database group and owner.
using transaction_id = strong_type<struct transaction_id_tag, std::uint64_t>;

} // namespace mustardrouter
