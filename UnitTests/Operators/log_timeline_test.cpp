#include "mustardrouter/Operators/log_timeline.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

std::vector<log_line> linesOf(const std::string &text)
{
    std::istringstream in(text);
    std::size_t skipped = 0;
    std::vector<log_line> lines = readLog(in, skipped);
    sortByTime(lines);
    return lines;
}

const char *const failoverLog = R"({"at":9000,"instance":"e1","event":"database_suspected","database":"d1","why":"connection lost"}
not a line of the log
  3.2 e1 {"at":9700,"instance":"e1","event":"promotion_wanted","group":"g","cause":"primary silent","lead":"d1"}
{"at":9100,"instance":"e2","event":"database_suspected","database":"d1","why":"connection lost"}
{"at":9800,"instance":"e1","event":"database_suspected","database":"other","why":"connection lost"}
{"at":9900,"instance":"e1","event":"statement_refused","request":"r1","group":"g","lead":"d1","why":"no connection in time","waited_ms":"1000"}
{"at":9950,"instance":"e1","event":"statement_refused","request":"r2","group":"g","lead":"d1","why":"no connection in time","waited_ms":"1000"}
{"at":11000,"instance":"e1","event":"lead_changed","group":"g","from":"d1","to":"d2"}
{"at":1000,"instance":"e1","event":"lead_changed","group":"g","from":"d0","to":"d1"}
)";

} // namespace

TEST_GROUP(log_timeline){};

TEST(log_timeline, prefixesAreIgnoredAndOtherLinesAreCounted)
{
    std::istringstream in(failoverLog);
    std::size_t skipped = 0;
    CHECK_EQUAL(8U, readLog(in, skipped).size());
    CHECK_EQUAL(1U, skipped);
}

TEST(log_timeline, linesWithValuesOfOtherTypesOrNestedTooDeeplyDoNoHarm)
{
    std::istringstream in(R"({"at":5,"instance":"e1","event":"x","list":[1],"request":"r1"})"
                          "\n{\"at\":"
                          + std::string(5000, '['));
    std::size_t skipped = 0;
    CHECK_EQUAL(1U, readLog(in, skipped).size());
    CHECK_EQUAL(1U, skipped);
}

TEST(log_timeline, timelineOfARequestIncludesItsInstancesEventsAboutItsDatabases)
{
    const std::vector<log_line> timeline = timelineOf(linesOf(failoverLog), "r1");
    CHECK_EQUAL(3U, timeline.size());
    CHECK_EQUAL(std::string("database_suspected"), timeline[0].event);
    CHECK_EQUAL(std::string("promotion_wanted"), timeline[1].event);
    CHECK_EQUAL(std::string("statement_refused"), timeline[2].event);
    CHECK_TRUE(toText(timeline).find("900 ms  e1  statement_refused") != std::string::npos);
}

TEST(log_timeline, aLossOfTheStoresHistoryIsNamedBesideARequestThatWaitedForIt)
{
    const std::vector<log_line> timeline =
        timelineOf(linesOf("{\"at\":100,\"instance\":\"e1\",\"event\":\"store_history_lost\",\"era\":\"3\",\"before\":\"2\"}\n"
                           "{\"at\":700,\"instance\":\"e1\",\"event\":\"store_listed_again\",\"kind\":\"databases\",\"after_ms\":\"600\"}\n"
                           "{\"at\":900,\"instance\":\"e1\",\"event\":\"statement_refused\",\"request\":\"r1\",\"group\":\"g\"}\n"),
                   "r1");
    CHECK_EQUAL(3U, timeline.size());
    CHECK_EQUAL(std::string("store_history_lost"), timeline[0].event);
}

TEST(log_timeline, statementInATransactionIsFoundByTheRequestThatBeganIt)
{
    const std::vector<log_line> timeline = timelineOf(
        linesOf(R"({"at":5,"instance":"e1","event":"statement_refused","request":"r2","transaction":"r1","why":"no answer in time"})"),
        "r1");
    CHECK_EQUAL(1U, timeline.size());
    CHECK_EQUAL(std::string("r2"), timeline.front().fields.at("request"));
}

TEST(log_timeline, timelineOfADatabaseIncludesAllInstances)
{
    const std::vector<log_line> timeline = timelineOf(linesOf(failoverLog), "d1");
    CHECK_EQUAL(7U, timeline.size());
    CHECK_EQUAL(std::string("lead_changed"), timeline.front().event);
    CHECK_TRUE(timelineOf(linesOf(failoverLog), "unknown").empty());
}

TEST(log_timeline, aStatementUnderAWithdrawnKeyIsExplainedByTheVersionThatWithdrewIt)
{
    const std::vector<log_line> lines = linesOf(
        R"({"at":100,"instance":"e1","event":"configuration_adopted","version":"7"}
{"at":200,"instance":"e1","event":"key_withdrawn","request":"r1","key":"d1","workspace":"w","database":"x","relayed":"no"}
{"at":300,"instance":"e1","event":"key_withdrawn","request":"r2","key":"d1","workspace":"w","database":"x","relayed":"no"}
{"at":400,"instance":"e1","event":"key_unknown","key":"d1","database":"x","so_far":"1"}
)");
    const std::vector<log_line> timeline = timelineOf(lines, "r1");
    CHECK_EQUAL(2U, timeline.size());
    CHECK_EQUAL(std::string("configuration_adopted"), timeline[0].event);
    CHECK_EQUAL(std::string("key_withdrawn"), timeline[1].event);
    CHECK_EQUAL(3U, timelineOf(lines, "d1").size());
    CHECK_TRUE(refusalTable(lines).find("2  the key was withdrawn") != std::string::npos);
}

TEST(log_timeline, aStatementThatFailsWhileItsWorkspaceIsAtItsLimitIsShownWithThat)
{
    const std::vector<log_line> timeline = timelineOf(linesOf(
                                                          R"({"at":100,"instance":"e1","event":"limit_reached","workspace":"w"}
{"at":150,"instance":"e1","event":"limit_reached","workspace":"other"}
{"at":200,"instance":"e1","event":"statement_refused","request":"r1","workspace":"w","why":"no connection in time"}
)"),
                                                      "r1");
    CHECK_EQUAL(2U, timeline.size());
    CHECK_EQUAL(std::string("limit_reached"), timeline.front().event);
    CHECK_EQUAL(std::string("w"), timeline.front().fields.at("workspace"));
}

TEST(log_timeline, refusalsAreCountedBySecondAndCause)
{
    const std::string table = refusalTable(linesOf(failoverLog));
    CHECK_TRUE(table.find("8 s   2 x no connection in time") != std::string::npos);
    CHECK_TRUE(refusalTable({}).starts_with("no statement"));
}
