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
    const std::optional<store_era> before = std::exchange(m_era, response.era);
    if (!before) {
        m_handlers.onFirstEra(*m_era);
    } else if (*before < *m_era) {
        m_handlers.onLost(*before, *m_era);
    }
    return m_era;
}

} // namespace mustardrouter
