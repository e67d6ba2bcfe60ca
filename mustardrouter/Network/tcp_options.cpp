#include "mustardrouter/Network/tcp_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>

namespace mustardrouter
{

namespace
{

/// TCP_USER_TIMEOUT: closes the connection when sent data stays unacknowledged for this long.
constexpr int userTimeoutMs = 2500;
/// TCP keepalive: an idle connection is probed after the idle time, then at the interval, and closed after
/// keepAliveProbes unanswered probes.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;

void set(int handle, int level, int name, int value)
{
    // Errors are ignored: without the option, the timeouts of the layers above still apply.
    (void)::setsockopt(handle, level, name, &value, sizeof value);
}

} // namespace

void setTcpOptions(asio::ip::tcp::socket &socket)
{
    const int handle = socket.native_handle();
    set(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    set(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    set(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    set(handle, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    set(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMs);
}

asio::ip::tcp::endpoint endpointOrUnspecified(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return {};
    }
    std::uint16_t port = 0;
    const auto [end, portProblem] = std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    asio::error_code problem;
    const asio::ip::address ip = asio::ip::make_address(address.substr(0, colon), problem);
    if (problem || portProblem != std::errc() || end != address.data() + address.size()) {
        return {};
    }
    return {ip, port};
}

} // namespace mustardrouter
