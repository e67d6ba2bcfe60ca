#pragma once

#include "mustardrouter/Edge/line_stream.h"
#include "mustardrouter/Soak/soak_history.h"
#include "platform/line_codec.h"
#include "review/standin-2/world.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace mustardrouter::review
{

/// A client that begins a transaction, rests, and reads in it.
class resting_client : public std::enable_shared_from_this<resting_client>
{
public:
    resting_client(world &all, std::string name, std::string route, duration rest);

    /// Connects, and sends BEGIN at once when the session has started.
    void start(const std::string &address);
    const std::string &name() const;
    /// The id of the read, and the time since the start of the world at which it was sent; zero if it was not.
    std::string readId() const;
    duration readSentAt() const;
    duration begunAt() const;
    /// Answer to the read; empty if there is none.
    const std::string &answer() const;

private:
    void onLine(std::string_view line);
    void send(const client_statement &statement);

    world &m_world;
    std::string m_name;
    std::string m_route;
    duration m_rest;
    std::uint64_t m_session = 0;
    std::uint64_t m_attempt = 0;
    std::shared_ptr<line_stream> m_stream;
    platform::reply_assembler m_assembler;
    asio::steady_timer m_timer;
    int m_step = 0;
    time_point m_transactionStartedAt{};
    duration m_begunAt{};
    duration m_readSentAt{};
    std::string m_answer;
};

} // namespace mustardrouter::review
