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

/// Why a stream ended.
enum class close_reason { closed, lineTooLong };

/// A TCP connection that carries lines. Calls back until it has ended, at most once with the end.
class line_stream : public std::enable_shared_from_this<line_stream>
{
public:
    struct handlers {
        std::function<void(std::string_view line)> onLine;
        std::function<void(close_reason reason)> onEnd;
    };

    /// `maxLineBytes` is the length of a line with its end, in bytes.
    line_stream(asio::ip::tcp::socket socket, std::size_t maxLineBytes, handlers callbacks);

    /// Begins to read.
    void start();
    /// Connects, writes `startupMessage`, and begins to read; a failure is an end.
    void connect(const asio::ip::tcp::endpoint &to, std::string startupMessage);
    /// Appends to what is to be written; it goes out with the next flush.
    std::string &out();
    /// Writes what was appended.
    void flush();
    /// Ends the stream without calling back.
    void close();
    /// Ends the stream without calling back, once all is written and the other end has closed or a moment has passed.
    void closeAfterFlush();

private:
    void read();
    bool deliverLines();
    void onWritten(std::size_t size);
    void end(close_reason reason);

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_closeTimer;
    std::size_t m_maxLineBytes;
    handlers m_handlers;
    std::array<char, 4096> m_buffer;
    std::string m_input;
    std::string m_pendingOutput;
    std::string m_writeBuffer;
    bool m_ended = false;
    bool m_reading = false;
    bool m_closing = false;
};

} // namespace mustardrouter
