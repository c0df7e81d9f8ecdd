#include <barleyfork/core/quota_pool.hpp>

#include <algorithm>
#include <cmath>

namespace barleyfork {

namespace {

constexpr double ms_per_second = 1000.0;
/// How long an account counts as in use after the last need.
constexpr duration use_memory{2000};
/// Maximum time for which daemons are told to wait, beyond which the pool does
/// not remember what it promised either.
constexpr double max_promise_s = 3.0;
/// The number of requests of a sender by which repeated ones are recognised.
constexpr std::uint64_t remembered_numbers = 64;
/// The fraction of the cap that is kept for requests that wait.
constexpr double kept_for_waiting = 0.5;

double to_seconds(duration time)
{
    return static_cast<double>(time.count()) / ms_per_second;
}

} // namespace

void quota_pool::set_accounts(
    const std::map<std::uint64_t, quota_terms>& accounts,
    const std::map<std::uint64_t, std::uint64_t>& replaced,
    time_point now)
{
    clip_all(now);
    std::map<std::uint64_t, account> next;
    for (const auto& [id, terms] : accounts) {
        const auto earlier = replaced.find(id);
        const auto found =
            accounts_.find(earlier == replaced.end() ? id : earlier->second);
        auto& entry = next[id];
        if (found != accounts_.end())
            entry = found->second;
        if (earlier != replaced.end())
            entry.arrivals.clear();
        entry.terms = terms;
    }
    accounts_ = std::move(next);
    clip_all(now);
}

void quota_pool::set_daemons(std::size_t count, time_point now)
{
    clip_all(now);
    listed_ = std::max<std::size_t>(count, 1);
    update_daemons(now);
    clip_all(now);
}

void quota_pool::update_daemons(time_point now)
{
    daemons_ = listed_;
    for (const auto& [id, known] : askers_)
        if (now < known.known_until)
            daemons_ = std::max(daemons_, known.daemons);
}

std::size_t quota_pool::counted(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(askers_.begin(), askers_.end(), [now](const auto& item) {
            return now < item.second.counted_until;
        }));
}

double quota_pool::cap(const account& entry, time_point now) const
{
    double cap =
        entry.terms.pool_cap * std::min(static_cast<double>(counted(now)) /
                                            static_cast<double>(daemons_),
                                        1.0);
    for (const auto& arrival : entry.arrivals)
        cap += arrival.tokens;
    return cap;
}

/// Drops the tokens beyond the cap. The cap only falls between two calls, so
/// that a pool that was suspended retains no more than if it had not been.
void quota_pool::clip(account& entry, time_point now) const
{
    while (!entry.arrivals.empty() &&
           now >= entry.arrivals.front().at + entry.terms.times.passage)
        entry.arrivals.pop_front();
    entry.stock = std::min(entry.stock, cap(entry, now));
}

void quota_pool::clip_all(time_point now)
{
    for (auto& [id, entry] : accounts_)
        clip(entry, now);
}

/// Returns how long the last grant and this request were on their ways.
std::optional<duration> quota_pool::travel_time(const quota_request& request,
                                                time_point now) const
{
    if (!request.echo || request.echo->stamp < started_at_)
        return std::nullopt;
    const auto time = now - request.echo->stamp - request.echo->age;
    if (time < duration{-1})
        return std::nullopt;
    return std::max(time, duration{0});
}

/// Records a request. Returns false for one that was received before, or was
/// overtaken by many newer ones.
bool quota_pool::is_new(const quota_sender& sender, std::uint64_t number)
{
    auto& known = askers_[sender.instance];
    if (sender.incarnation < known.incarnation)
        return false;
    if (sender.incarnation > known.incarnation) {
        known.incarnation = sender.incarnation;
        known.number = 0;
        known.seen = 0;
    }
    if (number > known.number) {
        const auto newer = number - known.number;
        known.seen = newer < remembered_numbers ? known.seen << newer : 0;
        known.number = number;
    }
    const auto older = known.number - number;
    if (older >= remembered_numbers || ((known.seen >> older) & 1U) != 0)
        return false;
    known.seen |= std::uint64_t{1} << older;
    return true;
}

