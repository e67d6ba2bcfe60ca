#include "mustardrouter/Operators/status_table.h"

#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

TEST_GROUP(status_table){};

TEST(status_table, linesAreAtMost80CharactersForLongNames)
{
    const std::string longName(60, 'n');
    Json::Value status(Json::objectValue);
    status["instance"] = "entry-1.1796337716429080";
    status["revision"] = 123456;
    for (const std::string &group : {longName, std::string("scripts-1")}) {
        Json::Value &item = status["groups"][group];
        item["role"] = "bystander";
        item["term"] = Json::UInt64(1234567890123U);
        item["owner"] = longName;
        item["waiting"] = 1000000;
        Json::Value database(Json::objectValue);
        database["name"] = group + "-end";
        database["received"] = Json::UInt64(123456789012345U);
        database["applied"] = 7;
        database["connections"] = 45;
        item["databases"].append(database);
    }
    status["instances"][longName]["address"] = "[2001:db8:aaaa:bbbb:cccc:dddd:eeee:ffff]:65535";
    status["instances"][longName]["leaving"] = true;
    std::ostringstream out;
    printStatusTable(status, out);
    std::istringstream lines(out.str());
    std::size_t count = 0;
    for (std::string line; std::getline(lines, line); ++count) {
        CHECK(line.size() <= 80);
    }
    CHECK(count >= 10);
    // Long names are truncated at their start, so that their ends stay visible.
    CHECK(out.str().find("nn-end") != std::string::npos);
    CHECK(out.str().find("scripts-1-end") != std::string::npos);
    CHECK(out.str().find("leaving") != std::string::npos);
}
