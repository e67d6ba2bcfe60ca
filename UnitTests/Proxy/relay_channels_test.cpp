#include "mustardrouter/Proxy/relay_channels.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

constexpr std::uint64_t channel = 7;

} // namespace

TEST_GROUP(relay_channels){};

TEST(relay_channels, messagesInOrderAreHandled)
{
    relay_channels channels;
    CHECK_TRUE(arrive(channels, channel, 1) == relay_arrival::opens);
    CHECK_TRUE(arrive(channels, channel, 2) == relay_arrival::continues);
    CHECK_EQUAL(2, closeHere(channels, channel).value());
}

TEST(relay_channels, aLaterMessageOfAChannelThatIsNotOpenIsNotHandled)
{
    relay_channels channels;
    CHECK_TRUE(arrive(channels, channel, 3) == relay_arrival::notHandled);
    CHECK_EQUAL(2, handledBefore(channels, channel, 3));
    arrive(channels, channel, 1);
    closeHere(channels, channel);
    CHECK_TRUE(arrive(channels, channel, 2) == relay_arrival::notHandled);
    CHECK_TRUE(arrive(channels, channel, 3) == relay_arrival::notHandled);
    CHECK_EQUAL(1, handledBefore(channels, channel, 3));
    CHECK_TRUE(channels.open.empty());
}

TEST(relay_channels, aMessageThatComesTwiceOrAfterAGapIsNotHandled)
{
    for (const std::uint32_t number : {0U, 1U, 2U, 4U}) {
        relay_channels channels;
        arrive(channels, channel, 1);
        arrive(channels, channel, 2);
        CHECK_TRUE(arrive(channels, channel, number) == relay_arrival::outOfOrder);
        // One that came twice has been handled, one after a gap has not.
        CHECK_EQUAL(2, closeHere(channels, channel).value());
        CHECK_TRUE(workOf(2, number) == (number > 2 ? sent_work::notRun : sent_work::mayHaveRun));
    }
}

TEST(relay_channels, aNumberOfAChannelThatIsUsedAgainBeginsWithoutWhatWasRememberedOfTheFirst)
{
    relay_channels channels;
    arrive(channels, channel, 1);
    arrive(channels, channel, 2);
    closeHere(channels, channel);
    CHECK_TRUE(arrive(channels, channel, 1) == relay_arrival::opens);
    CHECK_EQUAL(1, closeHere(channels, channel).value());
    CHECK_TRUE(arrive(channels, channel, 1) == relay_arrival::opens);
    CHECK_TRUE(closedThere(channels, channel));
    CHECK_FALSE(closedThere(channels, channel));
    CHECK_FALSE(closeHere(channels, channel).has_value());
}

TEST(relay_channels, withoutNumbersOnlyAChannelThatWasClosedHereRefuses)
{
    relay_channels channels;
    CHECK_TRUE(arrive(channels, channel, 0) == relay_arrival::opens);
    CHECK_TRUE(arrive(channels, channel, 0) == relay_arrival::continues);
    CHECK_EQUAL(0, closeHere(channels, channel).value());
    CHECK_TRUE(arrive(channels, channel, 0) == relay_arrival::notHandled);
    CHECK_TRUE(arrive(channels, channel + 1, 0) == relay_arrival::opens);
    channels.refusesNew = true;
    CHECK_TRUE(arrive(channels, channel + 2, 0) == relay_arrival::opens);
}

TEST(relay_channels, anEndThatOpensNoChannelsStillHandlesThoseThatAreOpen)
{
    relay_channels channels;
    arrive(channels, channel, 1);
    channels.refusesNew = true;
    CHECK_TRUE(arrive(channels, channel, 2) == relay_arrival::continues);
    CHECK_TRUE(arrive(channels, channel + 1, 1) == relay_arrival::notHandled);
    CHECK_EQUAL(0, handledBefore(channels, channel + 1, 1));
    CHECK_TRUE(workOf(0, 1) == sent_work::notTaken);
}

TEST(relay_channels, whatIsRememberedIsBounded)
{
    relay_channels channels;
    for (std::uint64_t number = 1; number <= 5000; ++number) {
        arrive(channels, number, 1);
        closeHere(channels, number);
        arrive(channels, number, 1);
        closeHere(channels, number);
    }
    CHECK_TRUE(channels.closed.size() <= 1024);
    CHECK_EQUAL(channels.closed.size(), channels.closedInOrder.size());
    CHECK_TRUE(arrive(channels, 1, 2) == relay_arrival::notHandled);
}
