#pragma once

#include "mustardrouter/PlatformStandIn/standin_http.h"
#include "mustardrouter/PlatformStandIn/standin_store.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace mustardrouter::review
{

/// Stands before the stand-in store: answers without headers that belong to later pages, answers calls with `allow_stale` from an older
/// state if told to, and passes all other calls on.
class store_front
{
public:
    using now_function = std::function<time_point()>;

    store_front(asio::io_context &context, now_function now);

    /// Adds a listener for the calls of one machine to the store's listener at `address`; returns its address.
    std::string listenFor(const std::string &address);
    /// Time from a promotion order to its effect beyond that of the stand-in store.
    void delayOrders(duration delay);
    /// Answers promotion orders with 503 from now on, or no longer: nothing is done.
    void refuseOrders(bool refuses);
    std::size_t refusedOrders() const;
    /// Remembers the states of the store from now on.
    void remember(standin_store &store);
    /// Calls with `allow_stale` see the store as it was this long ago; zero: as it is.
    void setStaleness(duration age);

private:
    void handle(const std::string &address, const standin_request &request, const standin_http::responder &respond);
    void passOn(const std::string &address, const standin_request &request, const standin_http::responder &respond);
    void answerWatch(const standin_request &request, time_point until, const standin_http::responder &respond);
    const standin_objects &visible() const;
    void keepState();

    asio::io_context &m_context;
    now_function m_now;
    asio::steady_timer m_timer;
    standin_store *m_store = nullptr;
    duration m_staleness{};
    duration m_orderDelay{};
    bool m_refusesOrders = false;
    std::size_t m_refusedOrders = 0;
    std::deque<std::pair<time_point, standin_objects>> m_states;
    std::vector<std::unique_ptr<standin_http>> m_listeners;
};

} // namespace mustardrouter::review
