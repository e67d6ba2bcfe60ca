#include "mustardrouter/Edge/relay_links.h"
#include "mustardrouter/Network/tcp_options.h"

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
    std::vector<sent_work> lastSent;
    /// Addresses of holders that open no more channels.
    std::vector<std::string> closing;
    std::map<std::uint64_t, std::string> replies;
    std::vector<std::string> statements;
    std::vector<caller_identity> callers;
    std::vector<std::optional<relayed_route>> served;
    std::vector<bool> atNamedGroup;
    std::vector<relay_channel> channels;
    std::vector<bool> opens;
    std::vector<relay_channel> closedChannels;
};

relay_links::handlers recordTo(recorded &record)
{
    relay_links::handlers handlers;
    handlers.onOpened = [&](database_connection_id id) {
        record.opened.push_back(id.value());
    };
    handlers.onClosed = [&](database_connection_id id, sent_work lastSent) {
        record.closed.push_back(id.value());
        record.lastSent.push_back(lastSent);
    };
    handlers.onReplies = [&](database_connection_id id, std::string_view lines, bool atNamedGroup) {
        record.atNamedGroup.push_back(atNamedGroup);
        record.replies[id.value()] += lines;
    };
    handlers.onStatements = [&](const relay_channel &channel, bool opens, const statement_header &header, std::string_view lines) {
        const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(header.timeLeft).count();
        record.statements.push_back(header.route + " " + std::to_string(millis) + " " + std::string(lines));
        record.callers.push_back(header.caller);
        record.served.push_back(header.served);
        record.channels.push_back(channel);
        record.opens.push_back(opens);
    };
    handlers.onChannelClosed = [&](const relay_channel &channel) {
        record.closedChannels.push_back(channel);
    };
    handlers.onHolderCloses = [&](const std::string &address) {
        record.closing.push_back(address);
    };
    return handlers;
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

/// A process of another build at one end of a link: sends what it is told and keeps what it receives.
struct bare_end {
    std::shared_ptr<frame_connection> frames;
    std::vector<relay::relay_message> received;

    bare_end(linked_pair &pair, const std::string &address)
        : frames(std::make_shared<frame_connection>(asio::ip::tcp::socket(pair.context)))
    {
        bool connected = false;
        frames->connect(
            endpointOrUnspecified(address),
            [this](frame_connection &, std::string_view payload) {
                received.emplace_back();
                CHECK_TRUE(received.back().ParseFromArray(payload.data(), static_cast<int>(payload.size())));
            },
            [](frame_connection &, failure) {
            },
            [&] {
                connected = true;
            });
        pair.runUntil([&] {
            return connected;
        });
    }
    void send(std::uint64_t channel, std::uint32_t number, const std::string &lines) const
    {
        relay::relay_message message;
        message.mutable_statements()->set_channel(channel);
        message.mutable_statements()->set_lines(lines);
        message.mutable_statements()->set_number(number);
        frames->send(message);
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
    pair.entry.send(one, {"route-a", 700ms}, "QUERY a READ x\r\n");
    // A name need not be UTF-8.
    const caller_identity caller{workspace_name("w\xff"), key_digest(0xfedcba9876543210)};
    pair.entry.send(two, {"route-b", 800ms, caller}, "QUERY b READ y\r\n");
    pair.runUntil([&] {
        return pair.atHolder.statements.size() == 2;
    });
    CHECK_EQUAL(std::string("route-a 700 QUERY a READ x\r\n"), pair.atHolder.statements.front());
    CHECK_TRUE(pair.atHolder.callers == (std::vector<caller_identity>{{}, caller}));
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
    pair.entry.send(one, {"r", 1s}, "QUERY a BEGIN\r\n");
    pair.runUntil([&] {
        return pair.atHolder.statements.size() == 1;
    });
    pair.entry.close(one);
    pair.entry.dropLink(pair.address);
    pair.entry.open(two, pair.address);
    pair.runUntil([&] {
        return pair.atEntry.opened.size() == 2 && pair.atHolder.closedChannels.size() == 1;
    });
    pair.entry.send(two, {"r", 1s}, "QUERY b BEGIN\r\n");
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
    pair.entry.send(one, {"r", 1s}, "QUERY a READ x\r\n");
    pair.runUntil([&] {
        return pair.atHolder.statements.size() == 1;
    });
    CHECK_TRUE(pair.atEntry.closed.empty());
}

TEST(relay_links, aMessageForAChannelThatTheHolderHasClosedIsNotHandled)
{
    linked_pair pair;
    pair.entry.open(one, pair.address);
    pair.runUntil([&] {
        return pair.atEntry.opened.size() == 1;
    });
    pair.entry.send(one, {"r", 1s}, "QUERY - SET a 1\r\nQUERY a READ x\r\n");
    pair.runUntil([&] {
        return pair.atHolder.statements.size() == 1;
    });
    // Both are under way at once.
    pair.entry.send(one, {"r", 1s}, "QUERY b READ x\r\n");
    pair.holder.closeChannel(pair.atHolder.channels.front());
    pair.runUntil([&] {
        return pair.atEntry.closed.size() == 1;
    });
    pair.context.run_for(50ms);
    CHECK_EQUAL(1, pair.atHolder.statements.size());
    CHECK_TRUE(pair.atEntry.lastSent.front() == sent_work::notRun);
}

TEST(relay_links, aLaterMessageOfAnUnknownChannelIsNotHandledAndTheOtherEndIsTold)
{
    linked_pair pair;
    bare_end entry(pair, pair.address);
    entry.send(9, 3, "QUERY a READ x\r\n");
    pair.runUntil([&] {
        return entry.received.size() == 1;
    });
    CHECK_TRUE(pair.atHolder.statements.empty());
    CHECK_EQUAL(9, entry.received.front().closed().channel());
    CHECK_EQUAL(2, entry.received.front().closed().handled());
}

TEST(relay_links, aMessageAfterAGapClosesTheChannel)
{
    linked_pair pair;
    bare_end entry(pair, pair.address);
    entry.send(9, 1, "QUERY a READ x\r\n");
    entry.send(9, 3, "QUERY b READ x\r\n");
    entry.send(9, 4, "QUERY c READ x\r\n");
    pair.runUntil([&] {
        return entry.received.size() == 2;
    });
    CHECK_EQUAL(1, pair.atHolder.statements.size());
    CHECK_EQUAL(1, pair.atHolder.closedChannels.size());
    CHECK_EQUAL(1, entry.received[0].closed().handled());
    CHECK_EQUAL(1, entry.received[1].closed().handled());
}

TEST(relay_links, anEntryOfABuildThatDoesNotNumberIsServedAndItsLateMessagesAreNotRun)
{
    linked_pair pair;
    bare_end entry(pair, pair.address);
    entry.send(9, 0, "QUERY a READ x\r\n");
    entry.send(9, 0, "QUERY b READ x\r\n");
    pair.runUntil([&] {
        return pair.atHolder.statements.size() == 2;
    });
    CHECK_TRUE(pair.atHolder.opens[0]);
    CHECK_FALSE(pair.atHolder.opens[1]);
    pair.holder.closeChannel(pair.atHolder.channels.front());
    entry.send(9, 0, "QUERY c READ x\r\n");
    entry.send(10, 0, "QUERY d READ x\r\n");
    pair.runUntil([&] {
        return pair.atHolder.statements.size() == 3;
    });
    CHECK_EQUAL(10, pair.atHolder.channels.back().channel);
    CHECK_EQUAL(1, entry.received.size());
    CHECK_FALSE(entry.received.front().closed().has_handled());
}

TEST(relay_links, aHolderOfABuildThatDoesNotNumberLeavesUnknownWhatWasRun)
{
    linked_pair pair;
    const std::string address = freeAddress(pair.context);
    std::shared_ptr<frame_connection> holder;
    frame_listener listener(pair.context, [&](const std::shared_ptr<frame_connection> &frames) {
        holder = frames;
        frames->start(
            [](frame_connection &from, std::string_view payload) {
                relay::relay_message received;
                CHECK_TRUE(received.ParseFromArray(payload.data(), static_cast<int>(payload.size())));
                relay::relay_message message;
                message.mutable_closed()->set_channel(received.statements().channel());
                from.send(message);
            },
            [](frame_connection &, failure) {
            });
    });
    handleErrors(
        [&]() -> result_of<void> {
            BOOST_LEAF_CHECK(listener.listen(address));
            return {};
        },
        [](const error &) {
            FAIL("address not available");
        });
    pair.entry.open(one, address);
    pair.runUntil([&] {
        return pair.atEntry.opened.size() == 1;
    });
    pair.entry.send(one, {"r", 1s}, "QUERY a WRITE x 1\r\n");
    pair.runUntil([&] {
        return pair.atEntry.closed.size() == 1;
    });
    CHECK_TRUE(pair.atEntry.lastSent.front() == sent_work::mayHaveRun);
}

TEST(relay_links, aHolderThatEndsTellsItAndRunsNothingMore)
{
    linked_pair pair;
    pair.entry.open(one, pair.address);
    pair.entry.open(two, pair.address);
    pair.runUntil([&] {
        return pair.atEntry.opened.size() == 2;
    });
    pair.entry.send(one, {"r", 1s}, "QUERY a READ x\r\n");
    pair.runUntil([&] {
        return pair.atHolder.statements.size() == 1;
    });
    pair.holder.refuseNewChannels();
    pair.entry.send(two, {"r", 1s}, "QUERY b WRITE x 1\r\n");
    pair.entry.send(one, {"r", 1s}, "QUERY c READ x\r\n");
    pair.runUntil([&] {
        return pair.atEntry.closed.size() == 1 && pair.atHolder.statements.size() == 2;
    });
    CHECK_EQUAL(1, pair.atEntry.closing.size());
    CHECK_EQUAL(pair.address, pair.atEntry.closing.front());
    CHECK_EQUAL(2, pair.atEntry.closed.front());
    CHECK_TRUE(pair.atEntry.lastSent.front() == sent_work::notTaken);
    CHECK_EQUAL(std::string("r 1000 QUERY c READ x\r\n"), pair.atHolder.statements.back());
}

TEST(relay_links, aMessageThatABuildDoesNotKnowEndsNothing)
{
    // The recorded ends have no handlers for other messages, as builds before store_changes.
    linked_pair pair;
    pair.entry.open(one, pair.address);
    pair.runUntil([&] {
        return pair.atEntry.opened.size() == 1;
    });
    relay::relay_message message;
    message.mutable_changes()->set_polled_at(1);
    pair.entry.sendToPeer(pair.address, message);
    relay::relay_message unknown;
    const std::string laterField = "\xfa\x01\x02\x08\x01";
    CHECK_TRUE(unknown.ParseFromString(laterField));
    pair.entry.sendToPeer(pair.address, unknown);
    pair.entry.send(one, {"route-a", 700ms}, "QUERY a READ x\r\n");
    pair.runUntil([&] {
        return pair.atHolder.statements.size() == 1;
    });
    CHECK_TRUE(pair.atEntry.closed.empty());
}

TEST(relay_links, onlyALinkWithoutChannelsIsUnused)
{
    linked_pair pair;
    pair.entry.open(one, pair.address);
    pair.runUntil([&] {
        return pair.atEntry.opened.size() == 1;
    });
    pair.entry.dropUnusedLink(pair.address);
    pair.entry.send(one, {"route-a", 700ms}, "QUERY a READ x\r\n");
    pair.runUntil([&] {
        return pair.atHolder.statements.size() == 1;
    });
    pair.entry.close(one);
    pair.runUntil([&] {
        return pair.atHolder.closedChannels.size() == 1;
    });
    pair.entry.dropUnusedLink(pair.address);
    pair.entry.open(two, pair.address);
    pair.entry.send(two, {"route-b", 700ms}, "QUERY b READ x\r\n");
    pair.runUntil([&] {
        return pair.atHolder.statements.size() == 2;
    });
    CHECK_TRUE(pair.atHolder.channels[0].link != pair.atHolder.channels[1].link);
}

TEST(relay_links, theGroupThatAMessageNamesArrivesWithItsReadRuleAndRepliesAreMarkedAsItsOwn)
{
    linked_pair pair;
    pair.entry.open(one, pair.address);
    pair.runUntil([&] {
        return !pair.atEntry.opened.empty();
    });
    const relayed_route named{group_name("g"), read_rule::session, 2500ms};
    pair.entry.send(one, {"r", 1s, {}, named}, "QUERY a READ x\r\n");
    pair.entry.send(one, {"r", 1s}, "QUERY b READ x\r\n");
    pair.runUntil([&] {
        return pair.atHolder.served.size() == 2;
    });
    CHECK_TRUE(pair.atHolder.served[0] == named);
    CHECK_FALSE(pair.atHolder.served[1].has_value());
    pair.holder.reply(pair.atHolder.channels.front(), "READY I 3.4\r\n");
    pair.runUntil([&] {
        return !pair.atEntry.atNamedGroup.empty();
    });
    CHECK_TRUE(pair.atEntry.atNamedGroup.front());
}
