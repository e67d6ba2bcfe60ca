#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/store_position.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Entry of an instance in the platform's store.
struct instance_entry {
    instance_name name;
    std::string address;
    std::string dataCentre;
    bool leaving = false;
    /// Of its last change.
    store_position position;
};

/// What an instance knows of another one that it probes.
struct probed_instance {
    instance_entry entry;
    /// Number of the last probe, and of the newest one that was replied to; 0 for none.
    std::uint64_t sent = 0;
    std::uint64_t replied = 0;
    /// Probes without a reply, in a row, and how many of these were sent while the entry stood as it does, marked.
    std::uint32_t unanswered = 0;
    std::uint32_t unansweredSinceMark = 0;
    /// Position of the mark that this instance has written; nothing if it has written none.
    std::optional<store_position> markedAt{};
};

/// Decides whose entries are marked as leaving and then removed from the list of instances, since an entry outlives its instance.
///
/// Each instance probes the one that follows it, by data centre and name, and those behind it as long as they are silent. Hence every
/// entry of a lost instance is probed by the nearest living one before it, and by few others.
///
/// Invariant: an entry is removed only if it is marked as leaving, and its instance has neither replied to the last `probesBeforeRemoval`
/// probes nor written the entry during the last `probesAfterMark` of them, although the mark tells it to. An instance that reaches the
/// store takes the mark back, whoever can't reach it. The store checks this: the removal names the revision of the mark. Probes are
/// counted in place of time, so that an instance that stood still itself concludes nothing from that.
struct instance_liveness {
    instance_name self;
    /// The other entries, in the order in which this instance probes them.
    std::vector<instance_entry> others;
    std::map<instance_name, probed_instance> probed;
    /// Instances that have taken a mark of this instance back, and until when they are not marked again.
    std::map<instance_name, time_point> sparedUntil;
    time_point nextRoundAt{};
    std::uint64_t round = 0;
};

/// What to do after a round.
struct liveness_actions {
    std::vector<instance_entry> probes;
    /// Entries to write with the mark, and to remove, if they still have their revision.
    std::vector<instance_entry> marks;
    std::vector<instance_entry> removals;
};

/// The list of instances was read or has changed.
void onEntries(instance_liveness &liveness, const std::vector<instance_entry> &entries, time_point now);
/// The instance of this name replied to the probe of that round.
void onProbeReply(instance_liveness &liveness, const instance_name &from, std::uint64_t round);
/// This instance's mark was written, at this position.
void onMarked(instance_liveness &liveness, const instance_name &name, store_position position);
/// Begins the next round if it is due.
liveness_actions advance(instance_liveness &liveness, time_point now);

} // namespace mustardrouter
