#pragma once

#include "mustardrouter/Schema/wire.pb.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

struct sqlite3;

namespace mustardrouter
{

/// SQLite file of a database stand-in: one handle for reads, one for the single writer.
class sql_store
{
public:
    sql_store(std::filesystem::path file, std::vector<std::string> initialStatements);
    ~sql_store();
    sql_store(const sql_store &) = delete;
    sql_store &operator=(const sql_store &) = delete;

    /// Runs a read that sees committed data only. Rows go into `result`; false and a detail when SQLite refuses.
    bool read(const std::string &sql, wire::result &result);
    /// Runs a statement on the writer's handle, within its transaction if one is open.
    bool write(const std::string &sql, wire::result &result);
    /// Begins, commits and rolls back the writer's transaction.
    void begin();
    void commit();
    void rollback();
    /// Empties the store and runs the initial statements again.
    void reset();

private:
    void open();
    void close();
    static bool run(sqlite3 *handle, const std::string &sql, wire::result &result);
    static void runOrAbort(sqlite3 *handle, const std::string &sql);

    std::filesystem::path m_file;
    std::vector<std::string> m_initialStatements;
    sqlite3 *m_reader = nullptr;
    sqlite3 *m_writer = nullptr;
};

} // namespace mustardrouter
