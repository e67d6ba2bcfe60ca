#pragma once

#include "mustardrouter/Platform/object_api.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace mustardrouter
{

/// In-memory implementation of the platform's object API, without threads or time. Injects faults from a seed.
struct fake_platform {
    explicit fake_platform(std::uint64_t seed)
        : random(seed)
    {
    }

    /// Percentage of calls that fail without an effect.
    unsigned percentRefused = 0;
    /// Percentage of updates that take effect, but whose reply is lost.
    unsigned percentRepliesLost = 0;
    /// Percentage of updates that get no reply and take effect only some calls later.
    unsigned percentDelayed = 0;
    bool down = false;
    /// Hook run before each call; may make calls of another operator.
    std::function<void()> before = [] {
    };

    std::map<std::string, platform_object> objects;
    std::uint64_t version = 0;
    std::size_t largestValue = 0;
    std::size_t reads = 0;
    std::mt19937_64 random;
    std::optional<platform_object> delayedUpdate;
    unsigned callsUntilDelivery = 0;

    bool happens(unsigned percent)
    {
        return std::uniform_int_distribution<unsigned>(0, 99)(random) < percent;
    }

    /// Whether the call reaches the platform. Applies a delayed update that is due.
    bool reachesPlatform()
    {
        before();
        if (delayedUpdate && callsUntilDelivery-- == 0) {
            const platform_object update = *delayedUpdate;
            delayedUpdate.reset();
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
        if (!reachesPlatform()) {
            return {failure::platformUnavailable, 0};
        }
        if (!delayedUpdate && happens(percentDelayed)) {
            delayedUpdate = object;
            callsUntilDelivery = std::uniform_int_distribution<unsigned>(0, longestDelay)(random);
            return {failure::platformUnavailable, 0};
        }
        if (object.version != versionOf(object.key)) {
            return {failure::versionConflict, 0};
        }
        const std::uint64_t stored = store(object);
        return happens(percentRepliesLost) ? platform_answer<std::uint64_t>{failure::platformUnavailable, 0}
                                           : platform_answer<std::uint64_t>{failure::none, stored};
    }

    platform_answer<std::uint64_t> remove(const platform_object &object)
    {
        if (!reachesPlatform()) {
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
        if (!reachesPlatform()) {
            return {failure::platformUnavailable, {}};
        }
        const auto found = objects.find(key);
        return {failure::none, found == objects.end() ? platform_object{key, {}, 0} : found->second};
    }

    platform_answer<std::vector<platform_object>> list(const std::string &prefix)
    {
        if (!reachesPlatform()) {
            return {failure::platformUnavailable, {}};
        }
        platform_answer<std::vector<platform_object>> listed;
        for (auto found = objects.lower_bound(prefix); found != objects.end() && found->first.starts_with(prefix); ++found) {
            listed.value.push_back(found->second);
        }
        return listed;
    }

    /// The calls as used by the configuration store.
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

    /// Stops all faults and applies a delayed update.
    void heal()
    {
        percentRefused = 0;
        percentRepliesLost = 0;
        percentDelayed = 0;
        down = false;
        callsUntilDelivery = 0;
        before = [] {
        };
        reachesPlatform();
    }
};

} // namespace mustardrouter
