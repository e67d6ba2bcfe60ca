#include "mustardrouter/Edge/relay_links.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

std::string freeAddress(asio::io_context &context)
{
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// What one end of the links was told.
struct recorded {
    std::vector<std::uint64_t> opened;
    std::vector<std::uint64_t> closed;
    std::map<std::uint64_t, std::string> replies;
    std::vector<std::string> statements;
    std::vector<relay_channel> channels;
    std::vector<relay_channel> closedChannels;
};

relay_links::handlers recordTo(recorded &record)
{
    return {[&](database_connection_id id) {
                record.opened.push_back(id.value());
            },
            [&](database_connection_id id) {
                record.closed.push_back(id.value());
            },
            [&](database_connection_id id, std::string_view lines) {
                record.replies[id.value()] += lines;
            },
            [&](const relay_channel &channel, const std::string &route, duration timeLeft, const caller_identity &, std::string_view lines) {
                const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft).count();
                record.statements.push_back(route + " " + std::to_string(millis) + " " + std::string(lines));
                record.channels.push_back(channel);
            },
            [&](const relay_channel &channel) {
                record.closedChannels.push_back(channel);
            }};
}

/// An instance that relays and a holder, in one thread.
struct linked_pair {
    asio::io_context context;
    recorded atEntry;
    recorded atHolder;
    relay_links entry{context, recordTo(atEntry)};
    relay_links holder{context, recordTo(atHolder)};
    std::string address = freeAddress(context);

    linked_pair()
    {
        CHECK_TRUE(holder.listen(address));
    }
    void runUntil(const std::function<bool()> &done)
    {
        for (int round = 0; round < 400 && !done(); ++round) {
            context.run_for(5ms);
            context.restart();
        }
        CHECK_TRUE(done());
    }
};

const database_connection_id one(1);
const database_connection_id two(2);

} // namespace

TEST_GROUP(relay_links){};

TEST(relay_links, channelsShareALinkAndCarryStatementsAndReplies)
{
    linked_pair pair;
    pair.entry.open(one, pair.address);
    pair.entry.open(two, pair.address);
    pair.runUntil([&] {
        return pair.atEntry.opened.size() == 2;
    });
    pair.entry.send(one, "route-a", 700ms, "QUERY a READ x\r\n");
    pair.entry.send(two, "route-b", 800ms, "QUERY b READ y\r\n");
    pair.runUntil([&] {
        return pair.atHolder.statements.size() == 2;
    });
    CHECK_EQUAL(std::string("route-a 700 QUERY a READ x\r\n"), pair.atHolder.statements.front());
    CHECK_EQUAL(pair.atHolder.channels[0].link, pair.atHolder.channels[1].link);
    pair.holder.reply(pair.atHolder.channels[1], "READY I -\r\n");
    pair.runUntil([&] {
        return !pair.atEntry.replies.empty();
    });
    CHECK_EQUAL(std::string("READY I -\r\n"), pair.atEntry.replies[2]);
    pair.entry.close(one);
    pair.runUntil([&] {
        return pair.atHolder.closedChannels.size() == 1;
    });
    pair.holder.closeChannel(pair.atHolder.channels[1]);
    pair.runUntil([&] {
        return pair.atEntry.closed.size() == 1;
    });
    CHECK_EQUAL(2, pair.atEntry.closed.front());
}

TEST(relay_links, aLinkThatCannotBeOpenedClosesItsChannels)
{
    linked_pair pair;
    pair.entry.open(one, freeAddress(pair.context));
    pair.runUntil([&] {
        return pair.atEntry.closed.size() == 1;
    });
    CHECK_TRUE(pair.atEntry.opened.empty());
}

TEST(relay_links, aDroppedLinkClosesTheChannelsAtTheHolderAndTheNextChannelGetsANewLink)
{
    linked_pair pair;
    pair.entry.open(one, pair.address);
    pair.runUntil([&] {
        return pair.atEntry.opened.size() == 1;
    });
    pair.entry.send(one, "r", 1s, "QUERY a BEGIN\r\n");
    pair.runUntil([&] {
        return pair.atHolder.statements.size() == 1;
    });
    pair.entry.close(one);
    pair.entry.dropLink(pair.address);
    pair.entry.open(two, pair.address);
    pair.runUntil([&] {
        return pair.atEntry.opened.size() == 2 && pair.atHolder.closedChannels.size() == 1;
    });
    pair.entry.send(two, "r", 1s, "QUERY b BEGIN\r\n");
    pair.runUntil([&] {
        return pair.atHolder.statements.size() == 2;
    });
    CHECK_TRUE(pair.atHolder.channels[0].link != pair.atHolder.channels[1].link);
}

TEST(relay_links, bytesThatAreNoFramesEndOnlyTheirLink)
{
    linked_pair pair;
    pair.entry.open(one, pair.address);
    pair.runUntil([&] {
        return pair.atEntry.opened.size() == 1;
    });
    asio::ip::tcp::socket stranger(pair.context);
    const std::size_t colon = pair.address.find(':');
    stranger.connect({asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(std::stoi(pair.address.substr(colon + 1)))});
    asio::write(stranger, asio::buffer(std::string("\x05hello, no frame\xff\xff\xff\xff\xff\xff")));
    pair.context.run_for(20ms);
    pair.context.restart();
    pair.entry.send(one, "r", 1s, "QUERY a READ x\r\n");
    pair.runUntil([&] {
        return pair.atHolder.statements.size() == 1;
    });
    CHECK_TRUE(pair.atEntry.closed.empty());
}
