#pragma once

#include "mustardrouter/Ownership/group_ownership.h"

#include <algorithm>
#include <string>
#include <vector>

namespace mustardrouter
{

/// One instance's ownership of a group of databases "a", "b", "c", stepped through virtual time.
struct ownership_fixture {
    explicit ownership_fixture(const std::string &self = "one", ownership_settings intervals = {})
        : state(group_name("g"), instance_name(self), "", {database_name("a"), database_name("b"), database_name("c")}, intervals)
    {
    }

    static ownership_record recordOf(const std::vector<std::string> &holders, std::uint64_t version = 1)
    {
        std::vector<term_range> ranges;
        for (const std::string &holder : holders) {
            ranges.push_back({instance_name(holder), "", {}, {}});
        }
        ownership_record record = nextRecord({}, term_number(0), ranges);
        record.version = version;
        return record;
    }

    void handle(const ownership_event &event)
    {
        actions.clear();
        step(state, event, now, actions);
    }

    /// Advances time in ticks of 5 ms, as in the daemon; keeps the actions of the last tick.
    void advance(duration span)
    {
        const duration tick = std::chrono::milliseconds(5);
        for (duration passed{}; passed < span; passed += tick) {
            now += tick;
            handle(clock_ticked{});
        }
    }

    void report(
        const std::string &name, std::uint64_t term, database_role role, log_entry received, bool inSync = true, std::uint64_t round = 0)
    {
        database_report made;
        made.term = term_number(term);
        made.role = role;
        made.received = received;
        made.applied = received;
        made.inSync = inSync;
        made.round = round;
        handle(database_reported{database_name(name), made});
    }

    static log_entry entry(std::uint64_t term, std::uint64_t position)
    {
        return {term_number(term), log_position(position)};
    }

    void reportFenced(const std::string &name, log_entry last = {})
    {
        report(name, state.term.value(), database_role::fenced, last, false);
    }

    /// Reports of a healthy group whose primary is "a" and whose logs end at `position`.
    void reportHealthy(std::uint64_t position)
    {
        const std::uint64_t term = state.term.value();
        report("a", term, database_role::primary, entry(term, position), false, state.round);
        report("b", term, database_role::replica, entry(term, position), true, state.round);
        report("c", term, database_role::replica, entry(term, position), true, state.round);
    }

    /// Makes the instance the owner of a served group with primary "a" at position 1.
    void startServing(const std::vector<std::string> &holders = {"one", "two", "three"})
    {
        for (const std::string &holder : holders) {
            ranking.ranking.push_back({instance_name(holder), "", {}, {}});
        }
        handle(ranking);
        handle(record_read{recordOf(holders)});
        for (const char *name : {"a", "b", "c"}) {
            reportFenced(name);
        }
        reportHealthy(1);
    }

    /// Advances time while the named databases report.
    void advanceWithReports(duration span, const std::vector<std::string> &alive)
    {
        const duration step = std::chrono::milliseconds(20);
        for (duration passed{}; passed < span; passed += step) {
            advance(step);
            for (const std::string &name : alive) {
                database_report again = findDatabase(state, database_name(name))->report;
                again.round = state.round;
                handle(database_reported{database_name(name), again});
            }
        }
    }

    template<typename Action>
    std::vector<Action> actionsOf() const
    {
        std::vector<Action> found;
        for (const ownership_action &action : actions) {
            if (const auto *wanted = std::get_if<Action>(&action)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }

    group_ownership state;
    ownership_actions actions;
    owner_candidates_changed ranking;
    time_point now{std::chrono::seconds(1)};
};

} // namespace mustardrouter
