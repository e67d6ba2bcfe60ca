#include "mustardrouter/Instance/platform_thread.h"

#include "mustardrouter/Runtime/thread_name.h"

#include "mustardrouter/Platform/object_codec.h"
#include "mustardrouter/Runtime/json_settings.h"
#include "mustardrouter/Runtime/log.h"

#include <chrono>

namespace mustardrouter
{

namespace
{

constexpr auto platformTimeout = std::chrono::milliseconds(1000);
constexpr auto jobPollInterval = std::chrono::milliseconds(50);

std::string recordKey(const group_name &group)
{
    return "ownership/" + group.value();
}

} // namespace

platform_thread::platform_thread(std::string platformAddress, ring<platform_event> &events, std::size_t jobCapacity)
    : m_address(std::move(platformAddress))
    , m_events(events)
    , m_jobs(jobCapacity, m_signal)
{
}

platform_thread::~platform_thread()
{
    stop();
}

void platform_thread::start()
{
    m_thread = std::thread([this] {
        nameThread("platform");
        run();
    });
}

void platform_thread::stop()
{
    m_stopping.store(true);
    m_signal.notify();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

failure platform_thread::post(platform_job job)
{
    return m_jobs.push(std::move(job));
}

void platform_thread::run()
{
    platform_client platform(m_address, platformTimeout);
    while (!m_stopping.load()) {
        m_signal.wait(jobPollInterval);
        while (const std::optional<platform_job> job = m_jobs.pop()) {
            std::visit(
                [&](const auto &what) {
                    execute(platform, what);
                },
                *job);
        }
    }
}

void platform_thread::execute(platform_client &platform, const read_record_job &job)
{
    const auto answered = platform.get(recordKey(job.group));
    if (answered.cause != failure::none) {
        answer(job.group, record_request_failed{}, true);
        return;
    }
    objects::ownership_record message;
    const bool isReadable = handleErrors(
        [&]() -> result_of<bool> {
            if (answered.value.version != 0) {
                BOOST_LEAF_CHECK(readJson(answered.value.value, recordKey(job.group), message));
            }
            return true;
        },
        [](const error &what) {
            writeLog(log_level::error, "platform", "unreadable ownership record", {{"reason", what.detail}});
            return false;
        });
    if (isReadable) {
        answer(job.group, record_read{fromSchema(message, answered.value.version)}, true);
    } else {
        answer(job.group, record_request_failed{}, true);
    }
}

void platform_thread::execute(platform_client &platform, const write_record_job &job)
{
    const std::string text = writeJson(toSchema(job.record, job.group));
    const auto answered = platform.put({recordKey(job.group), text, job.record.version});
    if (answered.cause == failure::versionConflict) {
        answer(job.group, record_conflict{}, false);
        return;
    }
    if (answered.cause != failure::none) {
        answer(job.group, record_request_failed{}, false);
        return;
    }
    ownership_record stored = job.record;
    stored.version = answered.value;
    answer(job.group, record_written{stored}, false);
}

void platform_thread::answer(const group_name &group, ownership_event event, bool fromRead)
{
    platform_event item = record_event{group, std::move(event), fromRead};
    while (m_events.offer(item) != failure::none && !m_stopping.load()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

} // namespace mustardrouter
