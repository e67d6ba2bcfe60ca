#include "mustardrouter/Operators/configuration_files.h"

#include "mustardrouter/Platform/object_codec.h"
#include "mustardrouter/Runtime/json_settings.h"

#include <algorithm>
#include <filesystem>
#include <set>
#include <vector>

namespace mustardrouter
{

namespace
{

result_of<std::vector<std::filesystem::path>> listFiles(const std::string &folder)
{
    std::error_code code;
    std::vector<std::filesystem::path> files;
    for (const auto &item : std::filesystem::directory_iterator(folder, code)) {
        if (item.path().extension() == ".json") {
            files.push_back(item.path());
        }
    }
    if (code) {
        return fail(failure::ioError, folder + ": " + code.message());
    }
    if (files.empty()) {
        return fail(failure::invalidSettings, folder + ": contains no .json file");
    }
    std::ranges::sort(files);
    return files;
}

} // namespace

result_of<change_set> readConfigurationFiles(const std::string &folder)
{
    change_set merged;
    std::set<object_reference> seen;
    BOOST_LEAF_AUTO(files, listFiles(folder));
    for (const std::filesystem::path &file : files) {
        objects::configuration_revision message;
        BOOST_LEAF_CHECK(readJsonFile(file.string(), message));
        BOOST_LEAF_AUTO(changes, fromSchema(message));
        for (configuration_object &object : changes.changed) {
            const object_reference name = referenceOf(object);
            if (!seen.insert(name).second) {
                return fail(
                    failure::invalidConfiguration, file.string() + ": " + name.kind + "/" + name.name + ": is defined more than once");
            }
            merged.changed.push_back(std::move(object));
        }
        merged.removed.insert(merged.removed.end(), changes.removed.begin(), changes.removed.end());
    }
    return merged;
}

} // namespace mustardrouter
