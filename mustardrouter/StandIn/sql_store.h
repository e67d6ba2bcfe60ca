#pragma once

#include "mustardrouter/Schema/wire.pb.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

struct sqlite3;

namespace mustardrouter
{

/// SQLite file of a database stand-in, with one handle for reads and one for the single writer. Removed on destruction.
class sql_store
{
public:
    sql_store(std::filesystem::path file, std::vector<std::string> initialStatements);
    ~sql_store();
    sql_store(const sql_store &) = delete;
    sql_store &operator=(const sql_store &) = delete;

    /// Runs a read on committed data and adds its rows to `result`; false, with SQLite's message as detail, if it fails.
    bool read(const std::string &sql, wire::result &result);
    /// Like read(), on the writer's handle and within its transaction if one is open.
    bool write(const std::string &sql, wire::result &result);
    // begin(), commit(), rollback(), reset() and the constructor abort the process if SQLite fails.
    void begin();
    void commit();
    void rollback();
    /// Deletes all data and runs the initial statements again.
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
