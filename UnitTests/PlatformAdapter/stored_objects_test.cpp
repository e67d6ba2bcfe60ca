#include "platform/stored_objects.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace mustardrouter::platform;

namespace
{

const char *const entry = R"({"service":"g","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":3,"state":"ready",
"warmup_left_ms":0,"db_role":"replica","sequence":4,"born":1784412349033})";

stored_object objectOf(const std::string &spec)
{
    const auto object =
        decodeObject(R"({"meta":{"name":"i-1","revision":7,"created":1,"finalizers":[],"marked_for_deletion":false},"spec":)" + spec
                         + R"(,"status":null})",
                     store_era());
    CHECK_TRUE(object.has_value());
    return *object;
}

std::string entryWith(const char *what, const char *with)
{
    std::string text = entry;
    text.replace(text.find(what), std::string(what).size(), with);
    return text;
}

} // namespace

TEST_GROUP(stored_objects){};

TEST(stored_objects, databaseEntryIsDecoded)
{
    std::string problem;
    const auto database = decodeDatabase(objectOf(entry), problem);
    CHECK_TRUE(database.has_value());
    CHECK_EQUAL(std::string("g"), database->group.value());
    CHECK_EQUAL(std::string("z"), database->dataCentre);
    CHECK_FALSE(database->leaving);
    CHECK_FALSE(database->reportsPrimary);
    CHECK_EQUAL(1784412349033ULL, database->incarnation);
}

TEST(stored_objects, invalidDatabaseEntriesAreRefused)
{
    const std::string damaged[] = {"null",
                                   "\"text\"",
                                   "[]",
                                   "{}",
                                   entryWith("\"slots\":3", "\"slots\":\"3\""),
                                   entryWith("\"slots\":3", "\"slots\":0"),
                                   entryWith("\"state\":\"ready\"", "\"state\":\"asleep\""),
                                   entryWith("\"db_role\":\"replica\"", "\"db_role\":\"witness\""),
                                   entryWith("\"db_role\":\"replica\"", "\"db_role\":1"),
                                   entryWith("10.128.0.9:8080", "somewhere"),
                                   entryWith("10.128.0.9:8080", "10.128.0.9:99999"),
                                   entryWith("\"sequence\":4", "\"sequence\":\"x\"")};
    for (const std::string &spec : damaged) {
        std::string problem;
        CHECK_FALSE(decodeDatabase(objectOf(spec), problem).has_value());
        CHECK_FALSE(problem.empty());
    }
}

TEST(stored_objects, configurationIsDecodedAndUnknownRouteTypesAreSkipped)
{
    std::string problem;
    const auto table = decodeConfiguration(objectOf(R"({"version":7,"routes":[
{"name":"r","host":"h1","type":"read_your_writes","timeout_ms":1000,"target_latency_ms":900,"priority":2,"service":"g","max_staleness_ms":2500},
{"name":"r","host":"h2","type":"primary","timeout_ms":700,"target_latency_ms":600,"priority":1,"service":"g"},
{"name":"r","host":"h3","type":"sideways","service":"g"}],
"services":[{"name":"g","max_conns":45,"sync_replicas":1}],"limits":{"tx_idle_ms":2000}})"),
                                           problem);
    CHECK_TRUE(table.has_value());
    CHECK_EQUAL(2, table->routes.size());
    CHECK_TRUE(table->routes.at("h1").rule == read_rule::session);
    CHECK_TRUE(table->routes.at("h1").maxAge == std::chrono::milliseconds(2500));
    CHECK_TRUE(table->routes.at("h2").rule == read_rule::latest);
    CHECK_EQUAL(45, table->groups.at(group_name("g")).connections);
    CHECK_EQUAL(1, table->groups.at(group_name("g")).syncReplicas);
    CHECK_TRUE(table->idleInTransactionTimeout == std::chrono::milliseconds(2000));
    CHECK_FALSE(problem.empty());
}

TEST(stored_objects, invalidPagesAndChangesAreRefused)
{
    for (const char *body : {"", "x", "[]", "{}", R"({"items":1,"as_of":1})", R"({"items":[],"as_of":"1"})"}) {
        CHECK_FALSE(decodePage(body, store_era()).has_value());
        CHECK_FALSE(decodeChanges(body, store_era()).has_value());
    }
    const auto page = decodePage(R"({"items":["x",{"meta":{"name":"a","revision":3},"spec":{}}],"has_more":true,"as_of":9})", store_era(2));
    CHECK_EQUAL(1, page->objects.size());
    CHECK_TRUE(page->more);
    CHECK_TRUE(page->position == (store_position{store_era(2), store_revision(9)}));
    CHECK_TRUE(page->objects.front().position == (store_position{store_era(2), store_revision(3)}));
}

