#pragma once

#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Workspaces/limit_settings.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace mustardrouter
{

/// Location of this instance and limits of its decisions. The defaults follow from the delays and limits of
/// the users' deployments: 40 ms to another region and back, statements that run for up to 400 ms, statement
/// timeouts of 1 to 3 s, and 6 s to stop.
struct proxy_settings {
    std::string instance;
    std::string dataCentre;
    /// Region of each data centre.
    std::unordered_map<std::string, std::string> regions;
    /// Most connections that this instance opens to one database.
    std::uint32_t maxConnectionsPerDatabase = 8;
    /// Most statements that wait in one session while another runs.
    std::size_t maxQueuedStatements = 64;
    /// With more bytes in them than this, no more is read from the client until some have been answered. A statement has up to 1 MB.
    std::size_t maxQueuedBytes = 64U << 10U;
    /// Opening a connection takes longer than this only when the network or the database is faulty.
    duration openTimeout = std::chrono::milliseconds(1000);
    /// The same for a link to a holder, which needs no more than two crossings of the network.
    duration holderOpenTimeout = std::chrono::milliseconds(300);
    /// Pause after a connection was refused or could not be opened.
    duration openBackoff = std::chrono::milliseconds(300);
    /// After this time without a reply to a statement its database is suspected unless it has replied to others, and a
    /// read is sent to another database, too.
    duration replyTimeout = std::chrono::milliseconds(400);
    /// A connection that serves no session is closed after this time without a reply, as to an abandoned statement.
    duration abandonedReplyTimeout = std::chrono::seconds(3);
    /// The same if the database has replied to later statements on other connections, so that this reply is lost. A
    /// full queue (48 statements, 6 slots, 33 ms each) takes 0.3 s.
    duration lostReplyTimeout = std::chrono::milliseconds(1000);
    /// A replaced primary refuses writes and plain transactions from the moment of the promotion on. Where it does not, its
    /// replies are held until no other database can have been primary.
    bool replacedPrimariesStepDown = true;
    /// Interval between probes of a suspected database.
    duration probeInterval = std::chrono::milliseconds(200);
    /// A primary that has not replied for this long, while replicas reply but receive nothing, is replaced.
    duration failoverTimeout = std::chrono::milliseconds(600);
    /// Instances delay their promotion orders by a random part of this time, so that they do not all order at once.
    duration failoverJitter = std::chrono::milliseconds(400);
    /// How long a promotion that this or another instance ordered is given to take effect.
    duration promotionTimeout = std::chrono::seconds(3);
    /// After this time an order whose reply was lost is no longer carried out; longest seen on the platform: 12 s.
    duration orderSettlingTime = std::chrono::seconds(15);
    /// Within this time after the store has lost its newest entries they are written again.
    duration entriesRewrittenWithin = std::chrono::seconds(3);
    /// Pause before the next attempt after a claim or a promotion order has failed.
    duration promotionBackoff = std::chrono::milliseconds(700);
    /// How long a database stays usable after it is no longer listed: the platform's list loses entries during the
    /// platform's own outages and regains them within two seconds.
    duration unlistedValidFor = std::chrono::milliseconds(2500);
    /// How long connections to a database are limited after it refused work for lack of capacity.
    duration overloadValidFor = std::chrono::milliseconds(1500);
    /// How long the connection count that a database reported is used.
    duration connectionCountValidFor = std::chrono::seconds(3);
    /// An idle connection is closed only on a connection count that is at most this old.
    duration connectionCountFreshFor = std::chrono::milliseconds(500);
    /// Opens first connections ahead of demand. Meant for the first start of the whole system only: later, other
    /// instances need the connections more.
    bool warmUpEnabled = true;
    /// The first connections are opened at random times within this span after the start.
    duration warmUpJitter = std::chrono::seconds(4);
    /// A leaving database gets no new work later than this after the last moment at which it was known not to leave. Deployments allow
    /// 7 s or more.
    duration leavingGracePeriod = std::chrono::milliseconds(4000);
    /// First pause before a retry after a database refused a statement for lack of capacity.
    duration overloadBackoff = std::chrono::milliseconds(20);
    /// After the request to stop, idle sessions are closed after this delay plus a random part of the jitter.
    duration sessionCloseDelay = std::chrono::milliseconds(300);
    duration sessionCloseJitter = std::chrono::milliseconds(2200);
    /// How long open transactions may take to end after the request to stop.
    duration transactionDrainTimeout = std::chrono::milliseconds(3000);
    /// Statements that arrive later than this after the request to stop are refused: running ones need the time that
    /// is left.
    duration statementDrainTimeout = std::chrono::milliseconds(4000);
    std::uint64_t seed = 1;
    /// Limits of workspaces over all instances.
    limit_settings limits;
};

} // namespace mustardrouter
