#pragma once

#include "mustardrouter/Core/failure.h"
#include "mustardrouter/Core/strong_type.h"
#include "mustardrouter/Schema/wire.pb.h"

#include <cstdint>
#include <string>
#include <variant>

namespace mustardrouter
{

/// One TCP connection of this instance. Accepted ones have even numbers, opened ones odd ones.
using link_id = strong_type<struct link_id_tag, std::uint64_t>;

/// Who is at the other end of a link.
enum class link_kind : std::uint8_t { caller, peer, database };

/// A message of any kind of link.
using link_message = std::variant<wire::caller_request, wire::caller_response, wire::peer_message, wire::database_message>;

/// A message arrived.
struct link_received {
    link_id link;
    link_message message;
};

/// A link ended or could not be made.
struct link_closed {
    link_id link;
    link_kind kind;
    failure cause;
};

/// What the network thread tells the decision thread.
using link_event = std::variant<link_received, link_closed>;

/// Opens a link to "IP:PORT".
struct open_link {
    link_id link;
    link_kind kind;
    std::string address;
};

/// Sends a message.
struct send_on_link {
    link_id link;
    link_message message;
};

/// Closes a link without an event.
struct close_link {
    link_id link;
};

/// What the decision thread asks of the network thread.
using link_command = std::variant<open_link, send_on_link, close_link>;

} // namespace mustardrouter
