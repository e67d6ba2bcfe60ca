#include "mustardrouter/Edge/content_difference.h"
#include "platform/stored_objects.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace mustardrouter;

namespace
{

Json::Value parsed(const char *text)
{
    return platform::decodeContent(text).value();
}

Json::Value jsonRoute(int number)
{
    Json::Value value;
    value["host"] = "route-" + std::to_string(number);
    value["timeout_ms"] = number % 900;
    return value;
}

Json::Value configuration(int routes)
{
    Json::Value value;
    value["version"] = 1;
    value["routes"] = Json::Value(Json::arrayValue);
    for (int number = 0; number < routes; ++number) {
        value["routes"].append(jsonRoute(number));
    }
    value["limits"]["tx_idle_ms"] = 3000;
    return value;
}

/// The difference as it travels.
Json::Value sent(const Json::Value &difference)
{
    return platform::decodeContent(platform::encodeContent(difference)).value();
}

void changeAtRandom(Json::Value &content, std::mt19937_64 &random, int &next)
{
    Json::Value &routes = content["routes"];
    const auto place = static_cast<Json::ArrayIndex>(routes.empty() ? 0 : random() % routes.size());
    switch (random() % 5) {
    case 0:
        routes.insert(place, jsonRoute(next++));
        break;
    case 1:
        if (!routes.empty()) {
            Json::Value ignored;
            routes.removeIndex(place, &ignored);
        }
        break;
    case 2:
        if (!routes.empty()) {
            routes[place]["timeout_ms"] = next++;
        }
        break;
    case 3:
        content["added-" + std::to_string(next)] = jsonRoute(next);
        next += 1;
        break;
    default:
        content.removeMember("limits");
        break;
    }
    content["version"] = content["version"].asInt() + 1;
}

} // namespace

TEST_GROUP(content_difference){};

TEST(content_difference, aDifferenceLeadsFromOneValueToTheOther)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random(seed);
        const Json::Value before = configuration(static_cast<int>(random() % 60));
        Json::Value after = before;
        int next = 1000;
        for (std::uint64_t changes = random() % 30; changes > 0; --changes) {
            changeAtRandom(after, random, next);
        }
        const std::optional<Json::Value> applied = applyDifference(before, sent(differenceOf(before, after)));
        CHECK_TRUE(applied.has_value() && *applied == after);
    }
}

TEST(content_difference, valuesOfOtherTypesAreReplaced)
{
    const char *const values[] = {"null", "1", "-1.5", "\"text\"", "[]", "[1,[2],{}]", "{}", "{\"a\":[1],\"b\":null}", "true"};
    for (const char *before : values) {
        for (const char *after : values) {
            const std::optional<Json::Value> applied = applyDifference(parsed(before), sent(differenceOf(parsed(before), parsed(after))));
            CHECK_TRUE(applied.has_value() && *applied == parsed(after));
        }
    }
}

TEST(content_difference, oneRouteOfManyIsASmallDifference)
{
    const Json::Value before = configuration(1400);
    Json::Value after = before;
    after["version"] = 2;
    after["routes"][3]["timeout_ms"] = 7;
    Json::Value ignored;
    after["routes"].removeIndex(900, &ignored);
    after["routes"].append(jsonRoute(2000));
    CHECK_TRUE(platform::encodeContent(differenceOf(before, after)).size() < 400);
}

TEST(content_difference, aMalformedDifferenceIsRefused)
{
    const Json::Value before = parsed(R"({"a":[1,2,3],"b":{"c":1}})");
    for (const char *difference : {"null",
                                   "[]",
                                   "{}",
                                   R"({"members":1,"removed":[]})",
                                   R"({"members":{},"removed":[1]})",
                                   R"({"members":{},"removed":["none"]})",
                                   R"({"members":{"a":{"parts":[[2,2]]}},"removed":[]})",
                                   R"({"members":{"a":{"parts":[[4,0]]}},"removed":[]})",
                                   R"({"members":{"a":{"parts":[[1,4294967295]]}},"removed":[]})",
                                   R"({"members":{"a":{"parts":[[-1,1]]}},"removed":[]})",
                                   R"({"members":{"a":{"parts":[[0,2],[0,2]]}},"removed":[]})",
                                   R"({"members":{"a":{"parts":[["0",1]]}},"removed":[]})",
                                   R"({"members":{"a":{"parts":[{"new":1}]}},"removed":[]})",
                                   R"({"members":{"a":{"parts":7}},"removed":[]})",
                                   R"({"members":{"b":{"parts":[]}},"removed":[]})",
                                   R"({"members":{"a":{"members":{},"removed":[]}},"removed":[]})",
                                   R"({"members":{"b":7},"removed":[]})"}) {
        CHECK_FALSE(applyDifference(before, parsed(difference)).has_value());
    }
}
