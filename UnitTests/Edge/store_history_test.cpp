#include "mustardrouter/Edge/store_history.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

struct observed_history {
    int first = 0;
    int lost = 0;
    int missing = 0;
    store_history history{{[this](store_era) {
                               first += 1;
                           },
                           [this](store_era, store_era) {
                               lost += 1;
                           },
                           [this] {
                               missing += 1;
                           }}};

    std::optional<store_era> answer(std::optional<std::uint64_t> era)
    {
        return history.accept({200, "{}", era ? std::optional(store_era(*era)) : std::nullopt});
    }
};

} // namespace

TEST_GROUP(store_history){};

TEST(store_history, aLateAnswerOfAnEarlierEraIsNotUsed)
{
    observed_history observed;
    CHECK_TRUE(observed.answer(3) == store_era(3));
    CHECK_TRUE(observed.answer(4) == store_era(4));
    CHECK_FALSE(observed.answer(3).has_value());
    CHECK_TRUE(observed.answer(4) == store_era(4));
    CHECK_EQUAL(1, observed.first);
    CHECK_EQUAL(1, observed.lost);
}

TEST(store_history, aMissingEraLeavesTheLastKnownAndIsToldOnce)
{
    observed_history observed;
    CHECK_TRUE(observed.answer(std::nullopt) == store_era());
    CHECK_EQUAL(0, observed.missing);
    observed.answer(3);
    CHECK_TRUE(observed.answer(std::nullopt) == store_era(3));
    CHECK_TRUE(observed.answer(std::nullopt) == store_era(3));
    CHECK_EQUAL(1, observed.missing);
    observed.answer(3);
    observed.answer(std::nullopt);
    CHECK_EQUAL(2, observed.missing);
}

TEST(store_history, aRequestWithoutAnAnswerSaysNothing)
{
    observed_history observed;
    observed.answer(3);
    CHECK_TRUE(observed.history.accept({}) == store_era(3));
    CHECK_EQUAL(0, observed.missing);
}

TEST(store_history, anotherStoreMayBeOfALowerEra)
{
    observed_history observed;
    observed.answer(7);
    observed.history.forget();
    CHECK_TRUE(observed.answer(2) == store_era(2));
    CHECK_EQUAL(0, observed.lost);
}
