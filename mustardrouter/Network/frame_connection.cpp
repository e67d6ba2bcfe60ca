#include "mustardrouter/Network/frame_connection.h"

#include "mustardrouter/Network/tcp_options.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/util/delimited_message_util.h>

#include <array>

namespace mustardrouter
{

namespace
{

constexpr std::size_t readBlockBytes = 4096;
constexpr std::size_t maxPrefixBytes = 5;

/// Read buffer shared by all connections of a thread, so that an idle connection uses little memory.
std::array<char, 16 * readBlockBytes> &readBuffer()
{
    thread_local std::array<char, 16 * readBlockBytes> buffer;
    return buffer;
}

} // namespace

frame_connection::frame_connection(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
{
}

void frame_connection::start(frame_handler onFrame, close_handler onClose)
{
    m_onFrame = std::move(onFrame);
    m_onClose = std::move(onClose);
    m_connected = true;
    asio::error_code ignored;
    setTcpOptions(m_socket);
    m_socket.non_blocking(true, ignored);
    startRead();
    startWrite();
}

void frame_connection::connect(const asio::ip::tcp::endpoint &endpoint,
                               frame_handler onFrame,
                               close_handler onClose,
                               std::function<void()> onConnected)
{
    m_onClose = std::move(onClose);
    m_socket.async_connect(endpoint,
                           [self = shared_from_this(), handler = std::move(onFrame), onConnected = std::move(onConnected)](
                               const asio::error_code &code) mutable {
                               if (self->m_closed) {
                                   return;
                               }
                               if (code) {
                                   self->close(failure::addressUnavailable);
                                   return;
                               }
                               self->start(std::move(handler), std::move(self->m_onClose));
                               if (onConnected) {
                                   onConnected();
                               }
                           });
}

void frame_connection::send(const google::protobuf::MessageLite &message)
{
    if (m_closed) {
        return;
    }
    const std::size_t size = message.ByteSizeLong();
    std::array<std::uint8_t, 2 * maxPrefixBytes> prefix{};
    const std::uint8_t *end =
        google::protobuf::io::CodedOutputStream::WriteVarint32ToArray(static_cast<std::uint32_t>(size), prefix.data());
    m_outgoing.append(reinterpret_cast<const char *>(prefix.data()), static_cast<std::size_t>(end - prefix.data()));
    message.AppendToString(&m_outgoing);
    if (unsentBytes() > maxUnsentBytes) {
        close(failure::overloaded);
        return;
    }
    scheduleWrite();
}

/// Defers the write so that frames queued within one handler are sent with one system call.
void frame_connection::scheduleWrite()
{
    if (m_writePosted) {
        return;
    }
    m_writePosted = true;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_writePosted = false;
        self->startWrite();
    });
}

void frame_connection::close(failure cause)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    asio::error_code ignored;
    m_socket.close(ignored);
    const close_handler handler = std::move(m_onClose);
    m_onClose = nullptr;
    if (handler) {
        handler(*this, cause);
    }
}

void frame_connection::pauseReading(bool paused)
{
    m_paused = paused;
    if (!paused) {
        startRead();
    }
}

void frame_connection::startRead()
{
    if (m_closed || m_paused || m_reading || !m_connected) {
        return;
    }
    m_reading = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code &code) {
        self->m_reading = false;
        if (self->m_closed) {
            return;
        }
        if (code) {
            self->close(failure::connectionLost);
            return;
        }
        asio::error_code problem;
        const std::size_t count = self->m_socket.read_some(asio::buffer(readBuffer()), problem);
        if (problem == asio::error::would_block) {
            self->startRead();
            return;
        }
        if (problem) {
            self->close(failure::connectionLost);
            return;
        }
        self->onBytesRead(count);
    });
}

void frame_connection::onBytesRead(std::size_t count)
{
    m_incoming.append(readBuffer().data(), count);
    if (processFrames()) {
        startRead();
    }
}

bool frame_connection::processFrames()
{
    std::size_t consumedBytes = 0;
    while (!m_closed) {
        const std::string_view rest = std::string_view(m_incoming).substr(consumedBytes);
        const frame_read read = readFrame(rest);
        if (read.state == frame_state::invalid) {
            close(read.cause);
            return false;
        }
        if (read.state == frame_state::partial) {
            break;
        }
        m_onFrame(*this, read.payload);
        consumedBytes += read.consumedBytes;
    }
    m_incoming.erase(0, consumedBytes);
    if (m_incoming.empty() && m_incoming.capacity() > readBlockBytes) {
        m_incoming = std::string();
    }
    return !m_closed;
}

void frame_connection::startWrite()
{
    if (!m_connected || m_closed || !m_writing.empty() || m_outgoing.empty()) {
        return;
    }
    std::swap(m_writing, m_outgoing);
    asio::async_write(m_socket, asio::buffer(m_writing), [self = shared_from_this()](const asio::error_code &code, std::size_t) {
        self->m_writing.clear();
        if (self->m_writing.capacity() > readBlockBytes) {
            self->m_writing = std::string();
        }
        if (self->m_closed) {
            return;
        }
        if (code) {
            self->close(failure::connectionLost);
            return;
        }
        self->startWrite();
    });
}

} // namespace mustardrouter
