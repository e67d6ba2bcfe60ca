#pragma once

#include "mustardrouter/Platform/object_api.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace mustardrouter
{

/// The platform's object API in memory, without threads or time. Faults come from a seed.
struct fake_platform {
    explicit fake_platform(std::uint64_t seed)
        : random(seed)
    {
    }

    /// Out of a hundred calls, so many fail without an effect.
    unsigned percentRefused = 0;
    /// Out of a hundred updates, so many take effect though their answer is lost.
    unsigned percentLost = 0;
    /// Out of a hundred updates, so many are unanswered and take effect only some calls later.
    unsigned percentLate = 0;
    bool down = false;
    /// Called before each call; may run another operator's calls.
    std::function<void()> before = [] {
    };

    std::map<std::string, platform_object> objects;
    std::uint64_t version = 0;
    std::size_t largestValue = 0;
    std::size_t reads = 0;
    std::mt19937_64 random;
    std::optional<platform_object> late;
    unsigned lateAfter = 0;

    bool happens(unsigned percent)
    {
        return std::uniform_int_distribution<unsigned>(0, 99)(random) < percent;
    }

    /// Whether the call reaches the platform.
    bool arrives()
    {
        before();
        if (late && lateAfter-- == 0) {
            const platform_object update = *late;
            late.reset();
            update.version == versionOf(update.key) ? store(update) : version;
        }
        return !down && !happens(percentRefused);
    }

    std::uint64_t versionOf(const std::string &key) const
    {
        const auto found = objects.find(key);
        return found == objects.end() ? 0 : found->second.version;
    }

    std::uint64_t store(const platform_object &object)
    {
        largestValue = std::max(largestValue, object.value.size());
        objects[object.key] = {object.key, object.value, ++version};
        return version;
    }

    platform_answer<std::uint64_t> put(const platform_object &object)
    {
        constexpr unsigned longestDelay = 12;
        if (!arrives()) {
            return {failure::platformUnavailable, 0};
        }
        if (!late && happens(percentLate)) {
            late = object;
            lateAfter = std::uniform_int_distribution<unsigned>(0, longestDelay)(random);
            return {failure::platformUnavailable, 0};
        }
        if (object.version != versionOf(object.key)) {
            return {failure::versionConflict, 0};
        }
        const std::uint64_t stored = store(object);
        return happens(percentLost) ? platform_answer<std::uint64_t>{failure::platformUnavailable, 0}
                                    : platform_answer<std::uint64_t>{failure::none, stored};
    }

    platform_answer<std::uint64_t> remove(const platform_object &object)
    {
        if (!arrives()) {
            return {failure::platformUnavailable, 0};
        }
        if (object.version != versionOf(object.key)) {
            return {failure::versionConflict, 0};
        }
        objects.erase(object.key);
        return {failure::none, ++version};
    }

    platform_answer<platform_object> get(const std::string &key)
    {
        ++reads;
        if (!arrives()) {
            return {failure::platformUnavailable, {}};
        }
        const auto found = objects.find(key);
        return {failure::none, found == objects.end() ? platform_object{key, {}, 0} : found->second};
    }

    platform_answer<std::vector<platform_object>> list(const std::string &prefix)
    {
        if (!arrives()) {
            return {failure::platformUnavailable, {}};
        }
        platform_answer<std::vector<platform_object>> listed;
        for (auto found = objects.lower_bound(prefix); found != objects.end() && found->first.starts_with(prefix); ++found) {
            listed.value.push_back(found->second);
        }
        return listed;
    }

    /// The calls as the store makes them.
    object_api api()
    {
        object_api made;
        made.get = [this](const std::string &key) {
            return get(key);
        };
        made.put = [this](const platform_object &object) {
            return put(object);
        };
        made.remove = [this](const platform_object &object) {
            return remove(object);
        };
        made.list = [this](const std::string &prefix) {
            return list(prefix);
        };
        return made;
    }

    /// Stops all faults and lets a late update arrive.
    void heal()
    {
        percentRefused = 0;
        percentLost = 0;
        percentLate = 0;
        down = false;
        lateAfter = 0;
        before = [] {
        };
        arrives();
    }
};

} // namespace mustardrouter
