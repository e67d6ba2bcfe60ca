#include "mustardrouter/Edge/instance_registration.h"

#include "platform/store_client.h"

#include <utility>

namespace mustardrouter
{

namespace
{

/// Pause before a failed write is repeated, plus up to as much again.
constexpr std::uint64_t retryPauseMs = 500;

} // namespace

instance_registration::instance_registration(
    asio::io_context &context, const std::string &storeAddress, store_history &history, listed_instance self, std::uint64_t seed)
    : m_context(context)
    , m_history(history)
    , m_client(std::make_shared<platform::http_client>(context, storeAddress))
    , m_timer(context)
    , m_self(std::move(self))
    , m_random(seed)
{
}

void instance_registration::onListed(const std::optional<listed_instance> &listed)
{
    m_exists = listed.has_value();
    m_upToDate = listed == m_self;
    if (!m_upToDate) {
        write();
    }
}

void instance_registration::announceLeaving()
{
    m_self.leaving = true;
    m_upToDate = false;
    write();
}

bool instance_registration::isLeaving() const
{
    return m_self.leaving;
}

std::uint64_t instance_registration::writes() const
{
    return m_writes;
}

void instance_registration::setStoreAddress(const std::string &storeAddress)
{
    m_client->close();
    m_client = std::make_shared<platform::http_client>(m_context, storeAddress);
    m_writing = false;
}

void instance_registration::write()
{
    if (m_writing) {
        return;
    }
    m_writing = true;
    const listed_instance written = m_self;
    m_client->call(platform::writeInstanceRequest(written, m_exists), [this, written](const platform::http_response &response) {
        m_writing = false;
        const bool current = m_history.accept(response).has_value();
        const platform::request_outcome outcome =
            current ? platform::outcomeOfStatus(response.status) : platform::request_outcome::noResponse;
        m_upToDate = outcome == platform::request_outcome::done && written == m_self;
        m_writes += m_upToDate ? 1 : 0;
        if (outcome == platform::request_outcome::done || outcome == platform::request_outcome::conflict) {
            m_exists = true;
        } else if (outcome == platform::request_outcome::notFound) {
            m_exists = false;
        }
        if (!m_upToDate) {
            scheduleRetry();
        }
    });
}

void instance_registration::scheduleRetry()
{
    m_timer.expires_after(std::chrono::milliseconds(retryPauseMs + m_random() % retryPauseMs));
    m_timer.async_wait([this](const asio::error_code &problem) {
        if (!problem && !m_upToDate) {
            write();
        }
    });
}

} // namespace mustardrouter
