#include "mustardrouter/Workspaces/workspace_table.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

workspace named(const char *name)
{
    workspace result;
    result.name = workspace_name(name);
    return result;
}

workspace_table tableOfTwo()
{
    workspace_table table;
    table.enabled = true;
    addWorkspace(table, named("red"), {api_key("r1"), api_key("r2")});
    addWorkspace(table, named("blue"), {api_key("b1")});
    return table;
}

} // namespace

TEST_GROUP(workspace_table){};

TEST(workspace_table, aKeyGivesItsWorkspaceAndNoOther)
{
    const workspace_table table = tableOfTwo();
    CHECK_TRUE(findWorkspace(table, api_key("r2"))->name == workspace_name("red"));
    for (const char *key : {"", "r", "r11", "R1", "r1 ", "red"}) {
        CHECK_TRUE(findWorkspace(table, api_key(key)) == nullptr);
        CHECK_FALSE(workspaceOf(table, api_key(key), false).has_value());
        CHECK_TRUE(workspaceOf(table, api_key(key), true) == workspace_name());
    }
    CHECK_TRUE(workspaceOf(table, api_key("b1"), true) == workspace_name("blue"));
}

TEST(workspace_table, aDuplicateKeyStaysWithTheFirstWorkspace)
{
    workspace_table table = tableOfTwo();
    CHECK_FALSE(addWorkspace(table, named("green"), {api_key("r1"), api_key("g1")}));
    CHECK_TRUE(findWorkspace(table, api_key("r1"))->name == workspace_name("red"));
    CHECK_TRUE(findWorkspace(table, api_key("g1"))->name == workspace_name("green"));
    CHECK_TRUE(findWorkspace(table, digestOf(api_key("r1")), workspace_name("green")) == nullptr);
    CHECK_FALSE(addWorkspace(table, named("red"), {api_key("new")}));
    CHECK_TRUE(findWorkspace(table, api_key("new")) == nullptr);
    CHECK_FALSE(addWorkspace(table, named(""), {api_key("new")}));
    CHECK_FALSE(addWorkspace(table, named("white"), {api_key("")}));
    CHECK_TRUE(findWorkspace(table, api_key("")) == nullptr);
}

TEST(workspace_table, anotherInstancesCallerMustBeKnownHereUnderTheSameName)
{
    const workspace_table table = tableOfTwo();
    const key_digest red = digestOf(api_key("r1"));
    CHECK_TRUE(workspaceOf(table, caller_identity{workspace_name("red"), red}, false) == workspace_name("red"));
    for (const bool isPublic : {false, true}) {
        CHECK_FALSE(workspaceOf(table, caller_identity{workspace_name("blue"), red}, isPublic).has_value());
        CHECK_FALSE(workspaceOf(table, caller_identity{workspace_name("red"), key_digest()}, isPublic).has_value());
        CHECK_FALSE(workspaceOf(table, caller_identity{workspace_name("none"), red}, isPublic).has_value());
        // That instance does not know the key yet.
        CHECK_FALSE(workspaceOf(table, caller_identity{workspace_name(), red}, isPublic).has_value());
        CHECK_FALSE(workspaceOf(workspace_table(), caller_identity{workspace_name("red"), red}, isPublic).has_value());
        CHECK_TRUE(workspaceOf(workspace_table(), caller_identity{}, isPublic) == workspace_name());
    }
    CHECK_FALSE(workspaceOf(table, caller_identity{}, false).has_value());
    CHECK_TRUE(workspaceOf(table, caller_identity{workspace_name(), key_digest(77)}, true) == workspace_name());
}

TEST(workspace_table, keysThatShareADigestKeepTheirWorkspaces)
{
    workspace_table table = tableOfTwo();
    const key_digest red = digestOf(api_key("r1"));
    // As if the key of blue had the same digest.
    table.digests.emplace(red, workspace_name("blue"));
    CHECK_TRUE(findWorkspace(table, red, workspace_name("red"))->name == workspace_name("red"));
    CHECK_TRUE(findWorkspace(table, red, workspace_name("blue"))->name == workspace_name("blue"));
    CHECK_TRUE(findWorkspace(table, red, workspace_name("green")) == nullptr);
}

TEST(workspace_table, aDigestIsTheSameEverywhereAndNeverZeroForAKey)
{
    CHECK_TRUE(digestOf(api_key("")) == key_digest());
    CHECK_TRUE(digestOf(api_key("u3f1")) == digestOf(api_key("u3f1")));
    CHECK_TRUE(digestOf(api_key("u3f1")) != digestOf(api_key("u3f2")));
    CHECK_TRUE(digestOf(api_key(std::string("\0", 1))) != key_digest());
    CHECK_EQUAL(std::string("00000000000000ff"), toText(key_digest(255)));
    CHECK_EQUAL(16, toText(digestOf(api_key("u3f1"))).size());
}
