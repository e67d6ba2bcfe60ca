#pragma once

#include "mustardrouter/Core/ids.h"

namespace mustardrouter
{

/// A client's connection within one instance; never used again.
using session_id = strong_type<struct session_id_tag, std::uint64_t>;
/// A connection to a database within one instance; never used again.
using database_connection_id = strong_type<struct link_id_tag, std::uint64_t>;
/// Number that orders the orders for one group: a higher one shuts out the lower ones.
using fence_number = strong_type<struct fence_number_tag, std::uint64_t>;

} // namespace mustardrouter
