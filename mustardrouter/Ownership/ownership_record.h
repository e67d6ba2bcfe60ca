#pragma once

#include "mustardrouter/Core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Terms that only one instance may use. Ranges of different holders never overlap.
struct term_range {
    instance_name holder;
    std::string address;
    term_number first;
    term_number last;
};

/// Object stored on the platform for one group: the ranges of its owner and then of its deputies.
struct ownership_record {
    std::vector<term_range> ranges;
    /// Version of the platform object; zero when there is none.
    std::uint64_t version = 0;
};

/// Number of instances that hold a range: the owner and its deputies.
constexpr std::size_t holdersPerGroup = 3;

/// Number of terms in one range.
constexpr std::uint64_t termsPerRange = 16;

/// A record that assigns consecutive ranges to `holders`, above every term of `previous` and above `floor`.
/// It keeps the version of `previous`.
ownership_record nextRecord(const ownership_record &previous, term_number floor, const std::vector<term_range> &holders);

} // namespace mustardrouter
