#include "mustardrouter/Instance/network_thread.h"

#include <chrono>
#include <functional>
#include <optional>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t commandCapacity = 4;
constexpr frame_connection_id opened(1);
constexpr frame_connection_id unknown(99);

/// Two network threads, of which one opens connections to the other.
struct two_threads {
    ring_signal signal;
    ring<network_event> events{64, signal};
    ring<network_event> otherEvents{64, signal};
    network_thread thread{events, commandCapacity};
    network_thread other{otherEvents, commandCapacity};

    two_threads()
    {
        for (network_thread *started : {&thread, &other}) {
            CHECK_TRUE(handleErrors(
                [&]() -> result_of<bool> {
                    BOOST_LEAF_CHECK(started->start("127.0.0.1:0", "127.0.0.1:0"));
                    return true;
                },
                [](const error &) {
                    return false;
                }));
        }
    }

    failure open()
    {
        return thread.post(open_frame_connection{opened, connection_kind::peer, other.peerAddress()});
    }
    failure sendTo(frame_connection_id connection)
    {
        return thread.post(send_message{connection, wire::peer_message{}});
    }
    void fillRing()
    {
        while (sendTo(unknown) == failure::none) { }
    }
    /// Whether an event of this type reaches the other one.
    template<typename Event>
    bool otherGets()
    {
        for (const auto end = std::chrono::steady_clock::now() + 2s; std::chrono::steady_clock::now() < end;) {
            const std::optional<network_event> event = otherEvents.pop();
            if (event && std::holds_alternative<Event>(*event)) {
                return true;
            }
            std::this_thread::sleep_for(1ms);
        }
        return false;
    }
};

} // namespace

TEST_GROUP(network_thread){};

TEST(network_thread, aConnectionIsClosedAlthoughTheRingIsFull)
{
    two_threads threads;
    threads.open();
    threads.sendTo(opened);
    threads.thread.flush();
    CHECK_TRUE(threads.otherGets<message_received>());
    threads.fillRing();
    CHECK_TRUE(threads.thread.post(close_frame_connection{opened}) == failure::none);
    threads.thread.flush();
    CHECK_TRUE(threads.otherGets<frame_connection_closed>());
}

TEST(network_thread, aConnectionIsOpenedAlthoughTheRingIsFullAndMessagesDoNotOvertakeIt)
{
    two_threads threads;
    threads.fillRing();
    CHECK_TRUE(threads.open() == failure::none);
    CHECK_TRUE(threads.sendTo(opened) == failure::ringFull);
    threads.thread.flush();
    for (const auto end = std::chrono::steady_clock::now() + 2s; std::chrono::steady_clock::now() < end;) {
        if (threads.sendTo(opened) == failure::none) {
            break;
        }
        std::this_thread::sleep_for(1ms);
    }
    threads.thread.flush();
    CHECK_TRUE(threads.otherGets<message_received>());
}
