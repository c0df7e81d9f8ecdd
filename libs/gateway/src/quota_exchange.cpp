#include "quota_exchange.hpp"

#include "quota_records.hpp"

#include <barleyfork/base/log.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace barleyfork {

namespace {

/// Told to callers of an organisation whose quota has just changed.
constexpr duration unknown_delay{300};

/// Returns the text as a label's value in the metrics.
std::string quote_label(const std::string& text)
{
    std::string quoted = "\"";
    for (const char c : text)
        quoted += c == '"' || c == '\\' || c < ' ' ? '_' : c;
    return quoted + '"';
}

bool is_same(const pool_candidate& a, const pool_candidate& b)
{
    return a.instance == b.instance && a.link_mbps == b.link_mbps;
}

} // namespace

quota_exchange::quota_exchange(instance_id self, timer_queue& timers)
    : self_(std::move(self)), timers_(timers), pool_(boot_now()),
      asker_(make_quota_times(quota_interval(1)), boot_now())
{
}

void quota_exchange::set_organisations(
    const std::vector<gateway_organisation>& listed,
    const quota_tolerance& tolerance)
{
    limited_.clear();
    for (const auto& organisation : listed)
        if (organisation.quota.is_limited())
            limited_.push_back(organisation);
    tolerance_ = tolerance;
    apply_terms();
}

/// Derives the terms of all accounts. Tokens of an organisation whose quota
/// changed remain, up to what its new terms allow.
void quota_exchange::apply_terms()
{
    const auto times = make_quota_times(
        quota_interval(std::max<std::size_t>(candidates_.size(), 1)));
    std::map<std::uint64_t, quota_terms> terms;
    std::map<std::uint64_t, std::uint64_t> replaced;
    for (const auto& organisation : limited_) {
        const auto id = quota_account_id(organisation.id, organisation.quota);
        terms[id] = make_quota_terms(organisation.quota, tolerance_, times);
        auto& usage = usages_[organisation.id];
        const auto earlier = std::exchange(usage.account, id);
        if (earlier != 0 && earlier != id)
            replaced[id] = earlier;
        if (earlier != id)
            log_event(log_level::info, "quota_set")
                .with("organisation", organisation.id.value())
                .with("per_second",
                      static_cast<std::int64_t>(organisation.quota.per_second))
                .with("minted_per_second",
                      static_cast<std::int64_t>(terms[id].per_second))
                .with("pool_cap",
                      static_cast<std::int64_t>(terms[id].pool_cap));
    }
    if (terms == terms_)
        return;
    terms_ = std::move(terms);
    const auto now = boot_now();
    pool_.set_accounts(terms_, replaced, now);
    asker_.set_accounts(terms_, replaced, now);
    admit_unlimited();
    schedule();
}

/// Admits the waiting requests of organisations that have no quota any more.
void quota_exchange::admit_unlimited()
{
    std::vector<waiter> admitted;
    std::erase_if(waiters_, [&](auto& item) {
        if (terms_.contains(usages_[item.second.organisation].account))
            return false;
        admitted.push_back(std::move(item.second));
        return true;
    });
    for (const auto& waiting : admitted)
        waiting.decided({});
}

void quota_exchange::set_daemons(std::vector<pool_candidate> candidates,
                                 bool is_known)
{
    const bool is_unchanged =
        is_known == is_known_ && std::equal(candidates.begin(),
                                            candidates.end(),
                                            candidates_.begin(),
                                            candidates_.end(),
                                            is_same);
    if (is_unchanged)
        return;
    candidates_ = std::move(candidates);
    is_known_ = is_known;
    apply_terms();
    const auto now = boot_now();
    pool_.set_daemons(candidates_.size(), now);
    asker_.set_daemons(candidates_, is_known_, now);
    schedule();
}

quota_decision quota_exchange::decide(const gateway_organisation& organisation,
                                      double tokens,
                                      duration patience,
                                      decision_handler decided)
{
    const auto account = quota_account_id(organisation.id, organisation.quota);
    if (!terms_.contains(account))
        return {quota_decision::outcome::refused, 0, {}, unknown_delay};
    auto decision = asker_.decide(account, tokens, patience, boot_now());
    if (decision.result == quota_decision::outcome::waits) {
        waiters_[decision.ticket] = {
            organisation.id, tokens, std::move(decided)};
        ++usages_[organisation.id].waited;
        schedule();
    }
    else {
        count(organisation.id, tokens, decision);
    }
    return decision;
}

