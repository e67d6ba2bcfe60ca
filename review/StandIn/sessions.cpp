#include "bed.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>

namespace review
{

namespace
{

constexpr auto reconnectPause = 100ms;

} // namespace

const std::map<std::string, sent_statement> &bed::sentStatements() const
{
    return m_sentStatements;
}

const std::vector<statement_run> &bed::statementRuns() const
{
    return m_statementRuns;
}

void bed::startSessions(std::size_t count, double writes, double transactions, millis pause)
{
    m_clientsRun = true;
    for (std::size_t number = 0; number < count; ++number) {
        asio::co_spawn(m_context, runSession(number, writes, transactions, pause), asio::detached);
    }
}

asio::awaitable<std::string> bed::askAs(tcp::socket &socket, std::string &buffer, sent_statement sent)
{
    const std::string id = "7d10a2c4e6f8" + std::to_string(100000 + m_nextId++);
    const std::string text = sent.text;
    const std::string client = "client " + std::to_string(sent.client) + " ";
    m_sentStatements[id] = std::move(sent);
    std::string answer = co_await ask(socket, buffer, id, text);
    m_sentStatements[id].answer = answer;
    m_record.write(client + id + " " + text + ": " + answer);
    co_return answer;
}

asio::awaitable<void> bed::useSession(
    tcp::socket &socket, std::string &buffer, sent_statement base, std::mt19937_64 &random, double writes, double transactions)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    const double draw = uniform(random);
    const std::string item = std::to_string(random() % 2000);
    if (draw >= writes + transactions) {
        base.text = "READ " + item;
        co_await askAs(socket, buffer, base);
        co_return;
    }
    if (draw < writes) {
        base.text = "WRITE " + item + " xkqpwnzd";
        co_await askAs(socket, buffer, base);
        co_return;
    }
    base.transaction = m_nextClientTransaction++;
    const std::string last = uniform(random) < 0.5 ? "ROLLBACK" : "COMMIT";
    const std::vector<std::string> texts{"BEGIN", "READ " + item, "WRITE " + item + " xkqpwnzd", last};
    for (const std::string &text : texts) {
        base.text = text;
        const std::string answer = co_await askAs(socket, buffer, base);
        if (answer != "COMPLETE") {
            base.text = "ROLLBACK";
            co_await askAs(socket, buffer, base);
            co_return;
        }
    }
}

asio::awaitable<void> bed::runSession(std::size_t number, double writes, double transactions, millis pause)
{
    std::size_t turn = number;
    std::mt19937_64 random(number + 1);
    while (m_clientsRun) {
        const instance &one = m_instances[turn++ % m_instances.size()];
        tcp::socket socket(m_context);
        std::string buffer;
        try {
            const tcp::endpoint to(asio::ip::make_address(one.ip), m_frontendPort);
            co_await socket.async_connect(to, asio::use_awaitable);
            const std::string start =
                "STARTUP " + std::string(number % 2 == 0 ? "edits" : "reads") + " u" + std::to_string(number) + "\r\n";
            co_await asio::async_write(socket, asio::buffer(start), asio::use_awaitable);
            const std::string answer = co_await readLine(socket, buffer);
            if (!answer.starts_with("READY")) {
                throw std::runtime_error("refused");
            }
            sent_statement base;
            base.client = number;
            const std::string value = "v" + std::to_string(number);
            base.text = "SET desk " + value;
            const std::string set = co_await askAs(socket, buffer, base);
            if (set != "COMPLETE") {
                throw std::runtime_error("the value was refused");
            }
            base.values["desk"] = value;
            while (m_clientsRun) {
                co_await useSession(socket, buffer, base, random, number % 2 == 0 ? writes : 0, number % 2 == 0 ? transactions : 0);
                co_await sleepFor(pause);
            }
        } catch (const std::exception &) {
            m_record.write("client " + std::to_string(number) + " lost its session");
        }
        co_await sleepFor(reconnectPause);
    }
}

void bed::startFlood(std::size_t instanceIndex, std::size_t messages, std::size_t bytes)
{
    asio::co_spawn(m_context, flood(instanceIndex, messages, bytes), asio::detached);
}

std::size_t bed::largestMemory() const
{
    return m_largestMemory;
}

asio::awaitable<void> bed::flood(std::size_t instanceIndex, std::size_t messages, std::size_t bytes)
{
    const instance &one = m_instances.at(instanceIndex);
    const std::string data(bytes, 'x');
    while (m_clientsRun) {
        tcp::socket socket(m_context);
        try {
            const tcp::endpoint to(asio::ip::make_address(one.ip), m_frontendPort);
            co_await socket.async_connect(to, asio::use_awaitable);
            const std::string start = "STARTUP edits u0\r\n";
            co_await asio::async_write(socket, asio::buffer(start), asio::use_awaitable);
            std::string buffer;
            co_await readLine(socket, buffer);
            for (std::size_t count = 0; count < messages && m_clientsRun; ++count) {
                const std::string message = "QUERY f10d" + std::to_string(100000 + m_nextId++) + " WRITE 7 " + data + "\r\n";
                co_await asio::async_write(socket, asio::buffer(message), asio::use_awaitable);
            }
            while (m_clientsRun) {
                co_await readLine(socket, buffer);
            }
        } catch (const std::exception &) {
            // The session has ended.
        }
        co_await sleepFor(reconnectPause);
    }
}

asio::awaitable<void> bed::limitMemory(std::size_t bytes)
{
    constexpr auto checkInterval = 20ms;
    const auto pageBytes = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    while (m_clientsRun) {
        for (const instance &one : m_instances) {
            std::size_t total = 0;
            std::size_t resident = 0;
            if (one.process > 0) {
                std::ifstream file("/proc/" + std::to_string(one.process) + "/statm");
                file >> total >> resident;
            }
            m_largestMemory = std::max(m_largestMemory, resident * pageBytes);
            if (resident * pageBytes > bytes) {
                m_record.write("instance " + one.name + " uses " + std::to_string(resident * pageBytes / 1000000)
                               + " MB and is killed for that");
                ::kill(one.process, SIGKILL);
            }
        }
        co_await sleepFor(checkInterval);
    }
}

} // namespace review
