#pragma once

#include <algorithm>

namespace mustardrouter
{

/// Tokens that successes earn and retries spend, so that retries stay a fixed share of the load.
struct retry_budget {
    double tokens = 10;
};

/// Greatest number of saved retries.
constexpr double maxRetryTokens = 100;

/// Earns a share of a retry for a request that succeeded.
inline void earnRetry(retry_budget &budget, double share)
{
    budget.tokens = std::min(maxRetryTokens, budget.tokens + share);
}

/// Spends one retry; false when there is none.
inline bool spendRetry(retry_budget &budget)
{
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

} // namespace mustardrouter
