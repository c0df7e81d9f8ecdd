#include <barleyfork/core/key_directory.hpp>

#include <barleyfork/base/text.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

/// Covers that ages are truncated to milliseconds and that the clocks of the
/// store and of a daemon advance at slightly different rates.
constexpr duration clock_margin{50};

} // namespace

key_directory::key_directory(const gateway_configuration& configuration)
{
    for (const auto& organisation : configuration.organisations) {
        for (const auto& digest : organisation.key_digests) {
            const auto [known, is_new] =
                holders_.try_emplace(digest, &organisation);
            if (!is_new && known->second != &organisation)
                known->second = nullptr;
        }
    }
}

const gateway_organisation* key_directory::find(const std::string& digest) const
{
    const auto found = holders_.find(digest);
    return found == holders_.end() ? nullptr : found->second;
}

std::optional<std::string_view> parse_bearer_key(std::string_view value)
{
    constexpr std::string_view scheme = "Bearer";
    constexpr std::string_view blanks = " \t";
    if (value.size() <= scheme.size() ||
        !equal_ignoring_case(value.substr(0, scheme.size()), scheme) ||
        value[scheme.size()] != ' ')
        return std::nullopt;
    value.remove_prefix(scheme.size());
    value.remove_prefix(
        std::min(value.find_first_not_of(blanks), value.size()));
    value = value.substr(0, value.find_last_not_of(blanks) + 1);
    if (value.empty() || value.find_first_of(blanks) != std::string_view::npos)
        return std::nullopt;
    return value;
}

bool is_too_old_for_keys(std::optional<duration> age, const key_bounds& bounds)
{
    if (bounds.revocation <= duration{0})
        return false;
    return !age || *age + clock_margin > bounds.revocation;
}

key_decision decide_on_key(const gateway_configuration& configuration,
                           const key_directory& keys,
                           const gateway_route* route,
                           const std::string& digest,
                           std::optional<duration> age,
                           const key_bounds& bounds)
{
    if (!configuration.requires_keys || (route != nullptr && route->is_public))
        return {key_verdict::not_needed, nullptr};
    // A route that is unknown here may be a new one that needs no key.
    if (digest.empty() && route != nullptr)
        return {key_verdict::unknown, nullptr};
    if (is_too_old_for_keys(age, bounds))
        return {key_verdict::unconfirmed, nullptr};
    if (const auto* holder = keys.find(digest))
        return {key_verdict::accepted, holder};
    const bool may_be_new =
        bounds.addition > duration{0} && (!age || *age > bounds.addition);
    return {may_be_new ? key_verdict::unconfirmed : key_verdict::unknown,
            nullptr};
}

} // namespace barleyfork
