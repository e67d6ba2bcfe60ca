#include "mustardrouter/Runtime/json_object.h"

#include <memory>

namespace mustardrouter
{

std::optional<Json::Value> parseJsonObject(std::string_view text, std::string *problems)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value root;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &root, problems) && root.isObject()) {
            return root;
        }
    } catch (const Json::Exception &problem) {
        // The reader throws where the text is nested too deeply.
        if (problems != nullptr) {
            *problems = problem.what();
        }
    }
    return std::nullopt;
}

} // namespace mustardrouter
