#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace mustardrouter
{

/// A received HTTP request.
struct standin_request {
    std::string method;
    /// Path without the query.
    std::string path;
    std::map<std::string, std::string> parameters;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Answer to a request.
struct standin_answer {
    unsigned status = 200;
    std::string body;
    /// Nothing is sent, and the connection stays open.
    bool silent = false;
    /// The connection is closed without an answer.
    bool closes = false;
    /// Additional header lines, each with its terminator.
    std::string headers{};
    /// Rate at which the answer is sent; 0: at once.
    std::size_t bytesPerSecond = 0;
};

/// HTTP server whose requests are answered asynchronously. Runs on the thread of its context.
class standin_http
{
public:
    using responder = std::function<void(standin_answer)>;
    using handler = std::function<void(const standin_request &, responder)>;

    standin_http(asio::io_context &context, handler handle);

    /// Listens on a free loopback port; false if that fails.
    bool listen();
    /// IP:PORT.
    std::string address() const;

private:
    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    handler m_handle;
};

} // namespace mustardrouter
