#include "mustardrouter/Configuration/change_set.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

change_set randomChanges()
{
    change_set changes;
    for (int name = 0; name < 6; ++name) {
        const std::string text = std::to_string(name);
        const int what = *rc::gen::inRange(0, 4);
        if (what == 0) {
            changes.removed.push_back({"place", text});
        } else if (what == 1) {
            changes.changed.emplace_back(place{text, std::to_string(*rc::gen::inRange(0, 3))});
        }
    }
    return changes;
}

} // namespace

TEST_GROUP(change_set){};

TEST(change_set, mergedChangesEqualBothInSequence)
{
    CHECK(rc::check("from the initial and from the intermediate snapshot", [] {
        const configuration_snapshot start = applyChanges({}, randomChanges());
        const change_set first = randomChanges();
        const change_set second = randomChanges();
        const configuration_snapshot middle = applyChanges(start, first);
        const configuration_snapshot end = applyChanges(middle, second);
        const change_set merged = mergeChanges(first, second);
        RC_ASSERT(applyChanges(start, merged).places == end.places);
        RC_ASSERT(applyChanges(middle, merged).places == end.places);
        RC_ASSERT(applyChanges(start, differenceOf(start, end)).places == end.places);
    }));
}
