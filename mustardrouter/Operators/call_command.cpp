#include "mustardrouter/Core/failure.h"
#include "mustardrouter/Core/outcome.h"
#include "mustardrouter/Load/caller_client.h"
#include "mustardrouter/Operators/commands.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace mustardrouter
{

namespace po = boost::program_options;

namespace
{

/// Parses "250ms", "2s" or "2" (seconds) into milliseconds.
std::optional<std::uint64_t> parseDurationMs(const std::string &text)
{
    constexpr std::uint64_t millisecondsPerSecond = 1000;
    std::uint64_t number = 0;
    const char *last = text.data() + text.size();
    const auto [end, problem] = std::from_chars(text.data(), last, number);
    const std::string unit(end, last);
    if (problem != std::errc{}) {
        return std::nullopt;
    }
    if (unit == "ms") {
        return number;
    }
    if (unit == "s" || unit.empty()) {
        return number * millisecondsPerSecond;
    }
    return std::nullopt;
}

bool setReadRule(const std::string &text, wire::statement &statement)
{
    if (text == "session") {
        statement.set_read_rule(wire::READ_SESSION);
        return true;
    }
    if (text == "latest") {
        statement.set_read_rule(wire::READ_LATEST);
        return true;
    }
    const std::string prefix = "age=";
    const std::optional<std::uint64_t> age = text.starts_with(prefix) ? parseDurationMs(text.substr(prefix.size())) : std::nullopt;
    if (!age) {
        return false;
    }
    statement.set_read_rule(wire::READ_AGE);
    statement.set_max_age_ms(*age);
    return true;
}

wire::statement_kind statementKindOf(const std::string &sql)
{
    std::string word;
    std::istringstream(sql) >> word;
    std::ranges::transform(word, word.begin(), [](unsigned char letter) {
        return static_cast<char>(std::toupper(letter));
    });
    return word == "SELECT" || word == "WITH" ? wire::STATEMENT_READ : wire::STATEMENT_WRITE;
}

void printResult(const wire::result &result)
{
    for (int column = 0; column < result.columns_size(); ++column) {
        std::cout << (column == 0 ? "" : "\t") << result.columns(column);
    }
    if (result.columns_size() > 0) {
        std::cout << '\n';
    }
    for (const wire::result_row &row : result.rows()) {
        for (int column = 0; column < row.values_size(); ++column) {
            std::cout << (column == 0 ? "" : "\t") << row.values(column);
        }
        std::cout << '\n';
    }
    std::cout << "outcome: " << toString(static_cast<outcome>(result.outcome()));
    if (result.failure() != 0) {
        std::cout << " (" << toString(static_cast<failure>(result.failure())) << ": " << result.detail() << ')';
    }
    if (result.retry_after_ms() > 0) {
        std::cout << ", try again after " << result.retry_after_ms() << " ms";
    }
    if (!result.database().empty()) {
        std::cout << ", served by " << result.database();
    }
    std::cout << '\n';
}

std::string readToken(const std::string &file)
{
    std::ifstream in(file);
    std::string token;
    std::getline(in, token);
    return token;
}

} // namespace

exit_code runCall(const arguments &given)
{
    command_options command("call", "--entry IP:PORT --service NAME [options] 'SQL'");
    constexpr std::uint64_t defaultDeadlineMs = 5000;
    command.options.add_options()("entry", po::value<std::string>()->required(), "caller address of any instance");
    command.options.add_options()("service", po::value<std::string>()->required(), "service that the statement goes to");
    command.options.add_options()(
        "partition", po::value<std::string>()->default_value(""), "partition key that selects one of the service's groups");
    command.options.add_options()("read", po::value<std::string>(), "read rule: session, latest, or age=DURATION as in age=2s");
    command.options.add_options()("write", "treat the statement as a write, whatever its first keyword");
    command.options.add_options()("non-idempotent", "run the statement at most once; needs --key");
    command.options.add_options()("key", po::value<std::string>()->default_value(""), "idempotency key of the request");
    command.options.add_options()("lookup", "look up the outcome of the request with the key given by --key");
    command.options.add_options()(
        "session", po::value<std::string>(), "file from which the session token is read and to which the new one is written");
    command.options.add_options()("caller", po::value<std::string>()->default_value(""), "caller name that the statement is sent under");
    command.options.add_options()(
        "deadline-ms", po::value<std::uint64_t>()->default_value(defaultDeadlineMs), "deadline of the request in milliseconds");
    command.options.add_options()("sql", po::value<std::string>()->default_value(""), "SQL text of the statement");
    command.positional.add("sql", 1);
    po::variables_map values;
    const parse_status status = parse(command, given, values);
    if (status != parse_status::parsed) {
        return status == parse_status::helpShown ? exit_code::success : exit_code::invalidInput;
    }
    wire::statement statement;
    const std::string sql = values["sql"].as<std::string>();
    statement.set_kind(values.count("write") > 0 ? wire::STATEMENT_WRITE : statementKindOf(sql));
    if (values.count("lookup") > 0) {
        statement.set_kind(wire::STATEMENT_LOOKUP);
    } else if (sql.empty()) {
        std::cerr << "mustardrouter call: the SQL statement is missing\n";
        return exit_code::invalidInput;
    }
    statement.set_service(values["service"].as<std::string>());
    statement.set_partition(values["partition"].as<std::string>());
    statement.set_sql(sql);
    statement.set_key(values["key"].as<std::string>());
    statement.set_caller(values["caller"].as<std::string>());
    statement.set_deadline_ms(values["deadline-ms"].as<std::uint64_t>());
    statement.set_non_idempotent(values.count("non-idempotent") > 0);
    if (values.count("read") > 0 && !setReadRule(values["read"].as<std::string>(), statement)) {
        std::cerr << "mustardrouter call: --read: must be session, latest or age=DURATION\n";
        return exit_code::invalidInput;
    }
    const std::string sessionFile = values.count("session") > 0 ? values["session"].as<std::string>() : std::string();
    if (!sessionFile.empty()) {
        statement.set_session_token(readToken(sessionFile));
    }
    const wire::result result = callOnce(values["entry"].as<std::string>(), statement);
    printResult(result);
    if (!sessionFile.empty() && !result.session_token().empty()) {
        std::ofstream out(sessionFile);
        out << result.session_token() << '\n';
        if (!out) {
            std::cerr << "mustardrouter call: " << sessionFile << ": cannot be written; the session token is not saved\n";
            return exit_code::failed;
        }
    }
    return result.outcome() == wire::OUTCOME_DONE ? exit_code::success : exit_code::failed;
}

} // namespace mustardrouter
