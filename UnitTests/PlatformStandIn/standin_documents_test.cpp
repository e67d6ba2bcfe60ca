#include "mustardrouter/PlatformStandIn/standin_documents.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

std::string textOf(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value smallConfiguration()
{
    const std::map<std::string, route> routes{{"open", {group_name("g")}}, {"closed", {group_name("g")}}};
    return configurationOf(7, routes, {});
}

} // namespace

TEST_GROUP(standin_documents){};

TEST(standin_documents, aConfigurationWithoutWorkspacesHasNoneOfTheirFields)
{
    const std::string text = textOf(smallConfiguration());
    CHECK_EQUAL(std::string::npos, text.find("tenants"));
    CHECK_EQUAL(std::string::npos, text.find("public"));
}

TEST(standin_documents, workspacesAreWrittenAsTheOperatorDoes)
{
    Json::Value configuration = smallConfiguration();
    addWorkspaces(configuration, {{"w", {"k1", "k2"}, 1, 138, 140}, {"unlimited", {}, 2}}, {"open"});
    CHECK_EQUAL(std::string("[{\"api_keys\":[\"k1\",\"k2\"],\"burst\":140.0,\"name\":\"w\",\"priority\":1,\"rate_per_s\":138.0},"
                            "{\"api_keys\":[],\"name\":\"unlimited\",\"priority\":2}]"),
                textOf(configuration["tenants"]));
    for (const Json::Value &item : configuration["routes"]) {
        CHECK_EQUAL(item["host"].asString() == "open", item["public"].asBool());
    }
}

TEST(standin_documents, aConfigurationMayHaveNoWorkspaceLeft)
{
    Json::Value configuration = smallConfiguration();
    addWorkspaces(configuration, {}, {});
    CHECK_EQUAL(std::string("[]"), textOf(configuration["tenants"]));
}
