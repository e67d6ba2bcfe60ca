#include "mustardrouter/Edge/line_stream.h"

#include "mustardrouter/Network/socket_liveness.h"

#include <asio/write.hpp>

#include <utility>

namespace mustardrouter
{

namespace
{
/// Nothing more is read while so much waits to be written: the other end does not read, in bytes.
constexpr std::size_t outLimit = 256U << 10;
/// Buffers above this size are given back when empty, in bytes.
constexpr std::size_t keptCapacity = 8U << 10;
/// A gentle close waits so long for the other end.
constexpr auto gentlePatience = std::chrono::milliseconds(1000);
} // namespace

line_stream::line_stream(asio::ip::tcp::socket socket, std::size_t longest, handlers callbacks)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_longest(longest)
    , m_handlers(std::move(callbacks))
{
}

void line_stream::start()
{
    setTcpOptions(m_socket);
    read();
}

void line_stream::connect(const asio::ip::tcp::endpoint &to, std::string hello)
{
    m_socket.async_connect(to, [self = shared_from_this(), hello = std::move(hello)](const asio::error_code &problem) {
        if (self->m_ended) {
            return;
        }
        if (problem) {
            self->end(close_reason::closed);
            return;
        }
        self->start();
        self->m_out.insert(0, hello);
        self->flush();
    });
}

std::string &line_stream::out()
{
    return m_out;
}

void line_stream::flush()
{
    if (m_ended || !m_writing.empty() || m_out.empty() || !m_socket.is_open()) {
        return;
    }
    std::swap(m_writing, m_out);
    // Most packets fit at once: one system call and no wake-up.
    asio::error_code problem;
    if (!m_socket.non_blocking()) {
        m_socket.non_blocking(true, problem);
    }
    const std::size_t size = m_socket.write_some(asio::buffer(m_writing), problem);
    if (!problem && size == m_writing.size()) {
        written(size);
        return;
    }
    if (problem && problem != asio::error::would_block) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->end(close_reason::closed);
        });
        return;
    }
    m_writing.erase(0, problem ? 0 : size);
    asio::async_write(m_socket, asio::buffer(m_writing), [self = shared_from_this()](const asio::error_code &wrong, std::size_t sent) {
        if (wrong) {
            self->end(close_reason::closed);
            return;
        }
        self->written(sent);
        self->flush();
    });
}

void line_stream::written(std::size_t)
{
    m_writing.clear();
    if (m_writing.capacity() > keptCapacity) {
        m_writing.shrink_to_fit();
    }
    if (m_closing && m_out.empty()) {
        asio::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        return;
    }
    if (!m_reading && !m_ended) {
        read();
    }
}

void line_stream::read()
{
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
        self->m_in.append(self->m_buffer.data(), size);
        if (self->takeLines() && self->m_out.size() + self->m_writing.size() < outLimit) {
            self->read();
        }
    });
}

bool line_stream::takeLines()
{
    // The handlers may end the stream, and so destroy what they were called from.
    const auto self = shared_from_this();
    std::size_t taken = 0;
    while (!m_ended && !m_closing) {
        const std::size_t found = m_in.find('\n', taken);
        if (found == std::string::npos) {
            break;
        }
        std::string_view line(m_in.data() + taken, found - taken);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        taken = found + 1;
        m_handlers.onLine(line);
    }
    m_in.erase(0, taken);
    if (m_in.empty() && m_in.capacity() > keptCapacity) {
        m_in.shrink_to_fit();
    }
    if (!m_ended && !m_closing && m_in.size() >= m_longest) {
        end(close_reason::lineTooLong);
    }
    return !m_ended;
}

void line_stream::close()
{
    m_ended = true;
    m_timer.cancel();
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
    m_timer.expires_after(gentlePatience);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &) {
        self->close();
    });
    flush();
    if (m_writing.empty() && m_out.empty()) {
        asio::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }
    if (!m_reading) {
        read();
    }
}

void line_stream::end(close_reason why)
{
    if (m_ended) {
        return;
    }
    if (why == close_reason::closed || m_closing) {
        close();
    }
    const auto callback = std::exchange(m_handlers.onEnd, nullptr);
    if (callback) {
        callback(why);
    }
}

} // namespace mustardrouter
