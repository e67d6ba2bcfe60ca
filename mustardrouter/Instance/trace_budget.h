#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>

namespace mustardrouter
{

/// Limits the number of traces in each second, so that a burst of failures does not make tracing expensive.
class trace_budget
{
public:
    explicit trace_budget(std::uint32_t perSecond)
        : m_perSecond(perSecond)
    {
    }

    /// Takes one trace from the budget; returns false when this second's budget is spent.
    bool spend(time_point now)
    {
        if (now - m_since >= std::chrono::seconds(1)) {
            m_since = now;
            m_spent = 0;
        }
        if (m_spent == m_perSecond) {
            return false;
        }
        ++m_spent;
        return true;
    }

private:
    std::uint32_t m_perSecond;
    std::uint32_t m_spent = 0;
    time_point m_since{};
};

} // namespace mustardrouter
