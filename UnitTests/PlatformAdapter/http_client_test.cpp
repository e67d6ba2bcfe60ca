#include "platform/http_client.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <list>
#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;
using asio::ip::tcp;

TEST_GROUP(http_client){};

TEST(http_client, connectTimeoutEndsTheRequestBeforeItsOwnTimeout)
{
    // A listener that never accepts: once its backlog is full, further connection attempts are dropped without a reset.
    asio::io_context context;
    tcp::acceptor full(context);
    full.open(tcp::v4());
    full.bind({asio::ip::make_address("127.0.0.1"), 0});
    full.listen(0);
    std::list<tcp::socket> waiting;
    for (int count = 0; count < 4; ++count) {
        waiting.emplace_back(context).async_connect(full.local_endpoint(), [](const asio::error_code &) {
        });
    }
    context.poll();
    const auto client = std::make_shared<platform::http_client>(context, "127.0.0.1:" + std::to_string(full.local_endpoint().port()));
    platform::http_request request;
    request.target = "/";
    request.requestTimeout = 30s;
    unsigned status = 1;
    const auto startedAt = std::chrono::steady_clock::now();
    client->call(std::move(request), [&](const platform::http_response &response) {
        status = response.status;
        context.stop();
    });
    context.run_for(10s);
    CHECK_EQUAL(0U, status);
    CHECK_TRUE(std::chrono::steady_clock::now() - startedAt < 3s);
}

TEST(http_client, aResponseThatStopsArrivingIsGivenUp)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket server(context);
    acceptor.async_accept(server, [&](const asio::error_code &) {
        asio::write(server, asio::buffer(std::string("HTTP/1.1 200 -\r\nContent-Length: 100\r\n\r\na part")));
    });
    const auto client = std::make_shared<platform::http_client>(context, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    platform::http_request request;
    request.target = "/";
    request.requestTimeout = 30s;
    std::optional<platform::http_response> received;
    client->call(std::move(request), [&](const platform::http_response &response) {
        received = response;
        context.stop();
    });
    context.run_for(3s);
    CHECK_TRUE(received.has_value());
    CHECK_EQUAL(0U, received->status);
    CHECK_TRUE(received->receivedBytes > 0);
}

TEST(http_client, aHeaderThatComesLongBeforeItsAnswerDoesNotEndTheRequest)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket server(context);
    asio::steady_timer later(context);
    acceptor.async_accept(server, [&](const asio::error_code &) {
        asio::write(server, asio::buffer(std::string("HTTP/1.1 200 -\r\nContent-Length: 4\r\n\r\n")));
        later.expires_after(1500ms);
        later.async_wait([&](const asio::error_code &) {
            asio::write(server, asio::buffer(std::string("done")));
        });
    });
    const auto client = std::make_shared<platform::http_client>(context, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    platform::http_request request;
    request.target = "/";
    request.requestTimeout = 5s;
    std::string body;
    client->call(std::move(request), [&](const platform::http_response &response) {
        body = response.body;
        context.stop();
    });
    context.run_for(3s);
    CHECK_EQUAL(std::string("done"), body);
}
