#pragma once

#include "mustardrouter/Edge/line_stream.h"
#include "mustardrouter/Soak/soak_history.h"
#include "mustardrouter/Soak/soak_route.h"
#include "mustardrouter/Soak/soak_tally.h"
#include "mustardrouter/Soak/soak_workspaces.h"
#include "platform/line_codec.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mustardrouter
{

/// A client that keeps a session open, runs operations on it one at a time, and reconnects when it is closed.
class soak_client : public std::enable_shared_from_this<soak_client>
{
public:
    struct client_environment {
        asio::io_context *context = nullptr;
        soak_history *history = nullptr;
        soak_tally *tally = nullptr;
        const std::vector<soak_route> *routes = nullptr;
        /// Null if clients need no keys.
        const soak_workspaces *workspaces = nullptr;
        std::function<time_point()> now;
        /// Index of the instance to connect to, and the address at which clients reach it.
        std::function<std::size_t()> chooseInstance;
        std::function<std::string(std::size_t)> addressOf;
    };

    soak_client(client_environment environment, std::size_t number, std::uint64_t seed);

    void start();
    /// Starts no further operation and closes when the current one has ended.
    void stop();
    bool isDone() const;

private:
    void connect();
    void reconnect();
    void onLine(std::string_view line);
    void onEnd();
    void onUnknownKey();
    void scheduleOperation();
    void beginOperation();
    std::vector<client_statement> makeOperation();
    client_statement make(client_verb verb, const std::string &rest = {});
    void send();
    void onReply(const database_reply &reply);
    void endOperation(bool served);
    void startReplyTimer();
    void callAfter(duration wait, void (soak_client::*then)());
    bool isOpenTransaction() const;

    client_environment m_environment;
    std::size_t m_number;
    std::string m_name;
    /// Who it says that it is, the key where workspaces are played.
    std::string m_key;
    time_point m_connectedAt{};
    std::mt19937_64 m_random;
    asio::steady_timer m_timer;
    asio::steady_timer m_replyTimer;
    std::shared_ptr<line_stream> m_stream;
    platform::reply_assembler m_assembler;
    std::size_t m_instance = 0;
    soak_route m_route;
    std::uint64_t m_session = 0;
    std::uint64_t m_attempt = 0;
    std::uint64_t m_nextStatement = 1;
    std::map<std::string, std::string> m_preparedStatements;
    std::vector<client_statement> m_steps;
    std::size_t m_step = 0;
    sent_statement m_sent;
    time_point m_operationStartedAt{};
    time_point m_transactionStartedAt{};
    bool m_started = false;
    bool m_awaitsReply = false;
    bool m_inTransaction = false;
    bool m_wrote = false;
    bool m_failed = false;
    bool m_stopping = false;
    bool m_done = false;
};

} // namespace mustardrouter
