#include "mustardrouter/Soak/edge_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <utility>

extern char **environ; // NOLINT(readability-redundant-declaration): POSIX leaves the declaration to its users

namespace mustardrouter
{

edge_process::edge_process(std::string program, std::string settingsFile, std::string logFile)
    : m_program(std::move(program))
    , m_settingsFile(std::move(settingsFile))
    , m_logFile(std::move(logFile))
{
}

edge_process::~edge_process()
{
    if (m_process == 0) {
        return;
    }
    ::kill(m_process, SIGKILL);
    int status = 0;
    ::waitpid(m_process, &status, 0);
}

bool edge_process::start()
{
    if (m_process != 0) {
        return false;
    }
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    constexpr mode_t mode = 0644;
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The child must not inherit the soak's sockets: they would stay open after the soak closes them.
    ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string words[] = {m_program, "edge", "--settings", m_settingsFile};
    char *arguments[] = {words[0].data(), words[1].data(), words[2].data(), words[3].data(), nullptr};
    const int problem = ::posix_spawn(&m_process, m_program.c_str(), &actions, nullptr, arguments, environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (problem != 0) {
        m_process = 0;
    }
    return problem == 0;
}

void edge_process::signal(int number)
{
    if (m_process != 0) {
        ::kill(m_process, number);
    }
}

std::optional<int> edge_process::takeExitStatus()
{
    int status = 0;
    if (m_process == 0 || ::waitpid(m_process, &status, WNOHANG) != m_process) {
        return std::nullopt;
    }
    m_process = 0;
    return status;
}

bool edge_process::isRunning() const
{
    return m_process != 0;
}

std::uint64_t edge_process::memoryBytes() const
{
    if (m_process == 0) {
        return 0;
    }
    std::ifstream file("/proc/" + std::to_string(m_process) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t edge_process::descriptors() const
{
    if (m_process == 0) {
        return 0;
    }
    std::error_code problem;
    std::size_t count = 0;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/" + std::to_string(m_process) + "/fd", problem)) {
        static_cast<void>(entry);
        ++count;
    }
    return count;
}

} // namespace mustardrouter
