#include "mustardrouter/Edge/store_history.h"

#include <utility>

namespace mustardrouter
{

store_history::store_history(handlers callbacks)
    : m_handlers(std::move(callbacks))
{
}

store_era store_history::era() const
{
    return m_era.value_or(store_era{});
}

void store_history::forget()
{
    m_era.reset();
    m_missing = false;
}

std::optional<store_era> store_history::accept(const platform::http_response &response)
{
    if (response.status == 0) {
        return era();
    }
    if (!response.era) {
        if (m_era && !std::exchange(m_missing, true)) {
            m_handlers.onMissing();
        }
        return era();
    }
    m_missing = false;
    if (m_era && *response.era < *m_era) {
        return std::nullopt;
    }
    learn(*response.era);
    return m_era;
}

void store_history::learn(store_era era)
{
    if (m_era && era <= *m_era) {
        return;
    }
    const std::optional<store_era> before = std::exchange(m_era, era);
    if (!before) {
        m_handlers.onFirstEra(era);
    } else {
        m_handlers.onLost(*before, era);
    }
}

} // namespace mustardrouter
