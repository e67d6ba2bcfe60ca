#pragma once

#include "mustardrouter/Routing/group_engine.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace mustardrouter
{

/// An engine that serves in its first term with the primary "db0". The tests give the answers and reports of its
/// databases.
struct serving_engine {
    explicit serving_engine(std::uint32_t confirmReplicas = 1)
        : engine(group_ownership(group_name("group"), instance_name("self"), "address", names(), settingsFor(confirmReplicas)),
                 limits(),
                 engine_settings{})
    {
        ownership_record record;
        record.version = 1;
        record.ranges.push_back({instance_name("self"), "address", term_number(1), term_number(16)});
        handle(ownership_event(owner_candidates_changed{record.ranges}));
        handle(ownership_event(record_read{record}));
        for (const database_name &name : names()) {
            reportAs(name, database_role::fenced, log_entry{}, false);
        }
        report("db0", database_role::primary, 1);
        report("db1", database_role::replica, 1);
        report("db2", database_role::replica, 1);
    }

    static std::vector<database_name> names()
    {
        return {database_name("db0"), database_name("db1"), database_name("db2")};
    }

    static std::map<database_name, pool_limits> limits()
    {
        std::map<database_name, pool_limits> all;
        for (const database_name &name : names()) {
            all[name] = pool_limits{4, 8};
        }
        return all;
    }

    static ownership_settings settingsFor(std::uint32_t confirmReplicas)
    {
        ownership_settings settings;
        settings.confirmReplicas = confirmReplicas;
        // Disables the suspicion timeout: the tests report failures themselves.
        settings.primaryReportTimeout = std::chrono::hours(1);
        return settings;
    }

    void handle(const engine_event &event)
    {
        engine_actions actions;
        step(engine, event, now, actions);
        for (engine_action &action : actions) {
            if (auto *run = std::get_if<run_statement>(&action)) {
                sent.push_back(std::move(*run));
            } else if (auto *answered = std::get_if<answer_request>(&action)) {
                answers.push_back(std::move(*answered));
            } else if (auto *closed = std::get_if<close_connection>(&action)) {
                this->closed.push_back(closed->connection);
            } else if (auto *opened = std::get_if<open_connection>(&action)) {
                opening.push_back(*opened);
            }
        }
        std::vector<open_connection> accepted;
        std::swap(accepted, opening);
        for (const open_connection &connection : accepted) {
            connectionDatabases[connection.connection] = connection.database;
            handle(connection_opened{connection.connection, true, connection.term});
        }
    }

    void reportAs(const database_name &name, database_role role, log_entry last, bool inSync, std::uint64_t round = 0)
    {
        database_report report;
        report.term = engine.ownership.term;
        report.role = role;
        report.received = last;
        report.applied = last;
        report.inSync = inSync;
        report.round = round;
        handle(ownership_event(database_reported{name, report}));
    }

    /// Sends a report in the current term that answers every round started so far.
    void report(const std::string &name, database_role role, std::uint64_t position)
    {
        reportAs(database_name(name),
                 role,
                 {engine.ownership.term, log_position(position)},
                 role == database_role::replica,
                 engine.ownership.round);
    }

    /// Advances the clock, so that requested rounds are started.
    void tick(duration passed = std::chrono::milliseconds(5))
    {
        now += passed;
        handle(ownership_event(clock_ticked{}));
    }

    request_id request(statement what)
    {
        const request_id id(++lastRequest);
        if (what.deadline == time_point{}) {
            what.deadline = now + std::chrono::seconds(1);
        }
        handle(request_arrived{id, std::move(what)});
        return id;
    }

    request_id request(statement_kind kind, const std::string &session = "s")
    {
        statement what;
        what.kind = kind;
        what.session = session_name(session);
        return request(what);
    }

    /// Statement last sent to a database for a request, or nullptr.
    const run_statement *sentFor(request_id id) const
    {
        const auto found = std::find_if(sent.rbegin(), sent.rend(), [&](const run_statement &run) {
            return run.request == id;
        });
        return found == sent.rend() ? nullptr : &*found;
    }

    void reply(request_id id, outcome kind, std::uint64_t position, failure cause = failure::none)
    {
        statement_answered event;
        event.connection = sentFor(id)->connection;
        event.request = id;
        event.result.kind = kind;
        event.result.cause = cause;
        event.entry = {engine.ownership.term, log_position(position)};
        handle(event);
    }

    /// Answer to a request, or nullptr if there is none yet.
    const answer_request *answerTo(request_id id) const
    {
        const auto found = std::ranges::find(answers, id, &answer_request::request);
        return found == answers.end() ? nullptr : &*found;
    }

    /// Begins a transaction and returns its number.
    transaction_id begin(std::uint64_t snapshotPosition = 1)
    {
        const request_id id = request(statement_kind::begin);
        reply(id, outcome::done, snapshotPosition);
        return answerTo(id)->result.transaction;
    }

    request_id inTransaction(transaction_id transaction, statement_kind kind)
    {
        statement what;
        what.kind = kind;
        what.session = session_name("s");
        what.transaction = transaction;
        return request(what);
    }

    time_point now{std::chrono::seconds(100)};
    group_engine engine;
    std::vector<run_statement> sent;
    std::vector<answer_request> answers;
    std::vector<connection_id> closed;
    std::vector<open_connection> opening;
    std::map<connection_id, database_name> connectionDatabases;
    std::uint64_t lastRequest = 0;
};

} // namespace mustardrouter
