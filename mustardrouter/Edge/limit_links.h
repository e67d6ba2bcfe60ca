#pragma once

#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Edge/relay_links.h"
#include "mustardrouter/Proxy/listed_instance.h"
#include "mustardrouter/Workspaces/limit_action.h"

#include <functional>
#include <map>
#include <string>

namespace mustardrouter
{

/// Carries the messages about the limits of workspaces over the links between instances. Requests go out on this instance's own link
/// to the other one, and replies go back on the link of the request. Not thread-safe.
class limit_links
{
public:
    struct handlers {
        std::function<void(const limit_message &)> onMessage;
        /// The link to the instance was lost.
        std::function<void(const instance_name &)> onLost;
    };

    limit_links(relay_links &links, handlers callbacks);

    /// A message to an instance that is not among `instances` is lost.
    void send(const send_limit_message &sent, const instance_listing &instances, time_point now);

    void onPeerMessage(const std::string &address, const relay::relay_message &message);
    void onIncomingMessage(std::uint64_t link, const relay::relay_message &message);
    void onPeerLost(const std::string &address);
    void onIncomingLost(std::uint64_t link);

private:
    struct peer {
        std::string address;
        /// When the first request was sent since the last message from it; the epoch when there is none.
        time_point unansweredSince{};
    };

    relay_links &m_links;
    handlers m_handlers;
    std::map<instance_name, peer> m_peers;
    std::map<instance_name, std::uint64_t> m_incoming;
};

} // namespace mustardrouter
