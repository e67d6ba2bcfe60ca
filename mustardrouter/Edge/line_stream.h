#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mustardrouter
{

/// Why a stream was closed.
enum class close_reason { closed, lineTooLong };

/// A TCP connection that carries lines of text. Calls `onLine` for each line until it is closed, and `onEnd` at
/// most once.
class line_stream : public std::enable_shared_from_this<line_stream>
{
public:
    struct handlers {
        std::function<void(std::string_view line)> onLine;
        std::function<void(close_reason reason)> onEnd;
    };

    /// `maxLineBytes` includes the line terminator.
    line_stream(asio::ip::tcp::socket socket, std::size_t maxLineBytes, handlers callbacks);

    /// Starts reading from a connected socket.
    void start();
    /// Connects, sends `startupMessage` and starts reading. A failure is reported through `onEnd`.
    void connect(const asio::ip::tcp::endpoint &to, std::string startupMessage);
    /// Delivers no lines until resumeReading(), so that the peer's output waits in its own buffers.
    void pauseReading();
    void resumeReading();
    /// Output buffer to append to; sent by the next flush().
    std::string &out();
    /// Sends the buffered output.
    void flush();
    /// Output that the socket has not taken yet.
    std::size_t unsentBytes() const;
    /// Closes the connection at once, without a callback.
    void close();
    /// Sends the buffered output, shuts down sending, and closes once the peer has closed, or after a timeout in which it has taken
    /// none of the output. No callback is made.
    void closeAfterFlush();

private:
    void read();
    bool deliverLines();
    void writeRest();
    void onWritten(std::size_t size);
    void awaitClose();
    void end(close_reason reason);

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_closeTimer;
    std::size_t m_maxLineBytes;
    handlers m_handlers;
    std::array<char, 4096> m_buffer;
    std::string m_input;
    /// So much of m_input was searched for the end of a line.
    std::size_t m_searched = 0;
    std::string m_pendingOutput;
    std::string m_writeBuffer;
    bool m_ended = false;
    bool m_reading = false;
    bool m_paused = false;
    bool m_closing = false;
};

} // namespace mustardrouter
