#pragma once

#include "mustardrouter/Core/failure.h"

#include <boost/leaf.hpp>

#include <string>

namespace mustardrouter
{

/// Payload of every boost::leaf error of this program.
struct error {
    failure cause = failure::none;
    /// Context of the failure, as in "examples/a.json: places[0].nmae: no such field".
    std::string detail;
};

/// Result of an operation that may fail with an `error`.
template<typename T>
using result_of = boost::leaf::result<T>;

/// Makes a failed result.
inline boost::leaf::error_id fail(failure cause, std::string detail)
{
    return boost::leaf::new_error(error{cause, std::move(detail)});
}

/// Runs `work`, which returns result_of<T>; returns its value, or the result of `onError(const error &)`.
template<typename Work, typename OnError>
auto handleErrors(Work &&work, OnError &&onError)
{
    return boost::leaf::try_handle_all(
        std::forward<Work>(work),
        [&](const error &what) {
            return onError(what);
        },
        [&] {
            return onError(error{failure::ioError, "unknown error"});
        });
}

} // namespace mustardrouter
