#pragma once

#include <algorithm>

namespace mustardrouter
{

/// Token bucket that successes fill and retries drain, so that retries stay a fixed share of the load.
struct retry_budget {
    double tokens = 10;
};

/// Capacity of the token bucket.
constexpr double maxRetryTokens = 100;

/// Adds the tokens for one request that succeeded.
inline void earnRetry(retry_budget &budget, double share)
{
    budget.tokens = std::min(maxRetryTokens, budget.tokens + share);
}

/// Removes the token for one retry; false if there is none.
inline bool spendRetry(retry_budget &budget)
{
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

} // namespace mustardrouter
