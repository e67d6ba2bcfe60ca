#include "mustardrouter/Runtime/json_settings.h"

#include <google/protobuf/util/json_util.h>

#include <fstream>
#include <sstream>

namespace mustardrouter
{

result_of<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return fail(failure::ioError, path + ": cannot be opened");
    }
    std::ostringstream text;
    text << file.rdbuf();
    if (file.bad()) {
        return fail(failure::ioError, path + ": cannot be read");
    }
    return text.str();
}

result_of<void> readJson(const std::string &text, const std::string &source, google::protobuf::Message &message)
{
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = false;
    const auto status = google::protobuf::util::JsonStringToMessage(text, &message, options);
    if (!status.ok()) {
        return fail(failure::invalidSettings, source + ": " + status.ToString());
    }
    return {};
}

result_of<void> readJsonFile(const std::string &path, google::protobuf::Message &message)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    return readJson(text, path, message);
}

std::string writeJson(const google::protobuf::Message &message, bool indented)
{
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = indented;
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
    return status.ok() ? text : std::string();
}

} // namespace mustardrouter
