#pragma once

#include "mustardrouter/Workspaces/limit_message.h"
#include "mustardrouter/Workspaces/limit_settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mustardrouter
{

/// Tokens of one reply.
struct held_tokens {
    time_point until{};
    std::uint32_t count = 0;
    bool spare = false;
    /// Tenure of the pool that granted them.
    std::uint64_t tenure = 0;
};

/// The use of one workspace by this instance.
struct limit_use {
    std::vector<held_tokens> tokens;
    /// Statements that wait for tokens, by a number of the caller's, and when they last asked.
    std::map<std::uint64_t, time_point> waiting;
    /// Stamp of the request that has not been replied to.
    std::optional<time_point> requested;
    /// No request is sent before.
    time_point askNotBefore{};
    /// Until then statements are refused without a request.
    time_point refusedUntil{};
    /// When the next token will be there, as the pool said.
    time_point tokenAt{};
    /// Moving average of the operations a second, up to when it was computed.
    double demand = 0;
    time_point demandAt{};
    /// Spare tokens of one tenure that were used and not yet reported.
    std::uint32_t spareUsed = 0;
    /// The same that were given up unused.
    std::uint32_t spareReturned = 0;
    std::uint64_t spareTenure = 0;
    /// Refused since the limit was reached; the limit is not reached while there is no time.
    std::uint64_t refused = 0;
    std::optional<time_point> lastRefusedAt;
    /// Operations that were sent since the start of this process.
    std::uint64_t operations = 0;
    std::uint64_t refusals = 0;
};

/// A request that has not been replied to.
struct limit_request_sent {
    instance_name pool;
    std::vector<workspace_name> workspaces;
};

/// What this instance knows of another one as a pool.
struct pool_contact {
    /// It did not reply to a request; cleared by any message from it.
    bool suspected = false;
    time_point suspectedAt{};
    /// It said that it holds no loans, which is believed until then.
    time_point noPoolUntil{};
};

/// The statements of this instance and the tokens for them.
struct limit_spender {
    std::map<workspace_name, limit_use> uses;
    std::map<time_point, limit_request_sent> sent;
    std::map<instance_name, pool_contact> contacts;
    time_point lastStamp{};
    /// Workspaces whose statements wait until a request can be sent again.
    std::set<workspace_name> toRetry;
    /// Workspaces whose limit is reached.
    std::set<workspace_name> limited;
    /// Requests ahead of use that are sent together, and when.
    std::set<workspace_name> toAskAhead;
    time_point askAheadAt{};
    /// When the next spare token has to be given up.
    std::optional<time_point> spareEndsAt;
};

/// Removes tokens that have lapsed.
void dropLapsed(limit_use &use, time_point now);
/// Takes one token, the one that lapses first; false if there is none.
bool takeToken(limit_use &use, time_point now);
/// Gives up spare tokens that would lapse soon, so that the pool learns of it in time. Returns whether there were some.
bool giveUpSpare(limit_use &use, time_point now);
/// When a spare token that lapses at `until` is given up.
time_point givenUpAt(time_point until);
/// Number of tokens at hand that are not spare.
std::uint32_t quickTokens(const limit_use &use);
/// Number of spare tokens at hand.
std::uint32_t spareAtHand(const limit_use &use);
/// Records an operation for the moving average.
void recordDemand(limit_use &use, time_point now);
/// Operations a second that are expected.
double expectedDemand(const limit_use &use, time_point now);
/// The tokens that this instance wants beyond those at hand; nothing needed where nothing waits.
limit_ask askFor(limit_use &use, const limit_settings &settings, const workspace_name &workspace, time_point now);
/// Whether tokens should be requested ahead of use.
bool wantsAhead(const limit_use &use, const limit_settings &settings, time_point now);

} // namespace mustardrouter
