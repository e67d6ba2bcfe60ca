#include "mustardrouter/Network/endpoint.h"

#include <charconv>
#include <cstdint>

namespace mustardrouter
{

result_of<asio::ip::tcp::endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return fail(failure::addressUnavailable, "\"" + text + "\" is not IP:PORT");
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    const auto [end, problem] = std::from_chars(first, last, port);
    asio::error_code code;
    const asio::ip::address address = asio::ip::make_address(host, code);
    if (code || problem != std::errc{} || end != last) {
        return fail(failure::addressUnavailable, "\"" + text + "\" is not IP:PORT");
    }
    return asio::ip::tcp::endpoint(address, port);
}

std::string toString(const asio::ip::tcp::endpoint &endpoint)
{
    const std::string host = endpoint.address().to_string();
    const std::string shown = endpoint.address().is_v6() ? "[" + host + "]" : host;
    return shown + ":" + std::to_string(endpoint.port());
}

} // namespace mustardrouter
