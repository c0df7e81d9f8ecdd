#include <barleyfork/core/quota_terms.hpp>

#include <barleyfork/base/digest.hpp>

#include <algorithm>
#include <bit>
#include <string>

namespace barleyfork {

namespace {

/// Time beyond the update interval in which a balance is still collected.
constexpr duration collection_margin{100};
/// Time beyond the update interval in which a credit is still used.
constexpr duration credit_margin{150};
constexpr duration min_idle_interval{600};
constexpr duration max_travel{250};
constexpr duration max_passage{150};
/// Limits the requests that a pool receives to about 1,000 per second.
constexpr duration min_interval{200};
constexpr duration max_interval{1000};
constexpr double interval_ms_per_daemon = 1.0;
/// Times are sent in whole milliseconds.
constexpr duration rounding{5};
/// A daemon is counted for this time beyond the longest interval of requests.
constexpr duration count_margin{250};
/// The time of minting that pools can store in any case.
constexpr double min_pool_s = 0.25;
/// The time of the rate that a burst is stored for, where it is larger.
constexpr double burst_s = 1.0;
constexpr double ms_per_second = 1000.0;

double to_seconds(duration time)
{
    return static_cast<double>(time.count()) / ms_per_second;
}

std::uint64_t hash_number(double number, std::uint64_t seed)
{
    return hash64(std::to_string(std::bit_cast<std::uint64_t>(number)), seed);
}

} // namespace

duration quota_times::total() const noexcept
{
    return balance + travel + passage + credit + rounding;
}

duration quota_interval(std::size_t daemons)
{
    const duration share(static_cast<std::int64_t>(
        interval_ms_per_daemon * static_cast<double>(daemons)));
    return std::clamp(share, min_interval, max_interval);
}

quota_times make_quota_times(duration update_interval)
{
    quota_times times;
    times.balance = update_interval + collection_margin;
    times.travel = max_travel;
    times.passage = max_passage;
    times.credit = update_interval + credit_margin;
    times.idle_interval = std::max(min_idle_interval, update_interval);
    times.count = times.idle_interval + count_margin;
    return times;
}

double quota_bound(const token_quota& quota, const quota_tolerance& tolerance)
{
    return (quota.per_second * to_seconds(tolerance.window) + quota.burst) *
               (1.0 + tolerance.over) +
           tolerance.slack;
}

quota_terms make_quota_terms(const token_quota& quota,
                             const quota_tolerance& tolerance,
                             const quota_times& times)
{
    const double bound = quota_bound(quota, tolerance);
    const double minted_s = to_seconds(tolerance.window + times.total());
    quota_terms terms;
    terms.times = times;
    // A burst counts in every window anew. What of it is beyond a second of the
    // rate is minted all the time, as pools could store it only once.
    const double stored = std::min(quota.burst, quota.per_second * burst_s);
    const double most = bound / (minted_s + min_pool_s);
    terms.per_second =
        std::min(std::max(quota.per_second, (bound - stored) / minted_s), most);
    terms.pool_cap = bound - terms.per_second * minted_s;
    return terms;
}

std::uint64_t quota_account_id(const organisation_id& organisation,
                               const token_quota& quota)
{
    return hash_number(
        quota.burst,
        hash_number(quota.per_second, hash64(organisation.value())));
}

} // namespace barleyfork
