#include "mustardrouter/Edge/limit_links.h"

#include "mustardrouter/Edge/limit_codec.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mustardrouter
{

namespace
{

/// A link on which requests are not answered for this long is replaced: after a cut, TCP sends again only after many seconds.
constexpr duration unansweredFor = std::chrono::milliseconds(1200);

} // namespace

limit_links::limit_links(relay_links &links, handlers callbacks)
    : m_links(links)
    , m_handlers(std::move(callbacks))
{
}

void limit_links::send(const send_limit_message &sent, const instance_listing &instances, time_point now)
{
    if (isReply(sent.message)) {
        const auto link = m_incoming.find(sent.to);
        if (link != m_incoming.end()) {
            m_links.sendOnIncoming(link->second, encodeLimitMessage(sent.message));
        }
        return;
    }
    const auto listed = std::ranges::find(instances, sent.to, &listed_instance::name);
    if (listed == instances.end() || listed->relayAddress.empty()) {
        return;
    }
    peer &to = m_peers[sent.to];
    if (std::exchange(to.address, listed->relayAddress) != listed->relayAddress) {
        to.unansweredSince = {};
    }
    const bool isAnswered = !std::holds_alternative<limit_return>(sent.message.content);
    if (to.unansweredSince != time_point{} && now - to.unansweredSince >= unansweredFor) {
        to.unansweredSince = {};
        // A link with channels is judged by the statements on them.
        if (!m_links.hasChannels(to.address)) {
            m_links.dropLink(to.address);
        }
    }
    if (isAnswered && to.unansweredSince == time_point{}) {
        to.unansweredSince = now;
    }
    m_links.sendToPeer(to.address, encodeLimitMessage(sent.message));
}

void limit_links::onPeerMessage(const std::string &address, const relay::relay_message &message)
{
    if (!message.has_limit()) {
        return;
    }
    const std::optional<limit_message> decoded = decodeLimitMessage(message.limit());
    if (!decoded) {
        return;
    }
    const auto found = m_peers.find(decoded->from);
    if (found != m_peers.end()) {
        found->second.unansweredSince = {};
    }
    m_handlers.onMessage(*decoded);
    if (std::holds_alternative<limit_join_known>(decoded->content) && !m_links.hasChannels(address)) {
        // Most instances that are told of a join need no link afterwards.
        m_links.dropLink(address);
    }
}

void limit_links::onIncomingMessage(std::uint64_t link, const relay::relay_message &message)
{
    if (!message.has_limit()) {
        return;
    }
    if (const std::optional<limit_message> decoded = decodeLimitMessage(message.limit())) {
        m_incoming[decoded->from] = link;
        m_handlers.onMessage(*decoded);
    }
}

void limit_links::onPeerLost(const std::string &address)
{
    std::vector<instance_name> lost;
    for (auto &[name, peer] : m_peers) {
        if (peer.address == address) {
            lost.push_back(name);
        }
    }
    for (const instance_name &name : lost) {
        m_handlers.onLost(name);
    }
}

void limit_links::onIncomingLost(std::uint64_t link)
{
    std::erase_if(m_incoming, [&](const auto &entry) {
        return entry.second == link;
    });
}

} // namespace mustardrouter
