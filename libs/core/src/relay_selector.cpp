#include <barleyfork/core/relay_selector.hpp>

#include <algorithm>
#include <iterator>

namespace barleyfork {

namespace {

bool is_responsive(const relay_candidate& candidate, time_point now)
{
    return candidate.last_seen_at != time_point{} &&
           now < candidate.last_seen_at + relay_selector::silence_timeout;
}

} // namespace

std::optional<std::size_t>
relay_selector::pick(const failure_domain_id& domain,
                     std::span<const relay_candidate> candidates,
                     time_point now)
{
    if (candidates.empty())
        return std::nullopt;
    auto& last = last_[domain];
    const auto previous =
        std::find_if(candidates.begin(),
                     candidates.end(),
                     [&last](const auto& c) { return c.id == last; });
    if (previous != candidates.end() && is_responsive(*previous, now))
        return std::distance(candidates.begin(), previous);
    auto chosen = std::max_element(
        candidates.begin(), candidates.end(), [](const auto& x, const auto& y) {
            return x.last_seen_at < y.last_seen_at;
        });
    if (!is_responsive(*chosen, now)) {
        chosen = std::find_if(candidates.begin(),
                              candidates.end(),
                              [&last](const auto& c) { return last < c.id; });
        if (chosen == candidates.end())
            chosen = candidates.begin();
    }
    last = chosen->id;
    return std::distance(candidates.begin(), chosen);
}

} // namespace barleyfork
