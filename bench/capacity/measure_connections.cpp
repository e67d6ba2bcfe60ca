#include "bench/capacity/measurements.h"
#include "bench/capacity/meters.h"
#include "mustardrouter/Instance/network_thread.h"
#include "mustardrouter/Network/endpoint.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <sys/resource.h>

#include <array>
#include <chrono>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace mustardrouter::bench
{

namespace
{

constexpr std::array<std::size_t, 5> connectionCounts{500, 1000, 2000, 3500, 5000};
constexpr std::size_t ringCapacity = 16384;
constexpr auto settleTime = std::chrono::milliseconds(300);

void raiseFileLimit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

std::vector<series> measureConnections()
{
    raiseFileLimit();
    series heap{"connection.heap", "connections", "bytes", {}};
    series resident{"connection.resident", "connections", "bytes", {}};
    series idle{"connection.idle_cpu", "connections", "us/s", {}};
    for (const std::size_t count : connectionCounts) {
        ring_signal signal;
        ring<network_event> events(ringCapacity, signal);
        network_thread network(events, ringCapacity);
        const bool started = handleErrors(
            [&]() -> result_of<bool> {
                BOOST_LEAF_CHECK(network.start("127.0.0.1:0", "127.0.0.1:0"));
                return true;
            },
            [](const error &) {
                return false;
            });
        if (!started) {
            return {};
        }
        asio::io_context context;
        std::vector<asio::ip::tcp::socket> callers;
        callers.reserve(count);
        // The callers' sockets run in this process too: each adds at most 24 bytes of heap. Kernel memory is not counted.
        const asio::ip::tcp::endpoint entry = handleErrors(
            [&]() -> result_of<asio::ip::tcp::endpoint> {
                return parseEndpoint(network.callerAddress());
            },
            [](const error &) {
                return asio::ip::tcp::endpoint();
            });
        std::this_thread::sleep_for(settleTime);
        const std::int64_t heapBefore = heapBytes();
        const double residentBefore = residentBytes();
        for (std::size_t index = 0; index < count; ++index) {
            callers.emplace_back(context).connect(entry);
        }
        std::this_thread::sleep_for(settleTime);
        const auto size = static_cast<double>(count);
        heap.samples.push_back({size, static_cast<double>(heapBytes() - heapBefore)});
        resident.samples.push_back({size, residentBytes() - residentBefore});
        const double before = processMicros();
        std::this_thread::sleep_for(std::chrono::seconds(1));
        idle.samples.push_back({size, processMicros() - before});
        network.stop();
    }
    return {heap, resident, idle};
}

} // namespace mustardrouter::bench
