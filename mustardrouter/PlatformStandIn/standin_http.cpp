#include "mustardrouter/PlatformStandIn/standin_http.h"

#include "mustardrouter/PlatformStandIn/loopback_listener.h"

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <utility>

namespace mustardrouter
{

namespace http = boost::beast::http;

namespace
{

constexpr std::size_t readBytes = 4096;
/// Pause between the parts of an answer that is sent at a limited rate.
constexpr std::chrono::milliseconds partInterval{10};

standin_request toRequest(const http::request<http::string_body> &raw)
{
    standin_request request;
    request.method = std::string(raw.method_string());
    request.body = raw.body();
    std::string target(raw.target());
    const std::size_t queryStart = target.find('?');
    request.path = target.substr(0, queryStart);
    std::string query = queryStart == std::string::npos ? std::string() : target.substr(queryStart + 1);
    while (!query.empty()) {
        const std::size_t end = query.find('&');
        const std::string pair = query.substr(0, end);
        query.erase(0, end == std::string::npos ? query.size() : end + 1);
        const std::size_t equals = pair.find('=');
        request.parameters[pair.substr(0, equals)] = equals == std::string::npos ? std::string() : pair.substr(equals + 1);
    }
    for (const auto &field : raw) {
        request.headers[std::string(field.name_string())] = std::string(field.value());
    }
    return request;
}

/// Connection of one HTTP client.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(asio::ip::tcp::socket socket, const standin_http::handler &handle)
        : m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_handle(handle)
    {
    }

    void receive()
    {
        m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const asio::error_code &problem, std::size_t size) {
            if (!problem) {
                self->m_pending.append(self->m_buffer.data(), size);
                self->handlePending();
            }
        });
    }

private:
    void handlePending()
    {
        http::request_parser<http::string_body> parser;
        parser.eager(true);
        boost::system::error_code parseError;
        const std::size_t used = parser.put(boost::asio::const_buffer(m_pending.data(), m_pending.size()), parseError);
        if (parseError && parseError != http::error::need_more) {
            return;
        }
        if (!parser.is_done()) {
            receive();
            return;
        }
        m_pending.erase(0, used);
        m_handle(toRequest(parser.get()), [self = shared_from_this()](const standin_answer &answer) {
            self->answer(answer);
        });
    }

    void answer(const standin_answer &response)
    {
        asio::error_code ignored;
        if (response.closes) {
            m_socket.close(ignored);
            return;
        }
        if (response.silent) {
            // Reads on, so that the connection stays open until the client closes it.
            m_pending.clear();
            receive();
            return;
        }
        m_out = "HTTP/1.1 " + std::to_string(response.status) + " -\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(response.body.size()) + "\r\n" + response.headers + "\r\n" + response.body;
        const std::size_t intervalsPerSecond = std::chrono::seconds(1) / partInterval;
        m_partBytes = response.bytesPerSecond > 0 ? std::max<std::size_t>(1, response.bytesPerSecond / intervalsPerSecond) : m_out.size();
        sendPart(0);
    }

    void sendPart(std::size_t sent)
    {
        const std::size_t size = std::min(m_partBytes, m_out.size() - sent);
        asio::async_write(m_socket,
                          asio::buffer(m_out.data() + sent, size),
                          [self = shared_from_this(), sent, size](const asio::error_code &problem, std::size_t) {
                              if (!problem) {
                                  self->onPartSent(sent + size);
                              }
                          });
    }

    void onPartSent(std::size_t sent)
    {
        if (sent == m_out.size()) {
            receive();
            return;
        }
        m_timer.expires_after(partInterval);
        m_timer.async_wait([self = shared_from_this(), sent](const asio::error_code &problem) {
            if (!problem) {
                self->sendPart(sent);
            }
        });
    }

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    const standin_http::handler &m_handle;
    std::array<char, readBytes> m_buffer{};
    std::string m_pending;
    std::string m_out;
    std::size_t m_partBytes = 0;
};

} // namespace

standin_http::standin_http(asio::io_context &context, handler handle)
    : m_acceptor(context)
    , m_handle(std::move(handle))
{
}

bool standin_http::listen()
{
    if (!listenOnLoopback(m_acceptor)) {
        return false;
    }
    accept();
    return true;
}

std::string standin_http::address() const
{
    return addressOf(m_acceptor);
}

void standin_http::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &problem, asio::ip::tcp::socket socket) {
        if (problem == asio::error::operation_aborted) {
            return;
        }
        if (!problem) {
            std::make_shared<http_connection>(std::move(socket), m_handle)->receive();
        }
        accept();
    });
}

} // namespace mustardrouter
