#ifndef BARLEYFORK_BASE_STRONG_ID_HPP
#define BARLEYFORK_BASE_STRONG_ID_HPP

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace barleyfork {

/// A string identifier that does not convert to identifiers of other kinds.
///
/// `Tag` is an empty struct that distinguishes the kinds.
template <typename Tag>
class strong_id
{
public:
    strong_id() = default;
    explicit strong_id(std::string value) : value_(std::move(value)) {}

    const std::string& value() const noexcept
    {
        return value_;
    }
    bool empty() const noexcept
    {
        return value_.empty();
    }

    friend auto operator<=>(const strong_id&, const strong_id&) = default;

private:
    std::string value_;
};

using instance_id = strong_id<struct instance_tag>;
using server_id = strong_id<struct server_tag>;
using model_id = strong_id<struct model_tag>;
using organisation_id = strong_id<struct organisation_tag>;
using failure_domain_id = strong_id<struct failure_domain_tag>;
using region_id = strong_id<struct region_tag>;
using order_id = strong_id<struct order_tag>;

} // namespace barleyfork

template <typename Tag>
struct std::hash<barleyfork::strong_id<Tag>>
{
    std::size_t operator()(const barleyfork::strong_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};

#endif
