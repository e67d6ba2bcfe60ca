#include "bench/path/closed_loop.h"

#include "mustardrouter/Load/caller_client.h"
#include "mustardrouter/Network/endpoint.h"

#include <algorithm>
#include <asio/io_context.hpp>

namespace mustardrouter::bench
{

namespace
{

using clock = std::chrono::steady_clock;
const char *const readSql = "SELECT 1";
const char *const writeSql = "INSERT INTO path(value) VALUES (1)";

double microsSince(clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(clock::now() - start).count();
}

struct closed_loop_run {
    asio::io_context context;
    clock::time_point started = clock::now();
    clock::time_point deadline;
    loop_result result;

    bool isOver() const
    {
        return clock::now() >= deadline;
    }
    void record(clock::time_point sent, bool succeeded)
    {
        ++result.statements;
        result.failed += succeeded ? 0 : 1;
        result.latencyMicros.push_back(microsSince(sent));
    }
    loop_result finish()
    {
        constexpr double microsPerSecond = 1e6;
        result.seconds = microsSince(started) / microsPerSecond;
        return std::move(result);
    }
};

struct entry_caller {
    std::shared_ptr<caller_client> client;
    wire::statement statement;
    std::size_t inFlight = 0;
    bool sendsToken = true;
};

void sendNext(closed_loop_run &run, entry_caller &caller)
{
    const clock::time_point sent = clock::now();
    ++caller.inFlight;
    caller.client->send(caller.statement, [&run, &caller, sent](const wire::result &result) {
        --caller.inFlight;
        run.record(sent, result.outcome() == wire::OUTCOME_DONE);
        if (caller.sendsToken && !result.session_token().empty()) {
            caller.statement.set_session_token(result.session_token());
        }
        if (!run.isOver()) {
            sendNext(run, caller);
        } else if (caller.inFlight == 0) {
            caller.client->close();
        }
    });
}

struct database_client {
    std::shared_ptr<frame_connection> connection;
    std::uint64_t term = 0;
    clock::time_point sent;

    void send()
    {
        sent = clock::now();
        wire::database_message message;
        wire::database_statement &statement = *message.mutable_statement();
        statement.set_id(1);
        statement.set_term(term);
        statement.set_kind(wire::STATEMENT_READ);
        statement.set_sql(readSql);
        statement.set_on_replica(true);
        connection->send(message);
    }
};

void onDatabaseFrame(closed_loop_run &run, database_client &client, std::string_view payload)
{
    wire::database_message message;
    message.ParseFromArray(payload.data(), static_cast<int>(payload.size()));
    if (message.has_answer()) {
        run.record(client.sent, message.answer().result().outcome() == wire::OUTCOME_DONE);
    }
    const bool refused = message.has_opened() && !message.opened().accepted();
    if (refused || run.isOver()) {
        client.connection->close(failure::none);
        return;
    }
    client.send();
}

} // namespace

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

loop_result runThroughEntry(const std::string &entry, const entry_load &load, std::chrono::milliseconds length)
{
    closed_loop_run run;
    run.deadline = clock::now() + length;
    std::vector<std::unique_ptr<entry_caller>> callers;
    for (std::size_t index = 0; index < load.connections; ++index) {
        callers.push_back(std::make_unique<entry_caller>());
        entry_caller &caller = *callers.back();
        caller.statement.set_kind(load.writes ? wire::STATEMENT_WRITE : wire::STATEMENT_READ);
        caller.statement.set_service("path");
        caller.statement.set_sql(load.writes ? writeSql : readSql);
        caller.sendsToken = load.sendsToken;
        caller.client = std::make_shared<caller_client>(run.context, entry);
        caller.client->connect();
        for (std::size_t request = 0; request < load.perConnection; ++request) {
            sendNext(run, caller);
        }
    }
    run.context.run();
    return run.finish();
}

loop_result runAtDatabase(const std::string &database, std::uint64_t term, std::size_t connections, std::chrono::milliseconds length)
{
    closed_loop_run run;
    run.deadline = clock::now() + length;
    std::vector<std::unique_ptr<database_client>> clients;
    const asio::ip::tcp::endpoint endpoint = handleErrors(
        [&] {
            return parseEndpoint(database);
        },
        [](const error &) {
            return asio::ip::tcp::endpoint();
        });
    for (std::size_t index = 0; index < connections; ++index) {
        clients.push_back(std::make_unique<database_client>());
        database_client &client = *clients.back();
        client.term = term;
        client.connection = std::make_shared<frame_connection>(asio::ip::tcp::socket(run.context));
        client.connection->connect(
            endpoint,
            [&run, &client](frame_connection &, std::string_view payload) {
                onDatabaseFrame(run, client, payload);
            },
            [](frame_connection &, failure) {
            });
        wire::database_message open;
        open.set_open(term);
        client.connection->send(open);
    }
    run.context.run();
    return run.finish();
}

} // namespace mustardrouter::bench