quota_grant quota_pool::answer(const quota_sender& sender,
                               const quota_request& request,
                               time_point now)
{
    clip_all(now);
    const auto travel = travel_time(request, now);
    const bool is_first = is_new(sender, request.number);
    for (const auto& need : request.needs) {
        const auto found = accounts_.find(need.account);
        if (found == accounts_.end() || !is_first || !travel ||
            *travel > found->second.terms.times.travel)
        {
            lost_ += need.transferred;
            continue;
        }
        accept(found->second, need.transferred, now);
    }
    if (is_first)
        record_asker(sender, request, travel, now);
    quota_grant grant;
    grant.number = request.number;
    grant.stamp = now;
    grant.daemons = daemons_;
    if (!is_first)
        return grant;
    for (const auto& need : request.needs) {
        const auto found = accounts_.find(need.account);
        if (found == accounts_.end())
            continue;
        // A grant that is too late would be of no use.
        if (travel && *travel >= found->second.terms.times.credit)
            continue;
        grant.shares.push_back(this->grant(found->second, need, now));
    }
    for (const auto& [id, entry] : accounts_) {
        const bool is_named = std::any_of(
            grant.shares.begin(),
            grant.shares.end(),
            [id = id](const auto& share) { return share.account == id; });
        if (!is_named && entry.was_used && now < entry.used_at + use_memory)
            grant.shares.push_back({id, 0.0, duration{0}});
    }
    return grant;
}

/// Counts the sender from the time at which it sent the request.
void quota_pool::record_asker(const quota_sender& sender,
                              const quota_request& request,
                              std::optional<duration> travel,
                              time_point now)
{
    if (accounts_.empty())
        return;
    const auto& times = accounts_.begin()->second.terms.times;
    auto& known = askers_[sender.instance];
    known.daemons = request.daemons;
    known.known_until = now + times.count;
    if (travel && request.is_counted)
        known.counted_until =
            std::max(known.counted_until, now - *travel + times.count);
    update_daemons(now);
}

void quota_pool::accept(account& entry, double tokens, time_point now) const
{
    if (!(tokens > 0.0))
        return;
    entry.stock += tokens;
    entry.arrivals.push_back({now, tokens});
}

/// Grants what requests wait for, and what is wanted as far as enough remains
/// for others that wait.
quota_share
quota_pool::grant(account& entry, const quota_need& need, time_point now) const
{
    clip(entry, now);
    quota_share share;
    share.account = need.account;
    if (need.waiting > 0.0 || need.wanted > 0.0) {
        entry.used_at = now;
        entry.was_used = true;
    }
    if (need.waiting > 0.0 && entry.stock >= need.first)
        share.granted = std::min(need.waiting, entry.stock);
    entry.stock -= share.granted;
    if (share.granted < need.waiting) {
        const double missing = need.waiting - share.granted;
        share.available_in =
            promise(entry, missing, std::min(need.first, missing), now);
        return share;
    }
    const double spare = entry.stock - kept_for_waiting * entry.terms.pool_cap *
                                           static_cast<double>(counted(now)) /
                                           static_cast<double>(daemons_);
    const double extra = std::clamp(spare, 0.0, std::max(need.wanted, 0.0));
    entry.stock -= extra;
    share.granted += extra;
    return share;
}

/// Returns when `first` tokens are available beyond what was promised before,
/// and promises `missing` ones.
duration quota_pool::promise(account& entry,
                             double missing,
                             double first,
                             time_point now) const
{
    const double inflow = entry.terms.per_second *
                          static_cast<double>(counted(now)) /
                          static_cast<double>(daemons_);
    const double kept =
        inflow * to_seconds(std::max(now - entry.promised_at, duration{0}));
    entry.promised_at = now;
    entry.promised = std::max(entry.promised - kept, 0.0);
    const double lacking = entry.promised + first - entry.stock;
    entry.promised = std::min(entry.promised + missing, inflow * max_promise_s);
    if (inflow <= 0.0)
        return seconds(1.0);
    return std::max(
        duration{1},
        seconds(std::min(std::max(lacking, 0.0) / inflow, max_promise_s)));
}

} // namespace barleyfork
