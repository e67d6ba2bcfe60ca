#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace mustardrouter
{

/// Wraps a value of type Rep; types with different tags do not convert into each other.
template<typename Tag, typename Rep>
class strong_type
{
public:
    constexpr strong_type() = default;
    constexpr explicit strong_type(Rep value)
        : m_value(std::move(value))
    {
    }

    constexpr const Rep &value() const
    {
        return m_value;
    }

    auto operator<=>(const strong_type &) const = default;
    bool operator==(const strong_type &) const = default;

private:
    Rep m_value{};
};

} // namespace mustardrouter

template<typename Tag, typename Rep>
struct std::hash<mustardrouter::strong_type<Tag, Rep>> {
    std::size_t operator()(const mustardrouter::strong_type<Tag, Rep> &id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};
