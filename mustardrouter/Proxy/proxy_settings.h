#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace mustardrouter
{

/// Where this instance stands, and the limits of its decisions. The sources of the defaults are
/// the delays and bounds of the users' deployments: 40 ms to another region and back, statements
/// of up to 400 ms, 1 to 3 s for a statement, 6 s to stop.
struct proxy_settings {
    std::string instance;
    std::string dataCentre;
    /// Region of each data centre.
    std::unordered_map<std::string, std::string> regions;
    /// Connections that this instance opens to one database, at most.
    std::uint32_t maxConnectionsPerDatabase = 8;
    /// Statements that wait in one session while another runs.
    std::size_t maxQueuedStatements = 64;
    /// Opening a connection takes longer than this only when the way or the database is bad.
    duration openTimeout = std::chrono::milliseconds(1000);
    /// Pause after a connection was refused or could not be opened.
    duration openBackoff = std::chrono::milliseconds(300);
    /// A statement without an answer for so long makes its database suspect, and a read is asked elsewhere.
    duration replyTimeout = std::chrono::milliseconds(400);
    /// A connection whose abandoned statement has no answer for so long is closed.
    duration abandonedReplyTimeout = std::chrono::seconds(3);
    /// The same where the database has answered later statements on other connections: the answer is lost. A full queue
    /// (48 statements, 6 slots, 33 ms each) takes 0.3 s.
    duration lostReplyTimeout = std::chrono::milliseconds(1000);
    /// Between two questions to a suspect database.
    duration probeInterval = std::chrono::milliseconds(200);
    /// A primary without a sign of life for so long, while replicas answer and receive nothing, is replaced.
    duration failoverTimeout = std::chrono::milliseconds(600);
    /// Instances start their orders at different times within this span.
    duration failoverJitter = std::chrono::milliseconds(400);
    /// For so long an order of another instance is given time to take effect.
    duration promotionTimeout = std::chrono::seconds(3);
    /// Before an order that was refused or not answered is given again.
    duration promotionBackoff = std::chrono::milliseconds(700);
    /// A database that is no longer listed stays usable for so long: the platform's list loses entries
    /// during its own outages and has them back within two seconds.
    duration unlistedValidFor = std::chrono::milliseconds(2500);
    /// A database that was full within this time gets no further connections.
    duration overloadValidFor = std::chrono::milliseconds(1500);
    /// What a database said of its connections holds for so long.
    duration connectionCountValidFor = std::chrono::seconds(3);
    /// A connection is closed for scarcity only by what the database said within this time.
    duration connectionCountFreshFor = std::chrono::milliseconds(500);
    /// Opens first connections ahead of demand. Only where the whole system starts for the first time: later, other
    /// instances need the connections more.
    bool warmUpEnabled = true;
    /// The first connections are opened at random times within this span after the start.
    duration warmUpJitter = std::chrono::seconds(4);
    /// A leaving database gets no new work after this time; the bound for it is 7 s, and the platform's word of it may be
    /// seconds late.
    duration leavingGracePeriod = std::chrono::milliseconds(4000);
    /// First pause after a database said that it is full.
    duration overloadBackoff = std::chrono::milliseconds(20);
    /// From the request to stop on: callers are asked to leave after this time, over this span.
    duration sessionCloseDelay = std::chrono::milliseconds(300);
    duration sessionCloseJitter = std::chrono::milliseconds(2200);
    /// Open transactions have so long to end after the request to stop.
    duration transactionDrainTimeout = std::chrono::milliseconds(3000);
    /// Statements that come later than this after the request to stop are refused: those that run need the time that is left.
    duration statementDrainTimeout = std::chrono::milliseconds(4000);
    std::uint64_t seed = 1;
};

} // namespace mustardrouter
