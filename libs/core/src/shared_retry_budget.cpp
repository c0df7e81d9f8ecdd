#include <barleyfork/core/shared_retry_budget.hpp>

#include <algorithm>
#include <utility>

namespace barleyfork {

namespace {

/// Number of daemons assumed to share the slack until the actual number is set:
/// the most that a deployment has.
constexpr std::size_t assumed_daemons = 512;
/// One that uses its share at once, and its successors, which gain theirs over
/// the window.
constexpr double shares_per_window = 2.0;

double share_of(double slack, std::size_t daemons)
{
    return slack / (shares_per_window * static_cast<double>(daemons));
}

void remove_until(std::deque<time_point>& times, time_point limit)
{
    while (!times.empty() && times.front() <= limit)
        times.pop_front();
}

} // namespace

shared_retry_budget::shared_retry_budget(shared_retry_limits limits)
    : limits_(limits), share_(share_of(limits.slack, assumed_daemons))
{
}

void shared_retry_budget::set_daemon_count(std::size_t count) noexcept
{
    share_ = share_of(limits_.slack, std::max<std::size_t>(count, 1));
}

void shared_retry_budget::set_predecessors(time_point start) noexcept
{
    grows_from_ = start;
}

double shared_retry_budget::slack_at(time_point now) const
{
    if (!grows_from_)
        return share_;
    const auto age = static_cast<double>((now - *grows_from_).count());
    const auto window = static_cast<double>(limits_.window.count());
    return share_ * std::clamp(age / window, 0.0, 1.0);
}

void shared_retry_budget::record_first_attempt(time_point now)
{
    remove_expired(now);
    first_attempts_.push_back(now);
}

bool shared_retry_budget::allows_retry(time_point now)
{
    remove_expired(now);
    const auto first_attempts = static_cast<double>(first_attempts_.size());
    const auto retries =
        static_cast<double>(retries_->sent.size() + retries_->reserved);
    return retries + 1.0 <= limits_.ratio * first_attempts + slack_at(now);
}

std::unique_ptr<shared_retry_budget::reservation>
shared_retry_budget::reserve_retry(time_point now)
{
    if (!allows_retry(now))
        return nullptr;
    return std::unique_ptr<reservation>(new reservation(retries_));
}

shared_retry_budget::reservation::reservation(
    std::shared_ptr<retry_count> retries)
    : retries_(std::move(retries))
{
    ++retries_->reserved;
}

shared_retry_budget::reservation::~reservation()
{
    if (!is_spent_)
        --retries_->reserved;
}

void shared_retry_budget::reservation::spend(time_point now)
{
    if (std::exchange(is_spent_, true))
        return;
    --retries_->reserved;
    retries_->sent.push_back(now);
}

void shared_retry_budget::remove_expired(time_point now)
{
    remove_until(first_attempts_, now - limits_.window);
    remove_until(retries_->sent, now - limits_.window);
}

} // namespace barleyfork
