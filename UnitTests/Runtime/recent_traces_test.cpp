#include "mustardrouter/Instance/trace_budget.h"
#include "mustardrouter/Runtime/recent_traces.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

request_trace traceOf(const std::string &service, const std::string &outcome)
{
    trace_span root;
    root.name = "entry";
    root.attributes = {{"service", service}, {"outcome", outcome}};
    return {root};
}

} // namespace

// clang-format off
TEST_GROUP(recent_traces) {};
// clang-format on

TEST(recent_traces, aReaderContinuesWhereItStopped)
{
    recent_traces traces(10);
    traces.add(traceOf("a", "done"));
    traces.add(traceOf("b", "done"));
    const trace_page first = traces.read(0, 1, {});
    CHECK_EQUAL(1, first.traces.size());
    const trace_page second = traces.read(first.next, 10, {});
    CHECK_EQUAL(1, second.traces.size());
    CHECK_EQUAL(std::string("b"), attributeOf(second.traces.front().front(), "service"));
    CHECK(traces.read(second.next, 10, {}).traces.empty());
}

TEST(recent_traces, droppedTracesAreCountedAsMissed)
{
    recent_traces traces(2);
    for (const char *service : {"a", "b", "c", "d", "e"}) {
        traces.add(traceOf(service, "done"));
    }
    const trace_page page = traces.read(0, 10, {});
    CHECK_EQUAL(2, page.traces.size());
    CHECK_EQUAL(3, page.missed);
    CHECK_EQUAL(std::string("d"), attributeOf(page.traces.front().front(), "service"));
}

TEST(recent_traces, filtersByServiceAndOutcome)
{
    recent_traces traces(10);
    traces.add(traceOf("a", "done"));
    traces.add(traceOf("a", "not_run"));
    traces.add(traceOf("b", "not_run"));
    const trace_page page = traces.read(0, 10, {"a", "not_run"});
    CHECK_EQUAL(1, page.traces.size());
    CHECK_EQUAL(3, page.next);
}

TEST(recent_traces, isFollowedOnlyAfterARead)
{
    recent_traces traces(10);
    CHECK_FALSE(traces.hasRecentReader());
    traces.read(0, 1, {});
    CHECK(traces.hasRecentReader());
}

TEST(recent_traces, theTraceBudgetIsRenewedEachSecond)
{
    trace_budget budget(2);
    const time_point start{std::chrono::hours(1)};
    CHECK(budget.spend(start));
    CHECK(budget.spend(start));
    CHECK_FALSE(budget.spend(start + std::chrono::milliseconds(999)));
    CHECK(budget.spend(start + std::chrono::seconds(1)));
}
