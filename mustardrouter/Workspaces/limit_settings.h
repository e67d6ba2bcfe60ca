#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>

namespace mustardrouter
{

/// Bounds of the limits of workspaces, and what follows from them. docs/design/0020-limits.md has the sums.
struct limit_settings {
    /// Name of this instance, as it is listed.
    instance_name self;
    /// The whole system is started for the first time: no earlier process can have spent anything.
    bool isFirstSystemStart = false;
    /// A random number, different for each process.
    std::uint64_t tenure = 1;
    /// In each window of this length the databases run at most (rate * window + burst) * (1 + overrun) + slack operations.
    duration window = std::chrono::seconds(5);
    double overrun = 0.1;
    double slack = 20;

    /// Workspaces are divided by name among this many slots, each of which has a pool of its own.
    std::uint32_t slots = 2;
    /// Most instances that own a share of the limits.
    std::uint32_t members = 24;
    /// Number of instances that are asked for tokens in turn before an instance uses its own share.
    std::uint32_t poolCandidates = 5;
    /// A pool uses a loan for this time after it sent the poll; the lender lends nothing elsewhere for as long after it received it.
    duration loanTime = std::chrono::milliseconds(1000);
    /// Added by the lender: clocks run at rates that differ by up to 0.1 %.
    duration loanMargin = std::chrono::milliseconds(5);
    duration pollInterval = std::chrono::milliseconds(400);
    /// Longest time without a reply before another pool is asked: two crossings between regions and a slow machine.
    duration replyTimeout = std::chrono::milliseconds(250);
    /// How long a spare token may be kept.
    duration spareTime = std::chrono::seconds(3);
};

/// How long a token is valid after it was requested: half of the overrun is for tokens granted before a window and spent in it.
duration grantTime(const limit_settings &settings);
/// Added to each burst, so that a fraction of a small one is not below one token.
double extraBurst(const limit_settings &settings);
/// Spare tokens of a workspace that instances may hold, in all.
double spareTokens(const limit_settings &settings);
/// Tokens that come with shares when they are lent elsewhere, in all, at most once in a window.
double movingTokens(const limit_settings &settings);
/// Number of members whose share alone may collect a whole token, however small the limit.
std::uint32_t unitMembers(const limit_settings &settings);

} // namespace mustardrouter
