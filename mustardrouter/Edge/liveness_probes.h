#pragma once

#include "mustardrouter/Edge/relay_links.h"
#include "mustardrouter/Edge/store_history.h"
#include "mustardrouter/Membership/instance_liveness.h"
#include "mustardrouter/Proxy/listed_instance.h"
#include "mustardrouter/Runtime/event_log.h"
#include "mustardrouter/Schema/relay.pb.h"
#include "platform/http_client.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace mustardrouter
{

/// Probes other instances over the links to them, and marks and removes the entries of lost ones in the platform's store; see
/// Membership/instance_liveness.h for the decisions.
class liveness_probes
{
public:
    liveness_probes(asio::io_context &context,
                    relay_links &links,
                    const std::string &storeAddress,
                    store_history &history,
                    event_log &log,
                    instance_name self,
                    std::uint64_t seed);

    /// The list of instances was read or has changed; with the position of each entry's last change.
    void onListed(const instance_listing &instances, const std::map<instance_name, store_position> &positions);
    /// A message on a link that this instance has opened, or on one that another has.
    void onPeerMessage(const relay::liveness_probe &message);
    void onIncomingMessage(std::uint64_t link, const relay::liveness_probe &message);
    void setStoreAddress(const std::string &storeAddress);
    void stop();

    /// Marks and removals of entries that the store has confirmed.
    std::uint64_t marks() const;
    std::uint64_t removals() const;

private:
    struct entry_write {
        instance_entry entry;
        bool removes = false;
    };

    void scheduleRound(duration wait);
    void runRound();
    void probe(const instance_entry &entry);
    /// Carries out the next write, one at a time.
    void writeNext();
    void onWritten(const entry_write &written, const platform::http_response &response);

    asio::io_context &m_context;
    relay_links &m_links;
    std::shared_ptr<platform::http_client> m_client;
    store_history &m_history;
    event_log &m_log;
    asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    instance_liveness m_liveness;
    std::map<instance_name, listed_instance> m_listed;
    std::deque<entry_write> m_writes;
    bool m_writing = false;
    bool m_started = false;
    bool m_stopped = false;
    std::uint64_t m_marks = 0;
    std::uint64_t m_removals = 0;
};

} // namespace mustardrouter