TEST(stored_objects, aClaimIsReadAsItWasWritten)
{
    const promotion_claim claim{
        {store_era(4), store_revision(7)}, term_number(3), database_name("i-2"), {database_name("i-0"), database_name("i-1")}};
    const std::string body = encodeClaim(group_name("g"), claim, "edge-1");
    CHECK_TRUE(body.find("\"revision\":7") != std::string::npos);
    const std::optional<stored_object> object = decodeObject(
        R"({"meta":{"name":"g","revision":8},"spec":{"term":3,"successor":"i-2","unsettled":"i-1","holder":"edge-1"}})", store_era(4));
    const promotion_claim read = decodeClaim(*object);
    CHECK_TRUE(read.position == (store_position{store_era(4), store_revision(8)}));
    CHECK_EQUAL(3, read.term.value());
    CHECK_EQUAL(std::string("i-2"), read.successor.value());
    CHECK_EQUAL(1U, read.unsettledSuccessors.size());
    CHECK_EQUAL(std::string("i-1"), read.unsettledSuccessors.front().value());
    const std::string written = R"({"meta":{"name":"g","revision":8},)" + body.substr(body.find("\"spec\""));
    const promotion_claim same = decodeClaim(*decodeObject(written, store_era(4)));
    CHECK_TRUE(same.unsettledSuccessors == claim.unsettledSuccessors);
}

TEST(stored_objects, numbersOutOfRangeAreReplacedByTheDefault)
{
    const std::optional<stored_object> object =
        decodeObject(R"({"meta":{"name":"main","revision":1},"spec":{"version":1,"routes":[],)"
                     R"("services":[{"name":"a","max_conns":1e300},{"name":"b","max_conns":5000000000}],"limits":{"tx_idle_ms":1e30}}})",
                     store_era());
    std::string problem;
    const std::optional<route_table> table = decodeConfiguration(*object, problem);
    CHECK_EQUAL(1, table->groups.at(group_name("a")).connections);
    CHECK_EQUAL(1, table->groups.at(group_name("b")).connections);
    CHECK_TRUE(table->idleInTransactionTimeout == std::chrono::milliseconds(3000));
}

TEST(stored_objects, anInstanceIsReadAsItWasWrittenAndAnInvalidOneIsPassedOver)
{
    const listed_instance instance{instance_name("edge-1"), "10.1.0.8:7441", "z", 0.5, false};
    CHECK_TRUE(encodeInstance(instance).find("\"10.1.0.8:7441\"") != std::string::npos);
    const auto decoded = [](const std::string &spec) {
        return decodeInstance(*decodeObject(R"({"meta":{"name":"edge-1","revision":8},"spec":)" + spec + "}", store_era()));
    };
    CHECK_TRUE(decoded(R"({"address":"10.1.0.8:7441","data_centre":"z","capacity":0.5,"leaving":false})") == instance);
    CHECK_FALSE(decoded(R"({"address":"edge-1:7441","data_centre":"z","capacity":0.5,"leaving":false})").has_value());
    CHECK_FALSE(decoded(R"({"address":"10.1.0.8:7441","data_centre":"z","capacity":0,"leaving":false})").has_value());
    CHECK_FALSE(decoded(R"({"address":"10.1.0.8:7441","data_centre":"z","capacity":1})").has_value());
    CHECK_FALSE(decoded("[]").has_value());
}

TEST(stored_objects, aClaimThatIsWrittenAgainDiffersFromTheOneBefore)
{
    // Soak seed 118: the store gives no new revision, and so no new fence, to a write that changes nothing.
    const auto contentOf = [](std::uint64_t replaced) {
        const promotion_claim claim{{store_era(), store_revision(replaced)}, term_number(3), database_name("i-2"), {}};
        const std::string body = encodeClaim(group_name("g"), claim, "edge-1");
        return body.substr(body.find("\"spec\""));
    };
    CHECK_TRUE(contentOf(0) != contentOf(24));
    CHECK_TRUE(contentOf(24) != contentOf(25));
}

namespace
{

/// A configuration with one route and these workspaces.
std::optional<route_table> withWorkspaces(const std::string &workspaces, std::string &problem)
{
    problem.clear();
    return decodeConfiguration(objectOf(R"({"version":7,"routes":[{"host":"h1","type":"primary","service":"g"},
{"host":"h2","type":"primary","service":"g","public":true},{"host":"h3","type":"primary","service":"g","public":"yes"}],"services":[],
"tenants":)" + workspaces + "}"),
                               problem);
}

const workspace *workspaceWithKey(const std::optional<route_table> &table, const std::string &key)
{
    return findWorkspace(table->workspaces, api_key(key));
}

} // namespace

TEST(stored_objects, workspacesKeysAndLimitsAreDecoded)
{
    std::string problem;
    const auto table = withWorkspaces(R"([{"name":"red","api_keys":["r1","r \u00e9\u0001"],"priority":2,"rate_per_s":12.5,"burst":30},
{"name":"blue","api_keys":["b1"]}])",
                                      problem);
    CHECK_TRUE(table->workspaces.enabled);
    const workspace *red = workspaceWithKey(table, "r1");
    CHECK_TRUE(red->name == workspace_name("red") && red->priority == 2);
    CHECK_TRUE(red->limit == (workspace_limit{12.5, 30}));
    CHECK_TRUE(workspaceWithKey(table, "r \xc3\xa9\x01") == red);
    CHECK_FALSE(workspaceWithKey(table, "b1")->limit.has_value());
    CHECK_FALSE(table->routes.at("h1").isPublic);
    CHECK_TRUE(table->routes.at("h2").isPublic);
    CHECK_FALSE(table->routes.at("h3").isPublic);
    CHECK_FALSE(problem.empty());
}

