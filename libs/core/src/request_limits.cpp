#include <barleyfork/core/request_limits.hpp>

#include <barleyfork/base/digest.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace barleyfork {

namespace {

/// A process that takes nothing is still asked now and then whether it does.
constexpr double min_per_second = 0.1;
constexpr double ms_per_second = 1000.0;

/// The number of daemons that share a limit. In the users' window of 4 s these
/// send 4 times the limit and one request each; 6 times the limit and 5
/// requests are allowed.
std::size_t max_sharers(double per_second)
{
    constexpr double sharers_per_request = 2.0;
    constexpr std::size_t min_sharers = 3;
    constexpr double max_counted = 100000.0;
    const double more = sharers_per_request * std::min(per_second, max_counted);
    return min_sharers + static_cast<std::size_t>(more);
}

std::uint64_t rank_of(const instance_id& daemon, const server_id& server)
{
    return hash64(daemon.value(), hash64(server.value(), 0));
}

} // namespace

request_limits::request_limits(instance_id self) : self_(std::move(self)) {}

void request_limits::set_daemons(std::vector<instance_id> listed,
                                 bool is_counted)
{
    std::erase(listed, self_);
    if (listed == others_ && is_counted == is_counted_)
        return;
    others_ = std::move(listed);
    is_counted_ = is_counted;
    for (auto& [process, known] : entries_)
        if (known.per_second)
            known.gap = gap_for(process.server, *known.per_second);
}

/// Returns the gap between two requests of this daemon if it is one of those
/// that share the limit.
std::optional<duration> request_limits::gap_for(const server_id& server,
                                                double per_second) const
{
    if (!is_counted_)
        return std::nullopt;
    const auto own = rank_of(self_, server);
    const auto ahead =
        std::count_if(others_.begin(), others_.end(), [&](const auto& other) {
            return rank_of(other, server) < own;
        });
    const auto sharers = std::min(max_sharers(per_second), others_.size() + 1);
    if (static_cast<std::size_t>(ahead) >= sharers)
        return std::nullopt;
    const double gap_ms = ms_per_second * static_cast<double>(sharers) /
                          std::max(per_second, min_per_second);
    return duration(static_cast<std::int64_t>(std::ceil(gap_ms)));
}

void request_limits::observe(const limit_observation& observation,
                             double draw,
                             time_point now)
{
    const auto known = entries_.find(observation.process);
    if (known == entries_.end() && !observation.per_second)
        return;
    auto& entry = entries_[observation.process];
    if (observation.observed_at < entry.observed_at)
        return;
    entry.observed_at = observation.observed_at;
    if (entry.per_second == observation.per_second)
        return;
    const bool is_new = !entry.per_second;
    entry.per_second = observation.per_second;
    entry.gap.reset();
    if (!entry.per_second)
        return;
    entry.gap = gap_for(observation.process.server, *entry.per_second);
    if (!entry.gap)
        return;
    const auto wait = duration(static_cast<std::int64_t>(
        draw * static_cast<double>(entry.gap->count())));
    entry.next_allowed_at =
        is_new ? now + wait : std::min(entry.next_allowed_at, now + *entry.gap);
}

std::optional<time_point>
request_limits::next_allowed_at(const server_process& process) const
{
    const auto found = entries_.find(process);
    if (found == entries_.end() || !found->second.per_second)
        return std::nullopt;
    return found->second.gap ? found->second.next_allowed_at
                             : time_point::max();
}

std::optional<double> request_limits::rate(const server_process& process) const
{
    const auto found = entries_.find(process);
    return found == entries_.end() ? std::nullopt : found->second.per_second;
}

std::optional<double>
request_limits::own_rate(const server_process& process) const
{
    const auto found = entries_.find(process);
    if (found == entries_.end() || !found->second.per_second)
        return std::nullopt;
    return found->second.gap
               ? ms_per_second / static_cast<double>(found->second.gap->count())
               : 0.0;
}

void request_limits::on_sent(const server_process& process, time_point now)
{
    const auto found = entries_.find(process);
    if (found != entries_.end() && found->second.gap)
        found->second.next_allowed_at = now + *found->second.gap;
}

std::vector<limit_observation> request_limits::recent(duration max_age,
                                                      time_point now) const
{
    std::vector<limit_observation> found;
    for (const auto& [process, known] : entries_)
        if (now < known.observed_at + max_age)
            found.push_back({process, known.per_second, known.observed_at});
    return found;
}

} // namespace barleyfork