void quota_exchange::count(const organisation_id& organisation,
                           double tokens,
                           const quota_decision& decision)
{
    auto& usage = usages_[organisation];
    if (decision.result == quota_decision::outcome::admitted)
        usage.used += tokens;
    else
        ++usage.refused;
}

void quota_exchange::cancel(const gateway_organisation& organisation,
                            std::uint64_t ticket)
{
    waiters_.erase(ticket);
    asker_.cancel(quota_account_id(organisation.id, organisation.quota),
                  ticket);
}

void quota_exchange::put_back(const gateway_organisation& organisation,
                              const quota_charge& charge)
{
    for (const auto& part : charge)
        usages_[organisation.id].used -= part.tokens;
    asker_.put_back(quota_account_id(organisation.id, organisation.quota),
                    charge,
                    boot_now());
}

void quota_exchange::receive(const quota_sender& from,
                             schema::message_kind kind,
                             const schema::token_transfer_record& record)
{
    // A daemon that has no configuration yet is no pool; the others use another
    // one while it does not answer.
    if (terms_.empty())
        return;
    const auto now = boot_now();
    if (kind == schema::message_kind::quota_grant) {
        process(asker_.on_grant(from.instance, to_quota_grant(record), now));
        return;
    }
    const auto grant = pool_.answer(from, to_quota_request(record), now);
    if (send_)
        send_(
            from.instance, schema::message_kind::quota_grant, to_record(grant));
}

void quota_exchange::process(const quota_events& events)
{
    log_pool();
    for (const auto& sent : events.sends)
        ask(sent);
    for (const auto& decision : events.decisions) {
        const auto found = waiters_.find(decision.ticket);
        if (found == waiters_.end())
            continue;
        const auto waiting = std::move(found->second);
        waiters_.erase(found);
        count(waiting.organisation, waiting.tokens, decision);
        waiting.decided(decision);
    }
    schedule();
}

/// Sends a request to the pool, which may be the one of this daemon.
void quota_exchange::ask(const quota_send& sent)
{
    if (sent.to != self_) {
        if (send_)
            send_(sent.to,
                  schema::message_kind::quota_request,
                  to_record(sent.request));
        return;
    }
    // The start of a process distinguishes it for other daemons only.
    constexpr std::uint64_t own_incarnation = 1;
    const auto grant =
        pool_.answer({self_, own_incarnation}, sent.request, boot_now());
    process(asker_.on_grant(self_, grant, boot_now()));
}

void quota_exchange::log_pool()
{
    if (logged_pool_ == asker_.pool())
        return;
    log_event(log_level::info, "quota_pool_changed")
        .with("pool", asker_.pool().value())
        .with("earlier", logged_pool_.value())
        .with("daemons", static_cast<std::int64_t>(candidates_.size()));
    logged_pool_ = asker_.pool();
}

/// Sets the timer for what is due next. An earlier timer is kept: it only
/// checks once more.
void quota_exchange::schedule()
{
    const auto due = asker_.next_due();
    if (due == time_point::max() || (timer_ != 0 && armed_for_ <= due))
        return;
    timers_.cancel(timer_);
    armed_for_ = due;
    const auto wait = std::max(due - boot_now(), duration{0});
    timer_ = timers_.add(steady_now() + wait, [this] {
        timer_ = 0;
        run();
    });
}

void quota_exchange::run()
{
    const auto interval = quota_interval(candidates_.size());
    process(asker_.run(interval, boot_now()));
}

std::string quota_exchange::metrics() const
{
    if (usages_.empty())
        return {};
    std::ostringstream out;
    const auto write = [&](const char* name, auto member) {
        out << "# TYPE " << name << " counter\n";
        for (const auto& [id, usage] : usages_)
            out << name << "{organisation=" << quote_label(id.value()) << "} "
                << static_cast<std::int64_t>(usage.*member) << "\n";
    };
    write("barleyfork_quota_tokens_total", &usage::used);
    write("barleyfork_quota_refused_total", &usage::refused);
    write("barleyfork_quota_waits_total", &usage::waited);
    out << "# TYPE barleyfork_quota_lost_tokens_total counter\n"
        << "barleyfork_quota_lost_tokens_total "
        << static_cast<std::int64_t>(pool_.lost()) << "\n";
    return out.str();
}

} // namespace barleyfork
