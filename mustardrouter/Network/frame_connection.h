#pragma once

#include "mustardrouter/Core/failure.h"
#include "mustardrouter/Network/frame_reader.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <google/protobuf/message_lite.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mustardrouter
{

/// Limit of queued, unsent bytes on one connection.
constexpr std::size_t maxUnsentBytes = 16U << 20U;

/// A TCP connection that carries length-delimited protobuf messages. Not thread-safe: all calls and
/// callbacks run on the executor of its socket.
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
    /// Called with the payload of each frame.
    using frame_handler = std::function<void(frame_connection &, std::string_view payload)>;
    /// Called once when the connection closes, with the cause.
    using close_handler = std::function<void(frame_connection &, failure cause)>;

    explicit frame_connection(asio::ip::tcp::socket socket);

    /// Starts reading and writing on an accepted or connected socket.
    void start(frame_handler onFrame, close_handler onClose);
    /// Connects, then starts. Frames sent before that are queued. A failure to connect is reported as a close.
    /// `onConnected` is called before any frame arrives.
    void connect(const asio::ip::tcp::endpoint &endpoint,
                 frame_handler onFrame,
                 close_handler onClose,
                 std::function<void()> onConnected = {});

    /// Queues one message; closes with failure::overloaded when more than maxUnsentBytes are queued.
    void send(const google::protobuf::MessageLite &message);

    /// Closes immediately and calls the close handler with `cause`. Further calls have no effect.
    void close(failure cause);

    /// Pauses or resumes reading; while paused, TCP flow control slows the peer down.
    void pauseReading(bool paused);

    /// Number of queued, unsent bytes.
    std::size_t unsentBytes() const
    {
        return m_writing.size() + m_outgoing.size();
    }

    /// Whether the connection is established.
    bool isConnected() const
    {
        return m_connected && !m_closed;
    }

    bool isOpen() const
    {
        return !m_closed;
    }

private:
    void startRead();
    void onBytesRead(std::size_t count);
    bool processFrames();
    void scheduleWrite();
    void startWrite();

    asio::ip::tcp::socket m_socket;
    frame_handler m_onFrame;
    close_handler m_onClose;
    std::string m_incoming;
    std::string m_outgoing;
    std::string m_writing;
    bool m_connected = false;
    bool m_closed = false;
    bool m_paused = false;
    bool m_reading = false;
    bool m_writePosted = false;
};

} // namespace mustardrouter
