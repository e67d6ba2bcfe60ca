#pragma once

#include "mustardrouter/Core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Terms that one instance alone may use. Ranges of different holders never overlap.
struct term_range {
    instance_name holder;
    std::string address;
    term_number first;
    term_number last;
};

/// The platform's object for one group: its owner, then its deputies.
struct ownership_record {
    std::vector<term_range> ranges;
    /// Version of the platform object; zero when there is none.
    std::uint64_t version = 0;
};

/// Instances that hold a range: the owner and its deputies.
constexpr std::size_t holdersPerGroup = 3;

/// Terms in one range.
constexpr std::uint64_t termsPerRange = 16;

/// A record in which the holders get consecutive ranges above every term of `previous` and
/// above `floor`. The version stays that of `previous`.
ownership_record nextRecord(const ownership_record &previous, term_number floor, const std::vector<term_range> &holders);

} // namespace mustardrouter
