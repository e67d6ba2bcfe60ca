#include "mustardrouter/Edge/line_stream.h"
#include "mustardrouter/Network/tcp_options.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t maxLineBytes = 1 << 20;

/// A stream and the socket of its peer.
struct connected_stream {
    asio::io_context context;
    /// A paused stream leaves the context without work.
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    asio::ip::tcp::socket peer{context};
    std::shared_ptr<line_stream> stream;
    std::vector<std::string> lines;
    /// The stream replies to each line as it arrives.
    bool replies = false;
    /// Reading pauses once with this many lines; 0: never.
    std::size_t pausesAt = 0;

    connected_stream()
    {
        asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
        peer.connect(acceptor.local_endpoint());
        line_stream::handlers callbacks;
        callbacks.onLine = [this](std::string_view line) {
            lines.emplace_back(line);
            if (lines.size() == pausesAt) {
                stream->pauseReading();
            }
            if (replies) {
                stream->out() += "reply\n";
                stream->flush();
            }
        };
        callbacks.onEnd = [](close_reason) {
        };
        stream = std::make_shared<line_stream>(acceptor.accept(), maxLineBytes, std::move(callbacks));
        stream->start();
    }
    void runUntil(std::size_t lineCount)
    {
        for (int tries = 0; tries < 2000 && lines.size() < lineCount; ++tries) {
            context.run_for(std::chrono::milliseconds(1));
        }
    }
};

} // namespace

TEST_GROUP(line_stream){};

TEST(line_stream, linesArriveInOrderWhereTheStreamRepliesToEachAsItArrives)
{
    // More than fits into one read, so that a second read under way at the same time would find data at once.
    constexpr std::size_t count = 2000;
    connected_stream pair;
    pair.replies = true;
    std::string sent;
    for (std::size_t number = 0; number < count; ++number) {
        sent += "line number " + std::to_string(number) + "\r\n";
    }
    asio::write(pair.peer, asio::buffer(sent));
    pair.runUntil(count);
    CHECK_EQUAL(count, pair.lines.size());
    for (std::size_t number = 0; number < count; ++number) {
        CHECK_EQUAL("line number " + std::to_string(number), pair.lines[number]);
    }
    pair.stream->close();
}

TEST(line_stream, aLineThatIsLongerThanAReadArrivesWhole)
{
    connected_stream pair;
    const std::string text(50'000, 'x');
    asio::write(pair.peer, asio::buffer(text + "\r\nsecond\r\n"));
    pair.runUntil(2);
    CHECK_EQUAL(2U, pair.lines.size());
    CHECK_TRUE(pair.lines.front() == text);
    CHECK_EQUAL(std::string("second"), pair.lines.back());
    pair.stream->close();
}

// Guards against a statement that is smuggled into another one's text.
TEST(line_stream, aLineFeedInATextEndsNoLine)
{
    connected_stream pair;
    asio::write(pair.peer, asio::buffer(std::string("QUERY 1 WRITE 2 first\nQUERY 9 WRITE 2 second\r\na\rb\r")));
    pair.runUntil(2);
    CHECK_EQUAL(1U, pair.lines.size());
    CHECK_EQUAL(std::string("QUERY 1 WRITE 2 first\nQUERY 9 WRITE 2 second"), pair.lines.front());
    asio::write(pair.peer, asio::buffer(std::string("\n\r\n")));
    pair.runUntil(3);
    CHECK_EQUAL(3U, pair.lines.size());
    CHECK_EQUAL(std::string("a\rb"), pair.lines[1]);
    CHECK_EQUAL(std::string(), pair.lines.back());
    pair.stream->close();
}

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

TEST(line_stream, aReplyIsNotCutOffAtTheCloseWhileThePeerStillReadsIt)
{
    connected_stream pair;
    constexpr std::size_t size = 8U << 20;
    pair.stream->out() += std::string(size, 'x');
    pair.stream->flush();
    pair.stream->closeAfterFlush();
    std::size_t received = 0;
    std::string part(1U << 20, '\0');
    asio::error_code problem;
    for (int round = 0; !problem; ++round) {
        // Slowly for longer than a peer that has everything may take to close.
        pair.context.run_for(round < 20 ? 80ms : 1ms);
        pair.context.restart();
        received += asio::read(pair.peer, asio::buffer(part), asio::transfer_at_least(1), problem);
    }
    CHECK_EQUAL(size, received);
}

TEST(line_stream, aPausedStreamDeliversNothingAndTheRestInOrderLater)
{
    // Review, flood: all that clients sent was read, whatever waited already.
    constexpr std::size_t count = 3000;
    connected_stream pair;
    pair.pausesAt = 10;
    std::string sent;
    for (std::size_t number = 0; number < count; ++number) {
        sent += "line number " + std::to_string(number) + "\r\n";
    }
    asio::write(pair.peer, asio::buffer(sent));
    pair.context.run_for(std::chrono::milliseconds(50));
    CHECK_EQUAL(10, pair.lines.size());
    // Replies that are sent meanwhile don't let it go on.
    pair.stream->out() += "reply\n";
    pair.stream->flush();
    pair.context.run_for(std::chrono::milliseconds(20));
    CHECK_EQUAL(10, pair.lines.size());
    pair.stream->resumeReading();
    pair.runUntil(count);
    CHECK_EQUAL(count, pair.lines.size());
    for (std::size_t number = 0; number < count; ++number) {
        CHECK_EQUAL("line number " + std::to_string(number), pair.lines[number]);
    }
    pair.stream->close();
}

TEST(line_stream, aPausedStreamThatIsClosedEnds)
{
    connected_stream pair;
    pair.pausesAt = 1;
    asio::write(pair.peer, asio::buffer(std::string("one\r\ntwo\r\n")));
    pair.runUntil(1);
    pair.stream->out() += "last\r\n";
    pair.stream->closeAfterFlush();
    std::thread reader([&] {
        asio::error_code ended;
        std::string text;
        asio::read(pair.peer, asio::dynamic_buffer(text), ended);
        CHECK_EQUAL(std::string("last\r\n"), text);
        pair.peer.close(ended);
    });
    pair.context.run_for(std::chrono::milliseconds(300));
    reader.join();
    CHECK_EQUAL(1, pair.lines.size());
}
