#include <barleyfork/core/quota_asker.hpp>

#include <algorithm>
#include <cmath>

namespace barleyfork {

namespace {

constexpr double ms_per_second = 1000.0;
/// Time within which requests that need tokens are asked for together.
constexpr duration coalescing_delay{3};
/// A pool that leaves a request unanswered for longer is replaced.
constexpr duration answer_timeout{400};
/// Time after which tokens that were asked for are asked for again.
constexpr duration repeat_delay{150};
/// How long an organisation counts as in use after the last request.
constexpr duration use_memory{2000};
/// After a pause of this length this daemon was suspended, and its silence says
/// nothing of the pool.
constexpr int max_missed_rounds = 2;
/// The time constant of the smoothed use.
constexpr double use_smoothing_s = 1.0;
constexpr double mean_smoothing = 0.1;
/// Credits are requested in advance only if that many requests are expected to
/// use them: a part of a request's tokens would expire unused.
constexpr double min_expected_requests = 2.0;
/// Credits requested in advance, as a fraction of the use until the next
/// regular request: they are lost if the callers move to another daemon.
constexpr double advance_fraction = 0.5;
/// Told to callers if the pool did not say when tokens are available.
constexpr duration default_delay{300};

double to_seconds(duration time)
{
    return static_cast<double>(time.count()) / ms_per_second;
}

} // namespace

quota_asker::quota_asker(quota_times times, time_point now)
    : times_(times), counted_elsewhere_until_(now + times.count)
{
}

std::size_t quota_asker::daemons() const noexcept
{
    return std::max({listed_, heard_, std::size_t{1}});
}

/// Returns the part of the rate that this daemon mints.
double quota_asker::fraction() const noexcept
{
    return is_known_ ? 1.0 / static_cast<double>(daemons()) : 0.0;
}

void quota_asker::apply_fraction(time_point now)
{
    for (auto& [id, entry] : organisations_)
        entry.account.set_terms(entry.account.terms(), fraction(), now);
}

void quota_asker::set_accounts(
    const std::map<std::uint64_t, quota_terms>& accounts,
    const std::map<std::uint64_t, std::uint64_t>& replaced,
    time_point now)
{
    std::map<std::uint64_t, organisation> next;
    for (const auto& [id, terms] : accounts) {
        const auto earlier = replaced.find(id);
        const auto found = organisations_.find(
            earlier == replaced.end() ? id : earlier->second);
        auto& entry = next[id];
        if (found != organisations_.end())
            entry = std::move(found->second);
        if (earlier != replaced.end())
            entry.short_until = now;
        entry.account.set_terms(terms, fraction(), now);
        times_ = terms.times;
    }
    organisations_ = std::move(next);
}

void quota_asker::set_daemons(std::vector<pool_candidate> candidates,
                              bool is_known,
                              time_point now)
{
    listed_ = candidates.size();
    is_known_ = is_known;
    pools_.set_candidates(std::move(candidates));
    watch_pool(now);
    apply_fraction(now);
}

/// Notices that another pool is used from now on. The earlier one may count
/// this daemon for a while.
void quota_asker::watch_pool(time_point now)
{
    if (pools_.current() == pool_)
        return;
    if (!pool_.empty())
        counted_elsewhere_until_ =
            std::max(counted_elsewhere_until_, now + times_.count);
    pool_ = pools_.current();
    last_grant_.reset();
}

bool quota_asker::is_counted(time_point now) const
{
    return is_known_ && now >= counted_elsewhere_until_;
}

void quota_asker::record_use(organisation& entry, double tokens, time_point now)
{
    const double elapsed =
        to_seconds(std::max(now - entry.rate_at, duration{0}));
    entry.rate *= std::exp(-elapsed / use_smoothing_s);
    entry.rate += tokens / use_smoothing_s;
    entry.rate_at = now;
    entry.mean_tokens =
        entry.mean_tokens == 0.0
            ? tokens
            : entry.mean_tokens + mean_smoothing * (tokens - entry.mean_tokens);
    entry.active_until = now + use_memory;
}

/// Returns the tokens that requests are expected to use before credits that
/// are granted now expire.
double quota_asker::expected_use(const organisation& entry,
                                 time_point now) const
{
    const double elapsed =
        to_seconds(std::max(now - entry.rate_at, duration{0}));
    const double use = entry.rate * std::exp(-elapsed / use_smoothing_s) *
                       to_seconds(interval_);
    return use < min_expected_requests * entry.mean_tokens
               ? 0.0
               : advance_fraction * use;
}

quota_decision quota_asker::decide(std::uint64_t account,
                                   double tokens,
                                   duration patience,
                                   time_point now)
{
    quota_decision decision;
    const auto found = organisations_.find(account);
    if (found == organisations_.end())
        return decision;
    auto& entry = found->second;
    record_use(entry, tokens, now);
    if (entry.waiters.empty())
        if (auto charge = entry.account.take(tokens, now)) {
            decision.charge = std::move(*charge);
            return decision;
        }
    if (now < entry.short_until || patience <= duration{0}) {
        decision.result = quota_decision::outcome::refused;
        decision.retry_after = std::max(entry.available_at - now, duration{1});
        if (entry.available_at <= now)
            decision.retry_after = default_delay;
        return decision;
    }
    decision.result = quota_decision::outcome::waits;
    decision.ticket = ++last_ticket_;
    if (entry.waiters.empty())
        entry.ask_at = now + coalescing_delay;
    entry.waiters.push_back({decision.ticket, tokens, now + patience});
    const auto ask_at = std::max(entry.ask_at, now + coalescing_delay);
    ask_at_ = std::min(ask_at_.value_or(ask_at), ask_at);
    return decision;
}

void quota_asker::put_back(std::uint64_t account,
                           const quota_charge& charge,
                           time_point now)
{
    const auto found = organisations_.find(account);
    if (found != organisations_.end())
        found->second.account.put_back(charge, now);
}

void quota_asker::cancel(std::uint64_t account, std::uint64_t ticket)
{
    const auto found = organisations_.find(account);
    if (found != organisations_.end())
        std::erase_if(found->second.waiters, [ticket](const auto& waiting) {
            return waiting.ticket == ticket;
        });
}

time_point quota_asker::next_due() const
{
    if (organisations_.empty())
        return time_point::max();
    auto due = std::min(round_at_, ask_at_.value_or(time_point::max()));
    for (const auto& [id, entry] : organisations_)
        for (const auto& waiting : entry.waiters)
            due = std::min(due, waiting.until);
    return due;
}

quota_events quota_asker::run(duration interval, time_point now)
{
    quota_events events;
    interval_ = interval;
    if (organisations_.empty())
        return events;
    give_up_silent(now);
    for (auto& [id, entry] : organisations_)
        serve(entry, events, now);
    refuse_late(events, now);
    const bool is_round = now >= round_at_;
    if (!is_round && (!ask_at_ || now < *ask_at_))
        return events;
    ask_at_.reset();
    if (is_round) {
        round_at_ = now + interval;
        if (const auto probed = pools_.next_probe(now))
            events.sends.push_back({*probed, make_head(*probed, now)});
    }
    if (auto send = make_request(is_round, now))
        events.sends.push_back(std::move(*send));
    return events;
}

void quota_asker::give_up_silent(time_point now)
{
    if (now > round_at_ + max_missed_rounds * interval_)
        sent_.clear();
    for (auto next = sent_.begin(); next != sent_.end();) {
        if (now < next->second.sent_at + answer_timeout) {
            ++next;
            continue;
        }
        pools_.on_silent(next->second.to, now);
        next = sent_.erase(next);
    }
    watch_pool(now);
}

void quota_asker::refuse_late(quota_events& events, time_point now)
{
    for (auto& organisation : organisations_) {
        auto& entry = organisation.second;
        std::erase_if(entry.waiters, [&](const auto& waiting) {
            if (now < waiting.until)
                return false;
            quota_decision decision;
            decision.result = quota_decision::outcome::refused;
            decision.ticket = waiting.ticket;
            decision.retry_after =
                std::max(entry.available_at - now, default_delay);
            events.decisions.push_back(std::move(decision));
            return true;
        });
    }
}

/// Returns what was asked for already and may still be granted.
double quota_asker::asked(std::uint64_t account, time_point now) const
{
    double sum = 0.0;
    for (const auto& [number, sent] : sent_) {
        const auto found = sent.waiting.find(account);
        if (found != sent.waiting.end() && now < sent.sent_at + repeat_delay)
            sum += found->second;
    }
    return sum;
}

/// Returns what is to be asked for and transferred for an organisation.
std::optional<quota_need> quota_asker::make_need(std::uint64_t id,
                                                 organisation& entry,
                                                 bool is_round,
                                                 time_point now)
{
    quota_need need;
    need.account = id;
    const bool is_active = now < entry.active_until;
    const bool is_idle_round =
        now >= entry.moved_at + entry.account.terms().times.idle_interval;
    const bool is_asking = !entry.waiters.empty() && now >= entry.ask_at;
    if (is_asking || (is_round && (is_active || is_idle_round))) {
        entry.moved_at = now;
        if (last_grant_)
            need.transferred = entry.account.take_balance(now);
    }
    const double held = entry.account.credit(now) + entry.account.balance(now);
    if (is_asking) {
        double wanted = 0.0;
        for (const auto& waiting : entry.waiters)
            wanted += waiting.tokens;
        need.waiting = std::max(wanted - held - asked(id, now), 0.0);
        need.first =
            std::clamp(entry.waiters.front().tokens - held, 0.0, need.waiting);
    }
    else if (is_round) {
        need.wanted = std::max(expected_use(entry, now) - held, 0.0);
    }
    const bool is_empty =
        need.transferred <= 0.0 && need.waiting <= 0.0 && need.wanted <= 0.0;
    return is_empty ? std::nullopt : std::optional(need);
}

quota_request quota_asker::make_head(const instance_id& to, time_point now)
{
    quota_request request;
    request.number = ++last_number_;
    request.daemons = std::max<std::size_t>(listed_, 1);
    auto& sent = sent_[request.number];
    sent.to = to;
    sent.sent_at = now;
    if (to != pool_)
        return request;
    request.is_counted = is_counted(now);
    request.echo = last_grant_;
    if (request.echo)
        request.echo->age = now - last_grant_at_;
    return request;
}

std::optional<quota_send> quota_asker::make_request(bool is_round,
                                                    time_point now)
{
    if (pool_.empty())
        return std::nullopt;
    std::vector<quota_need> needs;
    for (auto& [id, entry] : organisations_) {
        if (const auto need = make_need(id, entry, is_round, now))
            needs.push_back(*need);
        if (!entry.waiters.empty() && now < entry.ask_at)
            ask_at_ = std::min(ask_at_.value_or(entry.ask_at), entry.ask_at);
    }
    // Without a grant to return, a request only asks for one.
    if (needs.empty() && (last_grant_ || !is_round))
        return std::nullopt;
    quota_send send{pool_, make_head(pool_, now)};
    for (const auto& need : needs)
        if (need.waiting > 0.0)
            sent_[send.request.number].waiting[need.account] = need.waiting;
    send.request.needs = std::move(needs);
    return send;
}

quota_events quota_asker::on_grant(const instance_id& from,
                                   const quota_grant& grant,
                                   time_point now)
{
    quota_events events;
    const auto found = sent_.find(grant.number);
    if (found == sent_.end() || found->second.to != from)
        return events;
    const auto sent_at = found->second.sent_at;
    sent_.erase(found);
    pools_.on_answer(from);
    watch_pool(now);
    if (from == pool_) {
        last_grant_ = quota_echo{grant.stamp, duration{0}};
        last_grant_at_ = now;
        if (heard_ != grant.daemons) {
            heard_ = grant.daemons;
            apply_fraction(now);
        }
    }
    for (const auto& share : grant.shares)
        apply_share(share, sent_at, events, now);
    return events;
}

void quota_asker::apply_share(const quota_share& share,
                              time_point sent_at,
                              quota_events& events,
                              time_point now)
{
    const auto found = organisations_.find(share.account);
    if (found == organisations_.end())
        return;
    auto& entry = found->second;
    entry.active_until = std::max(entry.active_until, now + interval_ * 2);
    entry.account.add_credit(
        {sent_at + entry.account.terms().times.credit, share.granted}, now);
    serve(entry, events, now);
    if (share.available_in <= duration{0})
        return;
    entry.available_at = now + share.available_in;
    if (entry.waiters.empty())
        return;
    if (entry.available_at < entry.waiters.front().until) {
        entry.ask_at = entry.available_at;
        ask_at_ = std::min(ask_at_.value_or(entry.ask_at), entry.ask_at);
        return;
    }
    entry.short_until = now + std::min(share.available_in, interval_);
    refuse_waiters(entry, share.available_in, events);
}

void quota_asker::serve(organisation& entry,
                        quota_events& events,
                        time_point now)
{
    while (!entry.waiters.empty()) {
        const auto& front = entry.waiters.front();
        auto charge = entry.account.take(front.tokens, now);
        if (!charge)
            return;
        quota_decision decision;
        decision.ticket = front.ticket;
        decision.charge = std::move(*charge);
        events.decisions.push_back(std::move(decision));
        entry.waiters.pop_front();
    }
}

/// Refuses all waiting requests; each one's tokens are available after those of
/// the ones before it.
void quota_asker::refuse_waiters(organisation& entry,
                                 duration available_in,
                                 quota_events& events)
{
    const double per_second = entry.account.terms().per_second;
    double ahead = 0.0;
    for (const auto& waiting : entry.waiters) {
        quota_decision decision;
        decision.result = quota_decision::outcome::refused;
        decision.ticket = waiting.ticket;
        decision.retry_after = available_in + seconds(ahead / per_second);
        events.decisions.push_back(std::move(decision));
        ahead += waiting.tokens;
    }
    entry.waiters.clear();
}

} // namespace barleyfork
