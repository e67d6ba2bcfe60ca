#include "mustardrouter/Runtime/metric_description.h"
#include "mustardrouter/Runtime/metrics.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

std::string readPage()
{
    std::ifstream file(std::string(MUSTARDROUTER_SOURCE) + "/docs/METRICS.md");
    return {std::istreambuf_iterator<char>(file), {}};
}

std::set<std::string> namesIn(const std::string &page)
{
    const std::string prefix = "| `mustardrouter_";
    std::set<std::string> names;
    for (std::size_t at = page.find(prefix); at != std::string::npos; at = page.find(prefix, at + 1)) {
        const std::size_t begin = at + 3;
        names.insert(page.substr(begin, page.find('`', begin) - begin));
    }
    return names;
}

} // namespace

// clang-format off
TEST_GROUP(metrics) {};
// clang-format on

TEST(metrics, documentationListsEveryFamilyAsDescribedInTheCode)
{
    const std::string page = readPage();
    for (const metric_description *what : metric::all) {
        const std::string row = std::string("| `") + what->name + "` | " + what->type + " | " + what->labels + " | " + what->help + " |";
        CHECK_TEXT(page.find(row) != std::string::npos, row.c_str());
    }
    CHECK_EQUAL(metric::all.size(), namesIn(page).size());
}

TEST(metrics, everyDescribedFamilyIsExposed)
{
    metrics figures;
    figures.countStatement("s", outcome::done, 0.01);
    figures.countRead("g", true);
    figures.countTermStarted("g");
    figures.setWaiting("g", 1);
    figures.setServing("g", true);
    figures.setDatabase("g", "d", {1, 2, 3});
    const std::vector<std::string> names = figures.names();
    CHECK_EQUAL(metric::all.size(), names.size());
    for (const metric_description *what : metric::all) {
        CHECK_TEXT(std::ranges::find(names, what->name) != names.end(), what->name);
    }
}
