#pragma once

#include "mustardrouter/Instance/network_event.h"
#include "mustardrouter/Network/frame_connection.h"
#include "mustardrouter/Network/frame_listener.h"
#include "mustardrouter/Runtime/error.h"
#include "mustardrouter/Runtime/ring.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

namespace mustardrouter
{

/// The thread that owns all framed connections of an instance. It parses messages and forwards them
/// to the decision thread; it makes no routing decisions.
class network_thread
{
public:
    /// Events are pushed to `events`; commands are submitted with post().
    network_thread(ring<network_event> &events, std::size_t commandCapacity);
    ~network_thread();
    network_thread(const network_thread &) = delete;
    network_thread &operator=(const network_thread &) = delete;

    /// Listens for callers and peers and starts the thread.
    result_of<void> start(const std::string &callerAddress, const std::string &peerAddress);
    /// Stops accepting callers; open connections stay open.
    void stopAccepting();
    void stop();

    /// Queues a command; only the decision thread may call this. failure::ringFull when the ring is full, which only happens to
    /// messages: a connection is opened and closed in any case.
    failure post(network_command command);
    /// Wakes the network thread to run the commands queued since the last call.
    void flush();

    std::string callerAddress() const;
    std::string peerAddress() const;

private:
    void accept(connection_kind kind, const std::shared_ptr<frame_connection> &connection);
    void runCommands();
    /// False if commands were added to the overflow since it was taken.
    bool endOverflow();
    void run(network_command &command);
    void run(const open_frame_connection &command);
    void run(send_message &command);
    void run(const close_frame_connection &command);
    void onFrame(frame_connection_id id, connection_kind kind, frame_connection &connection, std::string_view payload);
    void onClose(frame_connection_id id, connection_kind kind, failure cause);
    void report(network_event event);
    static std::unique_ptr<connection_message> parse(connection_kind kind, std::string_view payload);
    /// Refuses a caller's request when the event ring is full.
    static void refuseOverload(frame_connection &connection, const connection_message &message);

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    frame_listener m_callers;
    frame_listener m_peers;
    ring<network_event> &m_events;
    ring_signal m_unusedSignal;
    ring<network_command> m_commands;
    /// Commands that had no room in the ring; all in the ring are older. While there are any, nothing is added to the ring.
    std::mutex m_overflowMutex;
    std::deque<network_command> m_overflow;
    std::atomic<bool> m_overflowing{false};
    std::atomic<bool> m_wakeupPosted{false};
    std::unordered_map<frame_connection_id, std::shared_ptr<frame_connection>> m_connections;
    std::uint64_t m_nextAccepted = 2;
    std::thread m_thread;
};

} // namespace mustardrouter
