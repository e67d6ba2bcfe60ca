#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Instance/platform_event.h"
#include "mustardrouter/Ownership/ownership_event.h"
#include "mustardrouter/Ownership/ownership_record.h"
#include "mustardrouter/Platform/platform_client.h"
#include "mustardrouter/Runtime/ring.h"

#include <atomic>
#include <string>
#include <thread>
#include <variant>

namespace mustardrouter
{

/// Reads a group's record.
struct read_record_job {
    group_name group;
};

/// Writes a group's record if its version is unchanged.
struct write_record_job {
    group_name group;
    ownership_record record;
};

/// Job from the decision thread for the platform thread.
using platform_job = std::variant<read_record_job, write_record_job>;

/// The thread that reads and writes ownership records. Platform calls block, so nothing else runs on it.
class platform_thread
{
public:
    platform_thread(std::string platformAddress, ring<platform_event> &events, std::size_t jobCapacity);
    ~platform_thread();
    platform_thread(const platform_thread &) = delete;
    platform_thread &operator=(const platform_thread &) = delete;

    void start();
    void stop();
    /// Queues a job; only the decision thread may call this.
    failure post(platform_job job);

private:
    void run();
    void execute(platform_client &platform, const read_record_job &job);
    void execute(platform_client &platform, const write_record_job &job);
    void answer(const group_name &group, ownership_event event, bool fromRead);

    std::string m_address;
    ring<platform_event> &m_events;
    ring_signal m_signal;
    ring<platform_job> m_jobs;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace mustardrouter
