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
using frame_connection_id = strong_type<struct frame_connection_id_tag, std::uint64_t>;

/// Who is at the other end of a link.
enum class connection_kind : std::uint8_t { caller, peer, database };

/// A message of any kind of link.
using connection_message = std::variant<wire::caller_request, wire::caller_response, wire::peer_message, wire::database_message>;

/// A message arrived.
struct message_received {
    frame_connection_id connection;
    connection_message message;
};

/// A link ended or could not be made.
struct frame_connection_closed {
    frame_connection_id connection;
    connection_kind kind;
    failure cause;
};

/// What the network thread tells the decision thread.
using link_event = std::variant<message_received, frame_connection_closed>;

/// Opens a link to "IP:PORT".
struct open_frame_connection {
    frame_connection_id connection;
    connection_kind kind;
    std::string address;
};

/// Sends a message.
struct send_message {
    frame_connection_id connection;
    connection_message message;
};

/// Closes a link without an event.
struct close_frame_connection {
    frame_connection_id connection;
};

/// What the decision thread asks of the network thread.
using network_command = std::variant<open_frame_connection, send_message, close_frame_connection>;

} // namespace mustardrouter
