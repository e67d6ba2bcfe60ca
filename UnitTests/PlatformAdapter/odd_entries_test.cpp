#include "platform/stored_objects.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

constexpr store_era era{1};

struct odd_value {
    const char *what;
    std::string text;
};

/// Values as another writer may leave them: of another type, out of range, or such that a JSON reader refuses them.
std::vector<odd_value> oddValues()
{
    const auto nested = [](std::size_t depth, const char *open, const char *close) {
        std::string text;
        for (std::size_t level = 0; level < depth; ++level) {
            text += open;
        }
        text += open[0] == '[' ? "" : "0";
        for (std::size_t level = 0; level < depth; ++level) {
            text += close;
        }
        return text;
    };
    return {{"nothing", "null"},
            {"a boolean", "true"},
            {"a list", "[1,2]"},
            {"an object", R"({"a":{"b":[]}})"},
            {"an empty text", R"("")"},
            {"a negative number", "-1"},
            {"a fraction", "0.5"},
            {"more than 64 bits", "18446744073709551616"},
            {"a large number", "1e308"},
            {"a number too large", "1e999"},
            {"a negative number too large", "-1e999"},
            {"no number", "NaN"},
            {"infinity", "-Infinity"},
            {"half a pair of surrogates", R"("\ud83d")"},
            {"the other half", R"("x\udc00y")"},
            {"two first halves", R"("\ud83d\ud83d")"},
            {"an unknown escape", R"("\q")"},
            {"a short escape", R"("\u12")"},
            {"a quote in a text", R"("a\"b]}")"},
            {"a backslash at the end", R"("a\\")"},
            {"an end of line in a text", R"("a\r\nQUERY - STATUS")"},
            {"a raw control character", std::string("\"a\nb\x01\"")},
            {"bytes that are no text", "\"\xff\xfe\xc3\""},
            {"a long text", '"' + std::string(200'000, 'a') + '"'},
            {"lists within lists", nested(1'500, "[", "]")},
            {"very many lists within lists", nested(200'000, "[", "]")},
            {"objects within objects", nested(1'500, "{\"a\":", "}")},
            {"lists as deep as a reader takes", nested(990, "[", "]")},
            {"a port out of range", R"("10.0.0.9:65536")"},
            {"port zero", R"("10.0.0.9:0")"},
            {"a large port", R"("10.0.0.9:99999999999999999999")"},
            {"no port", R"("10.0.0.9")"},
            {"no address", R"("10.0.0:80")"},
            {"an address out of range", R"("10.0.0.256:80")"},
            {"a name for an address", R"("localhost:80")"}};
}

const std::vector<std::string> fields = {
    "service", "address", "zone", "version", "slots", "state", "warmup_left_ms", "sequence", "born", "db_role", "note"};

/// An entry as a database writes it, with `text` in place of one field's value.
std::string entry(const std::string &name, const std::string &field = {}, const std::string &text = {})
{
    const std::vector<std::string> values = {
        R"("scripts")", R"("10.0.0.1:5000")", R"("dc")", R"("v1")", "3", R"("ready")", "0", "7", "1796428800000", R"("replica")", R"("x")"};
    std::string spec;
    for (std::size_t index = 0; index < fields.size(); ++index) {
        spec += (index == 0 ? "\"" : ",\"") + fields[index] + "\":" + (fields[index] == field ? text : values[index]);
    }
    return R"({"meta":{"name":)" + name + R"(,"revision":4,"finalizers":[]},"spec":{)" + spec + R"(},"status":{}})";
}

std::string page(const std::string &odd)
{
    return R"({"as_of":9,"items":[)" + entry(R"("i-1")") + "," + odd + "," + entry(R"("i-3")") + R"(],"has_more":true})";
}

std::string changes(const std::string &odd)
{
    return R"({"events":[{"deleted":false,"object":)" + entry(R"("i-1")") + R"(},{"object":)" + odd + R"(,"deleted":false},{"object":)"
           + entry(R"("i-3")") + R"(,"deleted":true}],"as_of":9})";
}

/// Names of the objects that can be used as databases.
std::string databasesOf(const std::vector<platform::stored_object> &objects)
{
    std::string names;
    for (const platform::stored_object &object : objects) {
        std::string problem;
        if (const std::optional<listed_database> database = platform::decodeDatabase(object, problem)) {
            names += database->name.value() + " ";
        } else {
            CHECK_FALSE(problem.empty());
        }
    }
    return names;
}

/// Checks that the entries beside the odd one are read from a page and from changes, and that the odd one is used only if `mayBeUsed`.
void checkOthersHold(const std::string &odd, bool mayBeUsed, const std::string &what)
{
    const std::optional<platform::object_page> listed = platform::decodePage(page(odd), era);
    CHECK_TRUE_TEXT(listed.has_value(), what.c_str());
    const std::string inPage = listed ? databasesOf(listed->objects) : std::string();
    const bool isOdd = inPage == "i-1 i-3 ";
    CHECK_TRUE_TEXT(isOdd || (mayBeUsed && inPage == "i-1 i-2 i-3 "), (what + ": " + inPage).c_str());
    CHECK_TRUE_TEXT(listed && listed->more && listed->position.revision == store_revision(9), what.c_str());
    const std::optional<platform::object_changes> told = platform::decodeChanges(changes(odd), era);
    CHECK_TRUE_TEXT(told.has_value(), what.c_str());
    std::vector<platform::stored_object> changed;
    for (const platform::object_change &one : told ? told->changes : std::vector<platform::object_change>()) {
        changed.push_back(one.object);
        CHECK_EQUAL_TEXT(one.object.name == "i-3", one.removed, what.c_str());
    }
    CHECK_EQUAL_TEXT(inPage, databasesOf(changed), what.c_str());
}

bool isUsedFor(const std::string &field)
{
    return field == "service" || field == "address" || field == "zone" || field == "slots" || field == "state" || field == "sequence"
           || field == "db_role";
}

} // namespace

TEST_GROUP(odd_entries){};

// Guards against one entry of another writer that keeps the whole list of databases from being read, at a start or later.
TEST(odd_entries, anOddValueInAnyFieldCostsNoOtherEntry)
{
    for (const odd_value &odd : oddValues()) {
        for (const std::string &field : fields) {
            // Some odd values fit a field: half of them are texts, and a text is a valid zone.
            checkOthersHold(entry(R"("i-2")", field, odd.text), true, field + " is " + odd.what);
        }
    }
}

TEST(odd_entries, anOddValueInAFieldThatIsNeededNamesNoDatabase)
{
    for (const odd_value &odd : oddValues()) {
        for (const std::string &field : {std::string("address"), std::string("state"), std::string("db_role"), std::string("slots")}) {
            CHECK_TRUE(isUsedFor(field));
            checkOthersHold(entry(R"("i-2")", field, odd.text), false, field + " is " + odd.what);
        }
    }
}

TEST(odd_entries, anOddEntryOrNameCostsNoOtherEntry)
{
    for (const odd_value &odd : oddValues()) {
        checkOthersHold(odd.text, false, std::string("the entry is ") + odd.what);
        checkOthersHold(R"({"meta":)" + odd.text + R"(,"spec":{}})", false, std::string("meta is ") + odd.what);
        checkOthersHold(R"({"meta":{"name":"i-2","revision":4},"spec":)" + odd.text + "}", false, std::string("spec is ") + odd.what);
        const std::optional<platform::object_page> listed = platform::decodePage(page(entry(odd.text)), era);
        CHECK_TRUE_TEXT(listed && listed->objects.size() >= 2, odd.what);
    }
}

TEST(odd_entries, aNameThatWouldEndALineNamesNoDatabase)
{
    for (const char *name : {R"("i-2\r\nQUERY - STATUS")", R"("i 2")", "\"i\xff\"", R"("\u0000")", R"("")"}) {
        const std::optional<platform::object_page> listed = platform::decodePage(page(entry(name)), era);
        STRCMP_EQUAL("i-1 i-3 ", listed ? databasesOf(listed->objects).c_str() : "");
    }
    checkOthersHold(entry(R"("i-2")", "service", R"("scripts x\r\n")"), false, "service with an end of line");
}

TEST(odd_entries, countsOutOfRangeNameNoDatabaseOrInstance)
{
    for (const char *slots : {"0", "65536", "4294967295"}) {
        checkOthersHold(entry(R"("i-2")", "slots", slots), false, std::string("slots are ") + slots);
    }
    const auto isInstance = [](const std::string &capacity) {
        const std::string spec = R"({"address":"10.0.0.1:7440","data_centre":"dc","capacity":)" + capacity + R"(,"leaving":false})";
        const auto object = platform::decodeObject(R"({"meta":{"name":"edge-1","revision":8},"spec":)" + spec + "}", era);
        return object && platform::decodeInstance(*object).has_value();
    };
    CHECK_TRUE(isInstance("0.17"));
    for (const char *capacity : {"0", "-1", "4097", "1e308", "1e999"}) {
        CHECK_FALSE(isInstance(capacity));
    }
}

TEST(odd_entries, unreadableObjectsAreCounted)
{
    const std::optional<platform::object_page> listed = platform::decodePage(page(entry(R"("i-2")", "note", "1e999")), era);
    CHECK_TRUE(listed && listed->unreadable == 1);
    const std::optional<platform::object_changes> told = platform::decodeChanges(changes(entry(R"("i-2")", "note", "1e999")), era);
    CHECK_TRUE(told && told->unreadable == 1);
}

TEST(odd_entries, anUnreadableClaimIsOneThatNamesNobody)
{
    const auto object = platform::decodeObject(R"({"meta":{"name":"g","revision":8},"spec":{"successor":"a","term":1e999}})", era);
    CHECK_TRUE(object.has_value());
    const promotion_claim claim = object ? platform::decodeClaim(*object) : promotion_claim();
    CHECK_TRUE(claim.exists() && claim.successor == database_name());
}

TEST(odd_entries, anAnswerWhoseOwnBracketsAreOpenIsRefused)
{
    for (const char *body :
         {R"({"as_of":9,"items":[{"meta":{"name":"i-1")", R"({"as_of":9,"items":[}]})", R"({"as_of":1e999,"items":[]})", "[", ""}) {
        CHECK_FALSE(platform::decodePage(body, era).has_value());
        CHECK_FALSE(platform::decodeChanges(body, era).has_value());
    }
}
