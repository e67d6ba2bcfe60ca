#include "mustardrouter/PlatformStandIn/loopback_listener.h"

namespace mustardrouter
{

bool listenOnLoopback(asio::ip::tcp::acceptor &acceptor, std::uint16_t port)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), port);
    asio::error_code problem;
    acceptor.open(endpoint.protocol(), problem);
    acceptor.set_option(asio::socket_base::reuse_address(true), problem);
    acceptor.bind(endpoint, problem);
    if (!problem) {
        acceptor.listen(asio::socket_base::max_listen_connections, problem);
    }
    return !problem;
}

std::string addressOf(const asio::ip::tcp::acceptor &acceptor)
{
    asio::error_code ignored;
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint(ignored).port());
}

} // namespace mustardrouter
