#include "mustardrouter/Membership/rendezvous.h"

#include <rapidcheck.h>

#include <set>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

std::vector<instance_name> namesOf(const std::set<std::string> &texts)
{
    std::vector<instance_name> names;
    for (const std::string &text : texts) {
        names.emplace_back(text);
    }
    return names;
}

} // namespace

// clang-format off
TEST_GROUP(rendezvous) {};
// clang-format on

TEST(rendezvous, theTopRankedAreAPrefixOfTheFullOrder)
{
    const bool passed = rc::check([](const std::set<std::string> &texts, const std::string &key, std::uint8_t count) {
        const std::vector<instance_name> names = namesOf(texts);
        const std::vector<instance_name> ranked = rankInstances(key, names);
        const std::vector<std::size_t> first = rankTopInstances(key, names, count);
        RC_ASSERT(first.size() == std::min<std::size_t>(count, names.size()));
        for (std::size_t place = 0; place < first.size(); ++place) {
            RC_ASSERT(names[first[place]] == ranked[place]);
        }
    });
    CHECK(passed);
}

TEST(rendezvous, removingAnInstanceKeepsTheOrderOfTheOthers)
{
    const bool passed = rc::check([](const std::set<std::string> &texts, const std::string &key) {
        RC_PRE(texts.size() > 1);
        const std::vector<instance_name> before = rankInstances(key, namesOf(texts));
        std::set<std::string> rest = texts;
        rest.erase(before.back().value());
        const std::vector<instance_name> after = rankInstances(key, namesOf(rest));
        RC_ASSERT(after == std::vector<instance_name>(before.begin(), before.end() - 1));
    });
    CHECK(passed);
}
