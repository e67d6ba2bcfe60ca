#include "mustardrouter/StandIn/sql_store.h"

#include "mustardrouter/Runtime/log.h"

#include <sqlite3.h>

#include <cstdlib>

namespace mustardrouter
{

namespace
{

std::string columnText(sqlite3_stmt *statement, int column)
{
    const auto *text = static_cast<const char *>(sqlite3_column_blob(statement, column));
    const int size = sqlite3_column_bytes(statement, column);
    return text == nullptr ? std::string() : std::string(text, static_cast<std::size_t>(size));
}

} // namespace

sql_store::sql_store(std::filesystem::path file, std::vector<std::string> initialStatements)
    : m_file(std::move(file))
    , m_initialStatements(std::move(initialStatements))
{
    reset();
}

sql_store::~sql_store()
{
    close();
    std::error_code ignored;
    for (const char *suffix : {"", "-wal", "-shm"}) {
        std::filesystem::remove(m_file.string() + suffix, ignored);
    }
}

void sql_store::open()
{
    const std::string path = m_file.string();
    const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
    const bool opened = sqlite3_open_v2(path.c_str(), &m_writer, flags, nullptr) == SQLITE_OK
                        && sqlite3_open_v2(path.c_str(), &m_reader, flags, nullptr) == SQLITE_OK;
    if (!opened) {
        writeLog(log_level::error, "standin", "SQLite file cannot be opened", {{"file", path}});
        std::abort();
    }
    runOrAbort(m_writer, "PRAGMA journal_mode=WAL");
    runOrAbort(m_writer, "PRAGMA synchronous=OFF");
    runOrAbort(m_reader, "PRAGMA query_only=ON");
}

void sql_store::close()
{
    sqlite3_close(m_reader);
    sqlite3_close(m_writer);
    m_reader = nullptr;
    m_writer = nullptr;
}

void sql_store::reset()
{
    close();
    for (const char *suffix : {"", "-wal", "-shm"}) {
        std::error_code ignored;
        std::filesystem::remove(m_file.string() + suffix, ignored);
    }
    open();
    for (const std::string &sql : m_initialStatements) {
        runOrAbort(m_writer, sql);
    }
}

bool sql_store::read(const std::string &sql, wire::result &result)
{
    return run(m_reader, sql, result);
}

bool sql_store::write(const std::string &sql, wire::result &result)
{
    return run(m_writer, sql, result);
}

void sql_store::begin()
{
    runOrAbort(m_writer, "BEGIN IMMEDIATE");
}

void sql_store::commit()
{
    runOrAbort(m_writer, "COMMIT");
}

void sql_store::rollback()
{
    runOrAbort(m_writer, "ROLLBACK");
}

bool sql_store::run(sqlite3 *handle, const std::string &sql, wire::result &result)
{
    sqlite3_stmt *statement = nullptr;
    const char *tail = nullptr;
    if (sqlite3_prepare_v2(handle, sql.data(), static_cast<int>(sql.size()), &statement, &tail) != SQLITE_OK) {
        result.set_detail(sqlite3_errmsg(handle));
        return false;
    }
    if (statement == nullptr) {
        result.set_detail("no statement");
        return false;
    }
    for (int column = 0; column < sqlite3_column_count(statement); ++column) {
        result.add_columns(sqlite3_column_name(statement, column));
    }
    int status = sqlite3_step(statement);
    while (status == SQLITE_ROW) {
        wire::result_row *row = result.add_rows();
        for (int column = 0; column < sqlite3_column_count(statement); ++column) {
            row->add_values(columnText(statement, column));
        }
        status = sqlite3_step(statement);
    }
    if (status != SQLITE_DONE) {
        result.set_detail(sqlite3_errmsg(handle));
    }
    result.set_changed_rows(static_cast<std::uint64_t>(sqlite3_changes(handle)));
    sqlite3_finalize(statement);
    return status == SQLITE_DONE;
}

void sql_store::runOrAbort(sqlite3 *handle, const std::string &sql)
{
    wire::result result;
    if (!run(handle, sql, result)) {
        writeLog(log_level::error, "standin", "SQLite rejected a statement of the stand-in", {{"sql", sql}, {"reason", result.detail()}});
        std::abort();
    }
}

} // namespace mustardrouter
