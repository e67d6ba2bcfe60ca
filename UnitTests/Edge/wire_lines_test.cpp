#include "mustardrouter/Edge/wire_lines.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace mustardrouter;

TEST_GROUP(wire_lines){};

TEST(wire_lines, aMessageThatArrivesInManyPartsIsSearchedOnce)
{
    // 100 peers that sent 1 MB of carriage returns each kept an instance busy after they had left.
    constexpr std::size_t partBytes = 4096;
    constexpr std::size_t parts = 250;
    for (const char filler : {'x', '\r', '\n'}) {
        std::string input;
        std::size_t searched = 0;
        std::size_t examined = 0;
        for (std::size_t part = 0; part < parts; ++part) {
            input.append(partBytes, filler);
            examined += input.size() - searched;
            std::string_view unread = input;
            CHECK_FALSE(takeLine(unread, searched).has_value());
        }
        CHECK_TRUE(examined <= input.size() + parts);
    }
}

TEST(wire_lines, aTerminatorBetweenTwoPartsEndsTheLine)
{
    std::string input = "first\r";
    std::size_t searched = 0;
    std::string_view unread = input;
    CHECK_FALSE(takeLine(unread, searched).has_value());
    input += "\nsecond\r\nthi";
    unread = input;
    CHECK_TRUE(takeLine(unread, searched) == "first");
    CHECK_TRUE(takeLine(unread, searched) == "second");
    CHECK_FALSE(takeLine(unread, searched).has_value());
    input = std::string(unread) + "rd\r\n";
    unread = input;
    CHECK_TRUE(takeLine(unread, searched) == "third");
    CHECK_TRUE(unread.empty());
}
