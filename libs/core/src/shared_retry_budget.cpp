#include <barleyfork/core/shared_retry_budget.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

/// Daemons that are taken to share the slack before more is known.
constexpr std::size_t assumed_daemons = 8;
/// One process of a daemon and the one that takes its place.
constexpr double processes_a_window = 2.0;

double share_of(double slack, std::size_t daemons)
{
    return slack / (processes_a_window * static_cast<double>(daemons));
}

void drop_before(std::deque<time_point>& times, time_point limit)
{
    while (!times.empty() && times.front() <= limit)
        times.pop_front();
}

} // namespace

shared_retry_budget::shared_retry_budget(shared_retry_limits limits)
    : limits_(limits), share_(share_of(limits.slack, assumed_daemons))
{
}

void shared_retry_budget::set_daemons(std::size_t count) noexcept
{
    share_ = share_of(limits_.slack, std::max<std::size_t>(count, 1));
}

void shared_retry_budget::on_first_send(time_point now)
{
    forget(now);
    first_sends_.push_back(now);
}

bool shared_retry_budget::available(time_point now)
{
    forget(now);
    const auto firsts = static_cast<double>(first_sends_.size());
    const auto repeats = static_cast<double>(repeats_.size());
    return repeats + 1.0 <= limits_.ratio * firsts + share_;
}

void shared_retry_budget::on_repeat(time_point now)
{
    repeats_.push_back(now);
}

void shared_retry_budget::forget(time_point now)
{
    drop_before(first_sends_, now - limits_.window);
    drop_before(repeats_, now - limits_.window);
}

} // namespace barleyfork
