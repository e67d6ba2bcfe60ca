#include "mustardrouter/Edge/liveness_probes.h"

#include "mustardrouter/Edge/boot_time.h"
#include "platform/store_client.h"

#include <algorithm>
#include <utility>

namespace mustardrouter
{

namespace
{

/// The first round comes at random within this time, so that instances that started together do not all probe at once.
constexpr std::uint64_t firstRoundSpreadMs = 5000;

} // namespace

liveness_probes::liveness_probes(asio::io_context &context,
                                 relay_links &links,
                                 const std::string &storeAddress,
                                 store_history &history,
                                 event_log &log,
                                 instance_name self,
                                 std::uint64_t seed)
    : m_context(context)
    , m_links(links)
    , m_client(std::make_shared<platform::http_client>(context, storeAddress))
    , m_history(history)
    , m_log(log)
    , m_timer(context)
    , m_random(seed)
{
    m_liveness.self = std::move(self);
}

void liveness_probes::onListed(const instance_listing &instances, const std::map<instance_name, store_position> &positions)
{
    std::vector<instance_entry> entries;
    m_listed.clear();
    for (const listed_instance &instance : instances) {
        const auto position = positions.find(instance.name);
        if (position != positions.end()) {
            entries.push_back({instance.name, instance.relayAddress, instance.dataCentre, instance.leaving, position->second});
            m_listed[instance.name] = instance;
        }
    }
    onEntries(m_liveness, entries, bootTime());
    if (!m_stopped && !std::exchange(m_started, true)) {
        scheduleRound(std::chrono::milliseconds(m_random() % firstRoundSpreadMs));
    }
}

void liveness_probes::onPeerMessage(const relay::liveness_probe &message)
{
    if (message.reply()) {
        onProbeReply(m_liveness, instance_name(message.name()), message.round());
    }
}

void liveness_probes::onIncomingMessage(std::uint64_t link, const relay::liveness_probe &message)
{
    // The address may have been another instance's.
    if (message.reply() || message.name() != m_liveness.self.value()) {
        return;
    }
    relay::relay_message reply;
    *reply.mutable_probe() = message;
    reply.mutable_probe()->set_reply(true);
    m_links.sendOnIncoming(link, reply);
}

void liveness_probes::setStoreAddress(const std::string &storeAddress)
{
    m_client->close();
    m_client = std::make_shared<platform::http_client>(m_context, storeAddress);
    m_writes.clear();
    m_writing = false;
}

void liveness_probes::stop()
{
    m_stopped = true;
    m_timer.cancel();
    m_writes.clear();
}

std::uint64_t liveness_probes::marks() const
{
    return m_marks;
}

std::uint64_t liveness_probes::removals() const
{
    return m_removals;
}

void liveness_probes::scheduleRound(duration wait)
{
    m_timer.expires_after(wait);
    m_timer.async_wait([this](const asio::error_code &problem) {
        if (!problem && !m_stopped) {
            runRound();
        }
    });
}

void liveness_probes::runRound()
{
    const time_point now = bootTime();
    const liveness_actions actions = advance(m_liveness, now);
    for (const instance_entry &entry : actions.probes) {
        probe(entry);
    }
    // What has not been written since the last round is decided anew.
    m_writes.clear();
    for (const instance_entry &entry : actions.marks) {
        m_writes.push_back({entry, false});
    }
    for (const instance_entry &entry : actions.removals) {
        m_writes.push_back({entry, true});
    }
    writeNext();
    scheduleRound(std::max(duration{}, m_liveness.nextRoundAt - now));
}

void liveness_probes::probe(const instance_entry &entry)
{
    const auto probed = m_liveness.probed.find(entry.name);
    if (probed != m_liveness.probed.end() && probed->second.unanswered > 0) {
        // A link that went silent stays so; a new one shows whether the instance is there.
        m_links.dropUnusedLink(entry.address);
    }
    relay::relay_message message;
    message.mutable_probe()->set_name(entry.name.value());
    message.mutable_probe()->set_round(m_liveness.round);
    m_links.sendToPeer(entry.address, message);
}

void liveness_probes::writeNext()
{
    if (m_writing || m_writes.empty() || m_stopped) {
        return;
    }
    const entry_write next = std::move(m_writes.front());
    m_writes.pop_front();
    listed_instance marked = m_listed[next.entry.name];
    marked.leaving = true;
    marked.unresponsive = true;
    m_writing = true;
    const store_revision revision = next.entry.position.revision;
    m_client->call(
        next.removes ? platform::removeInstanceRequest(next.entry.name, revision) : platform::markInstanceRequest(marked, revision),
        [this, next](const platform::http_response &response) {
            m_writing = false;
            onWritten(next, response);
            writeNext();
        });
}

void liveness_probes::onWritten(const entry_write &written, const platform::http_response &response)
{
    const std::optional<store_era> era = m_history.accept(response);
    const bool done = era && platform::outcomeOfStatus(response.status) == platform::request_outcome::done;
    if (done && written.removes) {
        m_removals += 1;
    } else if (done) {
        m_marks += 1;
        if (const auto object = platform::decodeObject(response.body, *era)) {
            onMarked(m_liveness, written.entry.name, object->position);
        }
    }
    m_log.write(written.removes ? "entry_removed" : "entry_marked",
                {{"entry", written.entry.name.value()},
                 {"address", written.entry.address},
                 {"revision", std::to_string(written.entry.position.revision.value())},
                 {"status", std::to_string(response.status)}});
}

} // namespace mustardrouter