TEST(stored_objects, withoutWorkspacesNothingIsSwitchedOn)
{
    std::string problem;
    const auto table = decodeConfiguration(objectOf(R"({"version":7,"routes":[],"services":[]})"), problem);
    CHECK_FALSE(table->workspaces.enabled);
    CHECK_TRUE(problem.empty());
    CHECK_FALSE(withWorkspaces("null", problem)->workspaces.enabled);
    // All workspaces are gone: nobody is served but on public routes.
    CHECK_TRUE(withWorkspaces("[]", problem)->workspaces.enabled);
}

TEST(stored_objects, aListOfWorkspacesOfAnotherTypeMakesTheConfigurationInvalid)
{
    for (const char *list : {"{}", "true", "1", R"("red")"}) {
        std::string problem;
        CHECK_FALSE(withWorkspaces(list, problem).has_value());
        CHECK_FALSE(problem.empty());
    }
}

TEST(stored_objects, damagedWorkspacesArePassedOverAndKeysNeverNamed)
{
    for (const char *damaged : {"1",
                                R"({"api_keys":["secret"]})",
                                R"({"name":"","api_keys":["secret"]})",
                                R"({"name":"two words","api_keys":["secret"]})",
                                R"({"name":"line\r\nend","api_keys":["secret"]})",
                                R"({"name":7,"api_keys":["secret"]})",
                                R"({"name":"red","api_keys":["secret"]})",
                                R"({"name":"green","api_keys":"secret"})",
                                R"({"name":"green","api_keys":[1,{"a":"secret"},null]})"}) {
        std::string problem;
        const auto table = withWorkspaces(
            std::string(R"([{"name":"red","api_keys":["r1"]},)") + damaged + R"(,{"name":"blue","api_keys":["b1"]}])", problem);
        CHECK_TRUE(workspaceWithKey(table, "secret") == nullptr);
        CHECK_TRUE(workspaceWithKey(table, "r1")->name == workspace_name("red"));
        CHECK_TRUE(workspaceWithKey(table, "b1")->name == workspace_name("blue"));
        CHECK_FALSE(problem.empty());
        CHECK_TRUE(problem.find("secret") == std::string::npos);
    }
    std::string problem;
    const auto twice = withWorkspaces(R"([{"name":"red","api_keys":["secret",""]},{"name":"blue","api_keys":["secret","b1"]}])", problem);
    CHECK_TRUE(workspaceWithKey(twice, "secret")->name == workspace_name("red"));
    CHECK_TRUE(workspaceWithKey(twice, "b1")->name == workspace_name("blue"));
    CHECK_TRUE(workspaceWithKey(twice, "") == nullptr);
    CHECK_FALSE(problem.empty());
    CHECK_TRUE(problem.find("secret") == std::string::npos);
}

TEST(stored_objects, aDamagedLimitAllowsNothingAndAMissingOneEverything)
{
    const auto limitOf = [](const std::string &fields, bool damaged) {
        std::string problem;
        const auto table = withWorkspaces(R"([{"name":"red","api_keys":["r1"])" + fields + "}]", problem);
        CHECK_EQUAL(damaged, problem.find("rate or burst") != std::string::npos);
        return workspaceWithKey(table, "r1")->limit;
    };
    CHECK_FALSE(limitOf("", false).has_value());
    CHECK_FALSE(limitOf(R"(,"rate_per_s":null,"burst":null)", false).has_value());
    CHECK_TRUE(limitOf(R"(,"rate_per_s":0,"burst":0)", false) == (workspace_limit{0, 0}));
    CHECK_TRUE(limitOf(R"(,"rate_per_s":5)", false) == (workspace_limit{5, 0}));
    CHECK_TRUE(limitOf(R"(,"burst":5)", true) == (workspace_limit{0, 5}));
    CHECK_TRUE(limitOf(R"(,"rate_per_s":-1,"burst":5)", true) == (workspace_limit{0, 5}));
    CHECK_TRUE(limitOf(R"(,"rate_per_s":"5","burst":5)", true) == (workspace_limit{0, 5}));
    CHECK_TRUE(limitOf(R"(,"rate_per_s":true,"burst":-5)", true) == (workspace_limit{0, 0}));
    CHECK_TRUE(limitOf(R"(,"rate_per_s":[5],"burst":{})", true) == (workspace_limit{0, 0}));
    CHECK_TRUE(limitOf(R"(,"rate_per_s":1e300,"burst":1e30)", false) == (workspace_limit{4294967295.0, 4294967295.0}));
}
