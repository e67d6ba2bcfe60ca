#pragma once

#include "mustardrouter/Edge/store_history.h"
#include "mustardrouter/Proxy/listed_instance.h"
#include "platform/http_client.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <random>

namespace mustardrouter
{

/// Keeps this instance's entry in the platform's store: writes it when the list shows none or another one, which costs a call only
/// after a first start, a move, or a loss of the entry. Writes that fail are repeated with backoff and jitter.
class instance_registration
{
public:
    instance_registration(
        asio::io_context &context, const std::string &storeAddress, store_history &history, listed_instance self, std::uint64_t seed);

    /// The list of instances was read; `listed` is this instance's entry in it.
    void onListed(const std::optional<listed_instance> &listed);
    /// This instance stops: other instances are to stop relaying to it.
    void announceLeaving();
    /// Whether other instances were told that this one stops.
    bool isLeaving() const;
    /// Number of writes that were confirmed.
    std::uint64_t writes() const;
    void setStoreAddress(const std::string &storeAddress);

private:
    void write();
    void scheduleRetry();

    asio::io_context &m_context;
    store_history &m_history;
    std::shared_ptr<platform::http_client> m_client;
    asio::steady_timer m_timer;
    listed_instance m_self;
    std::mt19937_64 m_random;
    bool m_exists = false;
    bool m_writing = false;
    bool m_upToDate = false;
    std::uint64_t m_writes = 0;
};

} // namespace mustardrouter
