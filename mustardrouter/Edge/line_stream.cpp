#include "mustardrouter/Edge/line_stream.h"

#include "mustardrouter/Edge/wire_lines.h"
#include "mustardrouter/Network/tcp_options.h"

#include <asio/post.hpp>

#include <utility>

namespace mustardrouter
{

namespace
{
/// Reading pauses while more unsent output than this is buffered, since the peer does not read its replies.
constexpr std::size_t maxPendingOutputBytes = 256U << 10;
/// Empty buffers with a larger capacity are shrunk.
constexpr std::size_t retainedCapacityBytes = 8U << 10;
/// Time that closeAfterFlush waits for the peer to close once the output is sent, and before that for it to take some of the output. The
/// second one is longer as a peer frees a good part of the socket buffer before more is taken.
constexpr auto closeTimeout = std::chrono::milliseconds(1000);
constexpr auto outputTimeout = std::chrono::milliseconds(5000);
} // namespace

line_stream::line_stream(asio::ip::tcp::socket socket, std::size_t maxLineBytes, handlers callbacks)
    : m_socket(std::move(socket))
    , m_closeTimer(m_socket.get_executor())
    , m_maxLineBytes(maxLineBytes)
    , m_handlers(std::move(callbacks))
{
}

void line_stream::start()
{
    setTcpOptions(m_socket);
    read();
}

void line_stream::connect(const asio::ip::tcp::endpoint &to, std::string startupMessage)
{
    m_socket.async_connect(to, [self = shared_from_this(), startupMessage = std::move(startupMessage)](const asio::error_code &problem) {
        if (self->m_ended) {
            return;
        }
        if (problem) {
            self->end(close_reason::closed);
            return;
        }
        self->start();
        self->m_pendingOutput.insert(0, startupMessage);
        self->flush();
    });
}

void line_stream::pauseReading()
{
    m_paused = true;
}

void line_stream::resumeReading()
{
    if (!m_paused) {
        return;
    }
    m_paused = false;
    // The caller may be handling a line of this stream.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_ended && !self->m_closing && self->deliverLines()) {
            self->read();
        }
    });
}

std::string &line_stream::out()
{
    return m_pendingOutput;
}

std::size_t line_stream::unsentBytes() const
{
    return m_pendingOutput.size() + m_writeBuffer.size();
}

void line_stream::flush()
{
    if (m_ended || !m_writeBuffer.empty() || m_pendingOutput.empty() || !m_socket.is_open()) {
        return;
    }
    std::swap(m_writeBuffer, m_pendingOutput);
    // Most output fits into the socket buffer: one system call and no asynchronous completion.
    asio::error_code problem;
    if (!m_socket.non_blocking()) {
        m_socket.non_blocking(true, problem);
    }
    const std::size_t size = m_socket.write_some(asio::buffer(m_writeBuffer), problem);
    if (!problem && size == m_writeBuffer.size()) {
        onWritten(size);
        return;
    }
    if (problem && problem != asio::error::would_block) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->end(close_reason::closed);
        });
        return;
    }
    m_writeBuffer.erase(0, problem ? 0 : size);
    writeRest();
}

void line_stream::writeRest()
{
    m_socket.async_write_some(asio::buffer(m_writeBuffer), [self = shared_from_this()](const asio::error_code &problem, std::size_t sent) {
        if (problem) {
            self->end(close_reason::closed);
            return;
        }
        if (sent < self->m_writeBuffer.size()) {
            self->m_writeBuffer.erase(0, sent);
            self->writeRest();
            return;
        }
        self->onWritten(sent);
        self->flush();
    });
}

void line_stream::onWritten(std::size_t)
{
    m_writeBuffer.clear();
    if (m_writeBuffer.capacity() > retainedCapacityBytes) {
        m_writeBuffer.shrink_to_fit();
    }
    if (m_closing && m_pendingOutput.empty()) {
        asio::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        awaitClose();
        return;
    }
    if (!m_reading && !m_ended) {
        read();
    }
}

void line_stream::read()
{
    // A flush in the line handler may have started a read already; a second one would overwrite the buffer of the first.
    if (m_reading || m_ended || (m_paused && !m_closing)) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const asio::error_code &problem, std::size_t size) {
        self->m_reading = false;
        if (self->m_ended) {
            return;
        }
        if (problem) {
            self->end(close_reason::closed);
            return;
        }
        if (self->m_closing) {
            self->read();
            return;
        }
        self->m_input.append(self->m_buffer.data(), size);
        if (self->deliverLines() && self->m_pendingOutput.size() + self->m_writeBuffer.size() < maxPendingOutputBytes) {
            self->read();
        }
    });
}

bool line_stream::deliverLines()
{
    // A handler may close the stream and drop the last reference to it.
    const auto self = shared_from_this();
    std::string_view unread = m_input;
    while (!m_ended && !m_closing && !m_paused) {
        const std::optional<std::string_view> line = takeLine(unread, m_searched);
        if (!line) {
            break;
        }
        m_handlers.onLine(*line);
    }
    m_input.erase(0, m_input.size() - unread.size());
    if (m_input.empty() && m_input.capacity() > retainedCapacityBytes) {
        m_input.shrink_to_fit();
    }
    if (!m_ended && !m_closing && !m_paused && m_input.size() >= m_maxLineBytes) {
        end(close_reason::lineTooLong);
    }
    return !m_ended;
}

void line_stream::close()
{
    m_ended = true;
    m_closeTimer.cancel();
    asio::error_code ignored;
    m_socket.close(ignored);
}

void line_stream::closeAfterFlush()
{
    if (m_ended || m_closing) {
        return;
    }
    m_closing = true;
    m_handlers = {};
    flush();
    awaitClose();
    if (m_writeBuffer.empty() && m_pendingOutput.empty()) {
        asio::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }
    if (!m_reading) {
        read();
    }
}

void line_stream::awaitClose()
{
    m_closeTimer.expires_after(unsentBytes() > 0 ? outputTimeout : closeTimeout);
    m_closeTimer.async_wait([self = shared_from_this(), unsentBefore = unsentBytes()](const asio::error_code &problem) {
        if (problem) {
            return;
        }
        if (self->unsentBytes() < unsentBefore) {
            self->awaitClose();
            return;
        }
        self->close();
    });
}

void line_stream::end(close_reason reason)
{
    if (m_ended) {
        return;
    }
    if (reason == close_reason::closed || m_closing) {
        close();
    }
    const auto callback = std::exchange(m_handlers.onEnd, nullptr);
    if (callback) {
        callback(reason);
    }
}

} // namespace mustardrouter
