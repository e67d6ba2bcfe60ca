#include "mustardrouter/Edge/line_stream.h"
#include "mustardrouter/Network/tcp_options.h"

#include <asio/io_context.hpp>
#include <asio/write.hpp>

#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

TEST_GROUP(line_stream){};

TEST(line_stream, noBytesAreLostWhileAHandlerAnswersOnTheSameConnection)
{
    // The soak's answer_out_of_order: a reply without its row and signature. A flush inside a handler started a read of its own, and two
    // reads into the same buffer were under way.
    constexpr int lineCount = 60'000;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    asio::ip::tcp::socket peer(context);
    peer.connect(acceptor.local_endpoint());
    setTcpOptions(peer);
    int received = 0;
    int wrong = 0;
    std::shared_ptr<line_stream> stream;
    line_stream::handlers callbacks;
    callbacks.onLine = [&](std::string_view line) {
        wrong += line == "line " + std::to_string(received) ? 0 : 1;
        received += 1;
        stream->out() += ".";
        stream->flush();
        if (received == lineCount || wrong > 0) {
            context.stop();
        }
    };
    callbacks.onEnd = [&](close_reason) {
        context.stop();
    };
    stream = std::make_shared<line_stream>(acceptor.accept(), 1U << 20, std::move(callbacks));
    stream->start();
    std::thread sender([&] {
        asio::error_code problem;
        std::string answers(4096, '\0');
        for (int number = 0; number < lineCount && !problem; ++number) {
            asio::write(peer, asio::buffer("line " + std::to_string(number) + "\r\n"), problem);
            while (peer.available(problem) > 0 && !problem) {
                peer.read_some(asio::buffer(answers), problem);
            }
        }
    });
    context.run_for(20s);
    stream->close();
    sender.join();
    CHECK_EQUAL(0, wrong);
    CHECK_EQUAL(lineCount, received);
}
