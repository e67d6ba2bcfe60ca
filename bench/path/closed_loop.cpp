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

struct loop {
    asio::io_context context;
    clock::time_point started = clock::now();
    clock::time_point until;
    loop_result result;

    bool isOver() const
    {
        return clock::now() >= until;
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
    std::size_t waiting = 0;
    bool keepsToken = true;
};

void sendNext(loop &of, entry_caller &caller)
{
    const clock::time_point sent = clock::now();
    ++caller.waiting;
    caller.client->send(caller.statement, [&of, &caller, sent](const wire::result &result) {
        --caller.waiting;
        of.record(sent, result.outcome() == wire::OUTCOME_DONE);
        if (caller.keepsToken && !result.session_token().empty()) {
            caller.statement.set_session_token(result.session_token());
        }
        if (!of.isOver()) {
            sendNext(of, caller);
        } else if (caller.waiting == 0) {
            caller.client->close();
        }
    });
}

struct database_caller {
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

void onDatabaseFrame(loop &of, database_caller &caller, std::string_view payload)
{
    wire::database_message message;
    message.ParseFromArray(payload.data(), static_cast<int>(payload.size()));
    if (message.has_answer()) {
        of.record(caller.sent, message.answer().result().outcome() == wire::OUTCOME_DONE);
    }
    const bool refused = message.has_opened() && !message.opened().accepted();
    if (refused || of.isOver()) {
        caller.connection->close(failure::none);
        return;
    }
    caller.send();
}

} // namespace

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

loop_result runThroughEntry(const std::string &entry, const entry_load &load, std::chrono::milliseconds length)
{
    loop run;
    run.until = clock::now() + length;
    std::vector<std::unique_ptr<entry_caller>> callers;
    for (std::size_t index = 0; index < load.connections; ++index) {
        callers.push_back(std::make_unique<entry_caller>());
        entry_caller &caller = *callers.back();
        caller.statement.set_kind(load.writes ? wire::STATEMENT_WRITE : wire::STATEMENT_READ);
        caller.statement.set_service("path");
        caller.statement.set_sql(load.writes ? writeSql : readSql);
        caller.keepsToken = load.keepsToken;
        caller.client = std::make_shared<caller_client>(run.context, entry);
        caller.client->connect();
        for (std::size_t sent = 0; sent < load.perConnection; ++sent) {
            sendNext(run, caller);
        }
    }
    run.context.run();
    return run.finish();
}

loop_result runAtDatabase(const std::string &database, std::uint64_t term, std::size_t connections, std::chrono::milliseconds length)
{
    loop run;
    run.until = clock::now() + length;
    std::vector<std::unique_ptr<database_caller>> callers;
    const asio::ip::tcp::endpoint endpoint = handleErrors(
        [&] {
            return parseEndpoint(database);
        },
        [](const error &) {
            return asio::ip::tcp::endpoint();
        });
    for (std::size_t index = 0; index < connections; ++index) {
        callers.push_back(std::make_unique<database_caller>());
        database_caller &caller = *callers.back();
        caller.term = term;
        caller.connection = std::make_shared<frame_connection>(asio::ip::tcp::socket(run.context));
        caller.connection->connect(
            endpoint,
            [&run, &caller](frame_connection &, std::string_view payload) {
                onDatabaseFrame(run, caller, payload);
            },
            [](frame_connection &, failure) {
            });
        wire::database_message open;
        open.set_open(term);
        caller.connection->send(open);
    }
    run.context.run();
    return run.finish();
}

} // namespace mustardrouter::bench
