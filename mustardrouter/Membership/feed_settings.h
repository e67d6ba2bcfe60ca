#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstddef>
#include <cstdint>

namespace mustardrouter
{

/// A statement is on its way to a leaving database no longer than this, after it was allowed to be sent: the network, a wait for this
/// process, and TCP's first repetition.
constexpr duration leavingMargin = std::chrono::milliseconds(1000);
/// Time that is left at least, in touch, to replace a leaving primary once its instance has noticed that it leaves: the spread of orders
/// (0.4 s), the questions before them, and the promotion (1 s).
constexpr duration replacementTime = std::chrono::milliseconds(2000);

/// Times of the passing on of the store's changes within a data centre; see docs/design/0021-passing-on-changes.md.
struct feed_settings {
    /// In a data centre with fewer instances that are not leaving each asks the store itself. 0: each does everywhere.
    std::size_t minInstances = 0;
    /// An instance whose knowledge from its sources is older than this asks the store itself.
    duration ageLimit{};
    /// Further delay at random before it does, so that not all ask at once.
    duration askJitter{};
    /// A follower asks its sources this often.
    duration pollInterval{};
    /// Longest time without an answer of the store to a watcher that reaches it.
    duration held{};
    /// A source that has not replied for this long is replaced by the next in rank.
    duration silenceLimit{};
    /// A replaced source is tried again after this time, and up to as much more at random.
    duration retryAfter{};
    /// Shortest time for which an instance asks the store itself after it followed.
    duration minAskTime{};
    /// What an instance passes on at once, to all that follow it, in bytes. Statements that it relays wait behind that.
    std::size_t passedOnBytes = SIZE_MAX;
    /// An instance counts as a source of another for this time after the other's last poll.
    duration pollValidFor{};
};

/// The times with which an instance in touch has adopted each configuration within `configurationDelay`, and knows of each leaving
/// database in time for `drainTime`, whatever happens to its sources. `readTime` is what an answer of the store takes to arrive.
/// `minInstances` becomes 0 where the bounds leave no room.
feed_settings feedSettingsFor(duration configurationDelay, duration drainTime, std::size_t minInstances, duration readTime = {});

/// Largest content that is passed on to each of so many followers.
std::size_t maxBytesToEach(const feed_settings &settings, std::size_t followers);

/// Bytes that leave over this instance's link within the time for which callers' statements may wait behind them. Not limited if the
/// link is not known.
std::size_t passedOnBytesOf(double linkBytesPerSecond);

/// Time in which an answer of so many bytes arrives over this instance's link, beside its other traffic. 0 if the link is not known.
duration readTimeOf(std::size_t bytes, double linkBytesPerSecond);

} // namespace mustardrouter
