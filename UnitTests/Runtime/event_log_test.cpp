#include "mustardrouter/Runtime/event_log.h"

#include <unistd.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>
#include <string>

using namespace mustardrouter;
using namespace std::chrono_literals;

TEST_GROUP(event_log){};

TEST(event_log, aBlockedReaderDoesNotBlockTheWriterAndDroppedLinesAreCounted)
{
    std::signal(SIGPIPE, SIG_IGN);
    int ends[2];
    CHECK_EQUAL(0, ::pipe(ends));
    {
        event_log log("instance-1", ends[1]);
        const auto start = std::chrono::steady_clock::now();
        // More lines than the pipe, the ring and the rate limit allow within some seconds.
        for (int line = 0; line < 20000; ++line) {
            log.write("statement_refused", {{"request", std::string(200, 'x')}});
        }
        CHECK_TRUE(std::chrono::steady_clock::now() - start < 2s);
        CHECK_TRUE(log.dropped() > 19000);
        ::close(ends[0]);
    }
    ::close(ends[1]);
}

TEST(event_log, valuesAreQuotedSoThatEachLineIsOneJsonObject)
{
    int ends[2];
    CHECK_EQUAL(0, ::pipe(ends));
    {
        event_log log("i", ends[1]);
        log.write("e", {{"name", "a\"b\\c\nd"}});
    }
    ::close(ends[1]);
    char buffer[512];
    const ssize_t size = ::read(ends[0], buffer, sizeof buffer);
    ::close(ends[0]);
    const std::string line(buffer, static_cast<std::size_t>(size));
    CHECK_TRUE(line.find(R"("event":"e","name":"a\"b\\c d"})") != std::string::npos);
    CHECK_EQUAL(1, std::count(line.begin(), line.end(), '\n'));
}
