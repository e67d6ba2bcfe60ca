#pragma once

#include "mustardrouter/Core/ids.h"

namespace mustardrouter
{

/// A client's connection within one instance; ids are not reused.
using session_id = strong_type<struct session_id_tag, std::uint64_t>;
/// A connection to a database within one instance; ids are not reused.
using database_connection_id = strong_type<struct link_id_tag, std::uint64_t>;
/// Fencing number of the promotion orders for one group: an order with a higher number invalidates those with lower ones.
using fence_number = strong_type<struct fence_number_tag, std::uint64_t>;

} // namespace mustardrouter
