#include "mustardrouter/Network/frame_reader.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

TEST_GROUP(frame_reader){};

TEST(frame_reader, distinguishesCompletePartialAndInvalidFrames)
{
    const std::string two("\x03"
                          "abc"
                          "\x01"
                          "d",
                          6);
    const frame_read complete = readFrame(two);
    CHECK(complete.state == frame_state::complete);
    CHECK(complete.payload == "abc");
    UNSIGNED_LONGS_EQUAL(4, complete.consumedBytes);
    CHECK(readFrame("").state == frame_state::partial);
    CHECK(readFrame("\x03"
                    "ab")
              .state
          == frame_state::partial);
    CHECK(readFrame("\xff\xff").state == frame_state::partial);
    // A length of five megabytes, and a varint that does not terminate.
    CHECK(readFrame("\x80\x80\xc0\x02").cause == failure::frameTooLarge);
    CHECK(readFrame("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff").state == frame_state::invalid);
}
