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

/// What a relay does to the bytes that pass it.
struct relay_faults {
    /// Each piece is held back for so long.
    std::chrono::milliseconds delay{0};
    /// Bytes of one direction are kept back until this ends.
    bool holdsRequests = false;
    bool holdsAnswers = false;
    /// Bytes go on in pieces of a few.
    bool trickles = false;
    /// New connections are reset.
    bool refuses = false;
};

/// A loopback relay between one caller and one address, which harms what passes it. On the thread of its context.
class fault_relay
{
public:
    fault_relay(asio::io_context &context, std::string target);
    ~fault_relay();

    /// Listens on a free port of loopback; false when that is not possible.
    bool listen();
    /// IP:PORT at which callers connect.
    std::string address() const;
    /// Where connections made from now on lead to.
    void setTarget(const std::string &target);
    relay_faults &faults();
    /// Resets all open connections, at both ends.
    void resetAll();
    /// Open connections carry nothing any more, without a word to either end; the target drops them after 3 s.
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
