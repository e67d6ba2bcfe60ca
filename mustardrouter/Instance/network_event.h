#pragma once

#include "mustardrouter/Core/failure.h"
#include "mustardrouter/Core/strong_type.h"
#include "mustardrouter/Schema/wire.pb.h"

#include <cstdint>
#include <string>
#include <variant>

namespace mustardrouter
{

/// Identifies a framed TCP connection of this instance. Accepted connections have even numbers, opened ones odd.
using frame_connection_id = strong_type<struct frame_connection_id_tag, std::uint64_t>;

/// What is at the other end of a connection.
enum class connection_kind : std::uint8_t { caller, peer, database };

/// A message on a connection of any kind.
using connection_message = std::variant<wire::caller_request, wire::caller_response, wire::peer_message, wire::database_message>;

/// A message arrived.
struct message_received {
    frame_connection_id connection;
    connection_message message;
};

/// A connection was closed or could not be established.
struct frame_connection_closed {
    frame_connection_id connection;
    connection_kind kind;
    failure cause;
};

/// Event from the network thread to the decision thread.
using network_event = std::variant<message_received, frame_connection_closed>;

/// Opens a connection to "IP:PORT".
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

/// Closes a connection without reporting a frame_connection_closed event.
struct close_frame_connection {
    frame_connection_id connection;
};

/// Command from the decision thread to the network thread.
using network_command = std::variant<open_frame_connection, send_message, close_frame_connection>;

} // namespace mustardrouter
