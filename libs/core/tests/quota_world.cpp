#include "quota_world.hpp"

#include <algorithm>

namespace barleyfork::testing {

namespace {

constexpr double ms_per_second = 1000.0;
const organisation_id organisation("o");
constexpr duration patience{250};
/// The fraction of admitted requests that are not run.
constexpr double put_back_rate = 0.05;
constexpr std::uint64_t unlisted = 0;

} // namespace

quota_world::quota_world(std::size_t count,
                         const token_quota& quota,
                         const quota_tolerance& tolerance,
                         const quota_trouble& trouble,
                         unsigned seed)
    : random_(seed), tolerance_(tolerance), trouble_(trouble), quotas_{quota}
{
    daemons_.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        daemons_[i].id = instance_id("daemon-" + std::to_string(i));
        daemons_[i].clock = duration{100000} + draw_time(100000);
        daemons_[i].listed = count;
    }
    for (std::size_t i = 0; i < count; ++i)
        start(i);
}

duration quota_world::draw_time(int max_ms)
{
    return duration(static_cast<int>(draw() * max_ms));
}

time_point quota_world::local(const daemon& at) const
{
    return time_point(at.clock + now_);
}

bool quota_world::is_up(const daemon& at) const
{
    return at.asker && now_ >= at.frozen_until;
}

void quota_world::start(std::size_t index)
{
    auto& at = daemons_[index];
    at.incarnation += 1 + static_cast<std::uint64_t>(now_.count());
    at.version = quotas_.size() - 1;
    at.waiting.clear();
    at.asker = std::make_unique<quota_asker>(
        make_quota_times(quota_interval(at.listed)), local(at));
    at.pool = std::make_unique<quota_pool>(local(at));
    configure(at, at.version);
    list_daemons(index);
}

void quota_world::configure(daemon& at, std::size_t earlier)
{
    const auto& quota = quotas_[at.version];
    const auto id = quota_account_id(organisation, quota);
    const std::map<std::uint64_t, quota_terms> accounts{
        {id,
         make_quota_terms(
             quota, tolerance_, make_quota_times(quota_interval(at.listed)))}};
    std::map<std::uint64_t, std::uint64_t> replaced;
    const auto earlier_id = quota_account_id(organisation, quotas_[earlier]);
    if (earlier_id != id)
        replaced[id] = earlier_id;
    at.asker->set_accounts(accounts, replaced, local(at));
    at.pool->set_accounts(accounts, replaced, local(at));
}

void quota_world::list_daemons(std::size_t index)
{
    auto& at = daemons_[index];
    std::vector<pool_candidate> candidates;
    for (std::size_t i = 0; i < at.listed; ++i) {
        const auto order = trouble_.pools_differ ? (i * 7 + index) % 5 : 0;
        candidates.push_back({daemons_[i].id, static_cast<double>(order)});
    }
    at.asker->set_daemons(candidates, at.is_known, local(at));
    at.pool->set_daemons(candidates.size(), local(at));
    configure(at, at.version);
}

void quota_world::join()
{
    const auto index = daemons_.size();
    daemons_.emplace_back();
    auto& joined = daemons_.back();
    joined.id = instance_id("daemon-" + std::to_string(index));
    joined.clock = draw_time(100000);
    joined.listed = index + 1;
    joined.is_known = false;
    start(index);
    for (std::size_t i = 0; i < index; ++i)
        plans_.emplace(now_ + draw_time(2000), planned{i, unlisted, index + 1});
}

void quota_world::change(const token_quota& quota, duration spread)
{
    quotas_.push_back(quota);
    for (std::size_t i = 0; i < daemons_.size(); ++i)
        plans_.emplace(now_ + draw_time(static_cast<int>(spread.count())),
                       planned{i, quotas_.size() - 1, 0});
    changed_at_ = now_ + spread;
}

void quota_world::send(std::size_t from,
                       std::size_t to,
                       std::function<void()> arrive)
{
    ++messages;
    const bool is_cut = now_ < cut_until_ && ((cut_ >> (from % 16)) & 1U) !=
                                                 ((cut_ >> (to % 16)) & 1U);
    if (from != to && (is_cut || draw() < trouble_.loss))
        return;
    auto delay =
        duration{1} + draw_time(static_cast<int>(trouble_.max_delay.count()));
    if (draw() < trouble_.late)
        delay += draw_time(2000);
    if (from == to)
        delay = duration{0};
    arrivals_.emplace(now_ + delay, std::pair(to, std::move(arrive)));
}

void quota_world::ask(std::size_t from, const quota_send& sent)
{
    std::size_t to = 0;
    while (daemons_[to].id != sent.to)
        ++to;
    const auto incarnation = daemons_[from].incarnation;
    send(from, to, [=, this] {
        auto& at = daemons_[to];
        const auto grant = at.pool->answer(
            {daemons_[from].id, incarnation}, sent.request, local(at));
        send(to, from, [=, this] {
            auto& asker = daemons_[from];
            if (asker.incarnation == incarnation)
                handle(from,
                       asker.asker->on_grant(sent.to, grant, local(asker)));
        });
    });
}

