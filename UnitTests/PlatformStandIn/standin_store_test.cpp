#include "mustardrouter/Network/tcp_options.h"
#include "mustardrouter/PlatformStandIn/standin_store.h"

#include <asio/write.hpp>

#include <chrono>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

TEST_GROUP(standin_store){};

TEST(standin_store, aWatchThatIsAnsweredWhenItsTimeIsUpIsAnsweredOnce)
{
    asio::io_context context;
    standin_store store(context, {}, 1);
    store.objects().put("k", "a", "one");
    asio::ip::tcp::socket client(context);
    client.connect(endpointOrUnspecified(store.addInstance()));
    const std::string revision = std::to_string(store.objects().revision());
    asio::write(client, asio::buffer("GET /v1/objects/k?watch=" + revision + "&wait_ms=60 HTTP/1.1\r\nHost: store\r\n\r\n"));
    asio::steady_timer change(context, 40ms);
    change.async_wait([&](const asio::error_code &) {
        store.objects().put("k", "b", "two");
        store.notifyWatches();
    });
    context.run_for(20ms);
    // Both timers expire before the context runs on, as on a busy machine.
    std::this_thread::sleep_for(100ms);
    context.run_for(20ms);
    std::string answers(client.available(), '\0');
    client.read_some(asio::buffer(answers));
    CHECK_EQUAL(0U, answers.find("HTTP/1.1 200"));
    CHECK_TRUE(answers.find("HTTP/1.1", 1) == std::string::npos);
}

TEST(standin_store, anObjectIsRemovedOnlyAtItsRevision)
{
    asio::io_context context;
    standin_store store(context, {}, 1);
    store.objects().put("k", "a", "one");
    asio::ip::tcp::socket client(context);
    client.connect(endpointOrUnspecified(store.addInstance()));
    const std::uint64_t revision = store.objects().revision();
    const auto remove = [&](std::uint64_t expected) {
        asio::write(client,
                    asio::buffer("DELETE /v1/objects/k/a?revision=" + std::to_string(expected)
                                 + " HTTP/1.1\r\nHost: store\r\nContent-Length: 0\r\n\r\n"));
        context.restart();
        context.run_for(50ms);
    };
    remove(revision - 1);
    CHECK_TRUE(store.objects().find("k", "a").has_value());
    remove(revision);
    CHECK_FALSE(store.objects().find("k", "a").has_value());
}

TEST(standin_store, onlyWatchesThatAllowItSeeTheObjectsOfBefore)
{
    asio::io_context context;
    standin_store store(context, {}, 1);
    const time_point start{100s};
    store.objects().put("k", "a", "one");
    const std::string revision = std::to_string(store.objects().revision());
    store.keepCopy(start);
    store.objects().put("k", "b", "two");
    store.faults().staleness = 3s;
    store.keepCopy(start + 1s);
    asio::ip::tcp::socket client(context);
    client.connect(endpointOrUnspecified(store.addInstance()));
    const auto answer = [&](const std::string &further) {
        asio::write(
            client, asio::buffer("GET /v1/objects/k?watch=" + revision + "&wait_ms=20" + further + " HTTP/1.1\r\nHost: store\r\n\r\n"));
        context.restart();
        context.run_for(60ms);
        std::string text(client.available(), '\0');
        client.read_some(asio::buffer(text));
        return text;
    };
    CHECK_TRUE(answer("").find("two") != std::string::npos);
    CHECK_TRUE(answer("&allow_stale=1").find("two") == std::string::npos);
    store.keepCopy(start + 5s);
    CHECK_TRUE(answer("&allow_stale=1").find("two") != std::string::npos);
}
