#include "bench/capacity/measurements.h"
#include "bench/capacity/meters.h"
#include "mustardrouter/Configuration/change_set.h"
#include "mustardrouter/Configuration/configuration_check.h"
#include "mustardrouter/Platform/object_codec.h"
#include "mustardrouter/Runtime/json_settings.h"

#include <array>

namespace mustardrouter::bench
{

namespace
{

constexpr std::array<std::size_t, 6> objectCounts{50, 100, 200, 400, 800, 1600};
constexpr std::array<std::size_t, 6> changeCounts{1, 2, 4, 8, 16, 32};
constexpr int rounds = 5;

database_group groupOf(std::size_t index)
{
    constexpr std::size_t databases = 3;
    constexpr std::uint32_t slots = 5;
    constexpr std::uint32_t connections = 140;
    constexpr std::uint32_t costMs = 30;
    database_group group;
    group.name = "booking-core-" + std::to_string(index);
    for (std::size_t number = 0; number < databases; ++number) {
        const std::string name = group.name + "-" + std::to_string(number);
        group.databases.push_back({database_name(name), "vermont-north", "10.1.2.3:5432", slots, connections, costMs});
    }
    return group;
}

/// Half of the objects are groups of three databases, half are services.
change_set makeObjects(std::size_t count)
{
    change_set objects;
    objects.changed.emplace_back(place{"vermont-north", "new-england"});
    objects.changed.emplace_back(named_read_rule{"own-work", read_rule::session, {}});
    session_policy policy;
    policy.name = "default";
    policy.readRule = "own-work";
    objects.changed.emplace_back(policy);
    for (std::size_t index = 0; index < count / 2; ++index) {
        const database_group group = groupOf(index);
        service item;
        item.name = "service-" + std::to_string(index);
        item.groups = {group.name};
        item.sessionPolicy = "default";
        objects.changed.emplace_back(group);
        objects.changed.emplace_back(item);
    }
    return objects;
}

std::string toJson(const change_set &changes)
{
    objects::configuration_revision message;
    toSchema(changes, message);
    return writeJson(message);
}

change_set fromJson(const std::string &text)
{
    objects::configuration_revision message;
    return handleErrors(
        [&]() -> result_of<change_set> {
            BOOST_LEAF_CHECK(readJson(text, "bench", message));
            return fromSchema(message);
        },
        [](const error &) {
            return change_set{};
        });
}

template<typename Work>
double microsOf(Work work)
{
    const double before = threadMicros();
    for (int round = 0; round < rounds; ++round) {
        work();
    }
    return (threadMicros() - before) / rounds;
}

} // namespace

std::vector<series> measureObjects()
{
    series size{"configuration.snapshot", "objects", "bytes", {}};
    series state{"configuration.state", "objects", "bytes", {}};
    series check{"configuration.check", "objects", "us", {}};
    series apply{"configuration.apply_one_change", "objects", "us", {}};
    series load{"configuration.load_snapshot", "objects", "us", {}};
    for (const std::size_t count : objectCounts) {
        const change_set objects = makeObjects(count);
        const std::string text = toJson(objects);
        const auto number = static_cast<double>(count);
        size.samples.push_back({number, static_cast<double>(text.size())});
        const std::int64_t before = heapBytes();
        const configuration_snapshot snapshot = applyChanges({}, objects);
        state.samples.push_back({number, static_cast<double>(heapBytes() - before)});
        change_set one;
        one.changed.emplace_back(groupOf(0));
        check.samples.push_back({number, microsOf([&] {
                                     checkSnapshot(snapshot);
                                 })});
        apply.samples.push_back({number, microsOf([&] {
                                     applyChanges(snapshot, one);
                                 })});
        load.samples.push_back({number, microsOf([&] {
                                    applyChanges({}, fromJson(text));
                                })});
    }
    return {size, state, check, apply, load};
}

std::vector<series> measureChanges()
{
    series size{"configuration.delta", "changes", "bytes", {}};
    series read{"configuration.read_delta", "changes", "us", {}};
    for (const std::size_t count : changeCounts) {
        change_set changes;
        for (std::size_t index = 0; index < count; ++index) {
            changes.changed.emplace_back(groupOf(index));
        }
        const std::string text = toJson(changes);
        const auto number = static_cast<double>(count);
        size.samples.push_back({number, static_cast<double>(text.size())});
        read.samples.push_back({number, microsOf([&] {
                                    fromJson(text);
                                })});
    }
    return {size, read};
}

} // namespace mustardrouter::bench