void quota_world::handle(std::size_t index, const quota_events& events)
{
    auto& at = daemons_[index];
    for (const auto& decision : events.decisions) {
        const auto found = at.waiting.find(decision.ticket);
        if (found == at.waiting.end())
            continue;
        longest_wait_ms =
            std::max(longest_wait_ms,
                     static_cast<double>((now_ - found->second.first).count()));
        if (decision.result == quota_decision::outcome::admitted)
            record(index, found->second.second, decision.charge);
        else
            ++refused;
        at.waiting.erase(found);
    }
    for (const auto& sent : events.sends)
        ask(index, sent);
}

void quota_world::record(std::size_t index,
                         double tokens,
                         const quota_charge& charge)
{
    ++admitted;
    uses_.push_back({now_, tokens, charge, index, daemons_[index].incarnation});
}

bool quota_world::call(std::size_t index, double tokens)
{
    auto& at = daemons_[index];
    if (!is_up(at))
        return false;
    const auto id = quota_account_id(organisation, quotas_[at.version]);
    const auto decision = at.asker->decide(id, tokens, patience, local(at));
    if (decision.result == quota_decision::outcome::admitted)
        record(index, tokens, decision.charge);
    else if (decision.result == quota_decision::outcome::refused)
        ++refused;
    else
        at.waiting[decision.ticket] = {now_, tokens};
    return true;
}

/// Some requests are refused for other reasons some time after they were
/// admitted.
void quota_world::put_some_back()
{
    if (uses_.empty() || trouble_.max_delay < duration{30} ||
        draw() > put_back_rate)
        return;
    const auto back = std::min<std::size_t>(uses_.size(), 30);
    auto& chosen =
        uses_[uses_.size() - 1 -
              static_cast<std::size_t>(draw() * static_cast<double>(back - 1))];
    auto& at = daemons_[chosen.daemon];
    if (!is_up(at) || at.incarnation != chosen.incarnation)
        return;
    const auto id = quota_account_id(organisation, quotas_[at.version]);
    at.asker->put_back(id, chosen.charge, local(at));
    chosen.tokens = 0.0;
    chosen.charge.clear();
}

void quota_world::cause_trouble()
{
    const double ticks_per_second =
        ms_per_second / static_cast<double>(tick.count());
    const auto one = [this] {
        return static_cast<std::size_t>(
            draw() * static_cast<double>(daemons_.size() - 1) + 0.5);
    };
    if (draw() < trouble_.kills / ticks_per_second) {
        auto& at = daemons_[one()];
        at.asker.reset();
        at.pool.reset();
        at.down_until = now_ + draw_time(3000);
    }
    if (draw() < trouble_.freezes / ticks_per_second)
        daemons_[one()].frozen_until = now_ + draw_time(4000);
    if (draw() < trouble_.partitions / ticks_per_second) {
        cut_ = static_cast<unsigned>(random_());
        cut_until_ = now_ + draw_time(3000);
    }
}

void quota_world::step()
{
    now_ += tick;
    cause_trouble();
    put_some_back();
    for (auto next = plans_.begin();
         next != plans_.end() && next->first <= now_;
         next = plans_.erase(next))
    {
        auto& at = daemons_[next->second.daemon];
        if (next->second.listed > 0) {
            at.listed = next->second.listed;
            if (at.asker)
                list_daemons(next->second.daemon);
        }
        else if (at.asker) {
            const auto earlier =
                std::exchange(at.version, next->second.version);
            configure(at, earlier);
        }
    }
    while (!arrivals_.empty() && arrivals_.begin()->first <= now_) {
        const auto [to, arrive] = arrivals_.begin()->second;
        arrivals_.erase(arrivals_.begin());
        const auto& at = daemons_[to];
        if (at.asker && now_ < at.frozen_until)
            arrivals_.emplace(at.frozen_until, std::pair(to, arrive));
        else if (at.asker)
            arrive();
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        auto& at = daemons_[i];
        if (!at.asker && now_ >= at.down_until)
            start(i);
        if (is_up(at) && at.asker->next_due() <= local(at))
            handle(i, at.asker->run(quota_interval(at.listed), local(at)));
    }
}

double quota_world::worst_use(const token_quota& quota,
                              duration from,
                              duration to) const
{
    const double bound = quota_bound(quota, tolerance_);
    double most = 0.0;
    double sum = 0.0;
    std::size_t first = 0;
    for (const auto& last : uses_) {
        if (last.at < from || last.at > to)
            continue;
        sum += last.tokens;
        while (uses_[first].at < from ||
               uses_[first].at < last.at - tolerance_.window) {
            if (uses_[first].at >= from)
                sum -= uses_[first].tokens;
            ++first;
        }
        most = std::max(most, sum);
    }
    return most / bound;
}

} // namespace barleyfork::testing
