#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace mustardrouter
{

/// Faults that a relay applies to its connections.
struct relay_faults {
    /// Added before each piece is forwarded.
    std::chrono::milliseconds delay{0};
    /// Bytes of one direction are held back while set.
    bool holdsRequests = false;
    bool holdsAnswers = false;
    /// Bytes are forwarded a few at a time.
    bool trickles = false;
    /// New connections are reset.
    bool refuses = false;
};

/// A TCP relay on loopback in front of one target address, which injects faults. Runs on the thread of its context.
class fault_relay
{
public:
    fault_relay(asio::io_context &context, std::string target);
    ~fault_relay();

    /// Listens on a free port; false if that fails.
    bool listen();
    /// IP:PORT that callers connect to.
    std::string address() const;
    /// Sets the target of connections accepted from now on.
    void setTarget(const std::string &target);
    relay_faults &faults();
    /// Resets all open connections at both ends.
    void resetAll();
    /// Drops all further bytes of open connections without closing them; the target's end is reset after 3 s.
    void blackholeAll();

private:
    class relayed_connection;

    void accept();

    asio::io_context &m_context;
    std::string m_target;
    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<relay_faults> m_faults;
    std::list<std::weak_ptr<relayed_connection>> m_connections;
};

} // namespace mustardrouter
