#include "platform/settings_file.h"

#include <unistd.h>

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <fstream>

using namespace mustardrouter;
using namespace mustardrouter::platform;

namespace
{

const char *const validSettings = R"({"node_name":"edge-1","role":"edge","ip":"10.1.0.8","zone":"z","zones":{"z":"r","y":"q"},
"bind_addrs":{"frontend":"10.1.0.8:8784","readiness":"10.1.0.8:8785"},"internal_ports":[7440,7455],"bounds":{"grace_s":6},"bootstrap":true,
"platform":{"address":"10.200.1.7:8783"},"provider_api":{"address":"10.200.0.160:8783"},"limits":{"link_mbps":10.0},"something_new":[1]})";

/// Writes the text to a temporary file and reads it as settings. Returns the error detail, or an empty string on success.
std::string errorDetail(const std::string &text, instance_environment &environment)
{
    const std::string path = "/tmp/mustardrouter-settings-" + std::to_string(::getpid()) + ".json";
    std::ofstream(path) << text;
    const std::string problem = handleErrors(
        [&]() -> result_of<std::string> {
            BOOST_LEAF_ASSIGN(environment, readSettingsFile(path));
            return std::string();
        },
        [](const error &what) {
            return what.detail;
        });
    std::remove(path.c_str());
    return problem;
}

} // namespace

TEST_GROUP(settings_file){};

TEST(settings_file, knownFieldsAreReadAndUnknownOnesIgnored)
{
    instance_environment environment;
    CHECK_EQUAL(std::string(), errorDetail(validSettings, environment));
    CHECK_EQUAL(std::string("edge-1"), environment.instance);
    CHECK_EQUAL(std::string("z"), environment.dataCentre);
    CHECK_EQUAL(std::string("q"), environment.regions.at("y"));
    CHECK_EQUAL(std::string("10.1.0.8:7440"), environment.metricsAddress);
    CHECK_EQUAL(6000, environment.stopGraceMs);
    DOUBLES_EQUAL(1.25e6, environment.linkBytesPerSecond, 0);
    CHECK_TRUE(environment.isFirstSystemStart);
    CHECK_FALSE(environment.promotionsAreFenced);
}

TEST(settings_file, fencedPromotionsAreAssumedOnlyWhereTheFileSaysSo)
{
    std::string text = validSettings;
    text.replace(text.find("\"grace_s\":6"), 11, "\"grace_s\":6,\"require_fencing\":true");
    instance_environment environment;
    CHECK_EQUAL(std::string(), errorDetail(text, environment));
    CHECK_TRUE(environment.promotionsAreFenced);
}

TEST(settings_file, aGracePeriodOutOfRangeIsReplacedByTheDefault)
{
    for (const char *value : {"1e300", "-5", "\"6\"", "1e9"}) {
        std::string text = validSettings;
        text.replace(text.find("\"grace_s\":6"), 11, std::string("\"grace_s\":") + value);
        instance_environment environment;
        CHECK_EQUAL(std::string(), errorDetail(text, environment));
        CHECK_EQUAL(6000, environment.stopGraceMs);
    }
}

TEST(settings_file, invalidFileIsRefusedNamingTheField)
{
    instance_environment environment;
    CHECK_TRUE(errorDetail("{\"node_name\":", environment).find("not a JSON object") != std::string::npos);
    CHECK_TRUE(errorDetail("[]", environment).find("not a JSON object") != std::string::npos);
    CHECK_TRUE(errorDetail("{}", environment).find("node_name") != std::string::npos);
    std::string text = validSettings;
    text.replace(text.find("\"frontend\":\"10.1.0.8:8784\""), 26, "\"frontend\":8784          ");
    CHECK_TRUE(errorDetail(text, environment).find("frontend") != std::string::npos);
}

TEST(settings_file, boundsOfLimitsAreReadAndDamagedOnesReplacedByDefaults)
{
    const auto withBounds = [](const std::string &bounds) {
        std::string text = validSettings;
        text.replace(text.find("\"grace_s\":6"), 11, bounds);
        instance_environment environment;
        CHECK_EQUAL(std::string(), errorDetail(text, environment));
        return environment;
    };
    const instance_environment given = withBounds(R"("quota_window_s":4,"quota_overrun":0.25,"quota_slack":8)");
    CHECK_EQUAL(4000, given.quotaWindowMs);
    DOUBLES_EQUAL(0.25, given.quotaOverrun, 0);
    DOUBLES_EQUAL(8, given.quotaSlack, 0);
    for (const char *damaged : {R"("grace_s":6)",
                                R"("quota_window_s":0,"quota_overrun":-1,"quota_slack":"20")",
                                R"("quota_window_s":[],"quota_overrun":{},"quota_slack":null)",
                                R"("quota_window_s":1e300,"quota_overrun":1e300,"quota_slack":1e300)"}) {
        const instance_environment environment = withBounds(damaged);
        CHECK_EQUAL(5000, environment.quotaWindowMs);
        DOUBLES_EQUAL(0.1, environment.quotaOverrun, 0);
        DOUBLES_EQUAL(20, environment.quotaSlack, 0);
    }
}
