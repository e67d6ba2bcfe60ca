#include "mustardrouter/Ownership/ownership_record.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

TEST_GROUP(ownership_record){};

TEST(ownership_record, rangesNeverOverlapEarlierOnes)
{
    const std::vector<term_range> holders{{instance_name("a"), "", {}, {}}, {instance_name("b"), "", {}, {}}};
    const ownership_record first = nextRecord({}, term_number(0), holders);
    const ownership_record second = nextRecord(first, term_number(0), holders);
    CHECK(first.ranges[0].last < first.ranges[1].first);
    CHECK(first.ranges[1].last < second.ranges[0].first);
}
