#include "mustardrouter/Network/frame_listener.h"

#include "mustardrouter/Network/endpoint.h"

namespace mustardrouter
{

frame_listener::frame_listener(asio::io_context &context, accept_handler onAccept)
    : m_acceptor(context)
    , m_onAccept(std::move(onAccept))
{
}

result_of<void> frame_listener::listen(const std::string &address)
{
    BOOST_LEAF_AUTO(endpoint, parseEndpoint(address));
    asio::error_code code;
    m_acceptor.open(endpoint.protocol(), code);
    if (!code) {
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), code);
        m_acceptor.bind(endpoint, code);
    }
    if (!code) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, code);
    }
    if (code) {
        return fail(failure::addressUnavailable, address + ": " + code.message());
    }
    acceptNext();
    return {};
}

void frame_listener::stop()
{
    asio::error_code ignored;
    m_acceptor.close(ignored);
}

std::string frame_listener::address() const
{
    asio::error_code code;
    const asio::ip::tcp::endpoint endpoint = m_acceptor.local_endpoint(code);
    return code ? std::string() : toString(endpoint);
}

void frame_listener::acceptNext()
{
    m_acceptor.async_accept([this](const asio::error_code &code, asio::ip::tcp::socket socket) {
        if (code == asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (!code) {
            m_onAccept(std::make_shared<frame_connection>(std::move(socket)));
        }
        acceptNext();
    });
}

} // namespace mustardrouter
