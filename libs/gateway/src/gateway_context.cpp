#include "gateway_context.hpp"

#include "restorable_store.hpp"

#include <barleyfork/base/log.hpp>

#include <vector>

namespace barleyfork {

namespace {

/// The fraction of the bound on a new configuration within which one that is
/// in force elsewhere may be unknown here.
constexpr double addition_fraction = 0.8;
/// The fraction of the bound on withdrawn keys within which what a restored
/// store lacks is written again. What was known before the restore decides
/// about keys until then, and must not get too old for it.
constexpr double rewrite_fraction = 0.5;
constexpr duration min_update_interval{200};
constexpr duration max_update_interval{800};
/// Limits the updates that the lease holder receives to about 700 per second.
constexpr double update_interval_ms_per_daemon = 1.5;
/// Age of other daemons' updates when they arrive with those of the next
/// ones, on average over daemons and time: one interval to the lease holder and
/// half of one to the others.
constexpr double update_age_intervals = 1.5;

/// The fraction of the instance's memory that the bodies of all requests may
/// use.
constexpr double requests_memory_fraction = 0.5;
/// The fractions of the instance's memory that all buffered responses together
/// and a single one may use.
constexpr double answers_memory_fraction = 0.25;
constexpr double one_answer_memory_fraction = 1.0 / 16.0;
/// What each buffered response has in any case: plain answers, and refusals
/// that say when to come back.
constexpr std::size_t guaranteed_answer_bytes = std::size_t{4} * 1024;

std::size_t fraction_of_memory(const schema::gateway_settings_record& settings,
                               double share)
{
    constexpr double bytes_in_mb = 1024.0 * 1024.0;
    return static_cast<std::size_t>(settings.memory_mb * bytes_in_mb * share);
}

/// A request that crashed three servers is rejected for ten minutes at first.
constexpr quarantine_limits refusal_limits{.memory = duration{600000},
                                           .refusal_threshold = 3,
                                           .settling_period = duration{800},
                                           .doubt = duration{2000}};

/// Calls the handlers of `keys` in this order. Each handler may remove entries.
template <class Key>
void call_each(const std::map<Key, std::function<void()>>& handlers,
               const std::vector<Key>& keys)
{
    for (const auto& key : keys) {
        const auto found = handlers.find(key);
        if (found == handlers.end())
            continue;
        // Copied because the handler may remove its own entry.
        const auto handler = found->second;
        handler();
    }
}

} // namespace

gateway_context::gateway_context(
    schema::gateway_settings_record initial_settings,
    platform_port initial_platform)
    : settings(std::move(initial_settings)),
      platform(std::move(initial_platform)), self(settings.instance),
      timers(serving.executor()), pool(serving.executor(), timers),
      request_memory(fraction_of_memory(settings, requests_memory_fraction),
                     fraction_of_memory(settings, requests_memory_fraction)),
      answer_memory(fraction_of_memory(settings, answers_memory_fraction),
                    fraction_of_memory(settings, one_answer_memory_fraction),
                    guaranteed_answer_bytes),
      crashes(serving.executor(), timers, pool, loads),
      quarantine(refusal_limits), limits(self), quotas(self, timers),
      completeness_(settings.first_start)
{
    for (const auto& place : settings.places)
        regions_.emplace(place->failure_domain, place->region);
    platform.store = std::make_unique<restorable_store>(
        std::move(platform.store),
        clock_of_store,
        [this](store_version version) {
            observe_store_era(version.era());
            if (version.is_known())
                completeness_.on_served(version.era(), boot_now());
            return era_.current();
        });
}

duration gateway_context::draw_retry_delay()
{
    std::uniform_int_distribution<std::int64_t> spread(min_retry_delay.count(),
                                                       max_retry_delay.count());
    return duration(spread(random));
}

void gateway_context::observe_store_era(std::uint64_t era)
{
    completeness_.observe(era, boot_now());
    if (!era_.observe(era))
        return;
    log_event(log_level::warn, "store_restored")
        .with("era", static_cast<std::int64_t>(era));
    directory.on_store_restored(steady_now());
    if (on_store_restored)
        on_store_restored();
}

duration gateway_context::store_rewrite_time() const
{
    const auto bound = static_cast<double>(bounds_of_keys().revocation.count());
    return duration(static_cast<std::int64_t>(rewrite_fraction * bound));
}

bool gateway_context::is_store_complete(time_point began) const
{
    return completeness_.is_complete(began, store_rewrite_time());
}

std::uint64_t gateway_context::complete_store_era()
{
    return completeness_.complete_era(boot_now(), store_rewrite_time());
}

distance gateway_context::distance_to(const failure_domain_id& domain) const
{
    if (domain.value() == settings.failure_domain)
        return distance::same_domain;
    const auto found = regions_.find(domain);
    const bool same_region =
        found != regions_.end() && found->second.value() == settings.region;
    return same_region ? distance::same_region : distance::other_region;
}

void gateway_context::observe_limit(const limit_observation& observation,
                                    std::string_view source)
{
    if (limits.empty() && !observation.per_second)
        return;
    const auto& process = observation.process;
    const auto before = limits.own_rate(process);
    limits.observe(observation,
                   std::uniform_real_distribution<double>()(random),
                   steady_now());
    const auto after = limits.own_rate(process);
    if (before == after)
        return;
    constexpr double thousand = 1000.0;
    log_event(log_level::info, "server_limit")
        .with("server", process.server.value())
        .with("source", source)
        .with("per_1000_s",
              after ? static_cast<std::int64_t>(
                          thousand * observation.per_second.value_or(0.0))
                    : -1)
        .with("own_per_1000_s",
              after ? static_cast<std::int64_t>(thousand * *after) : -1);
    wake_when_allowed(process);
}

void gateway_context::on_server_rejects(const server_process& process,
                                        time_point until)
{
    directory.turned_away(process.server, process.started_ms, until);
    timers.add(until, [this] { wake_waiting_calls(); });
}

void gateway_context::clear_suspects(const crash_suspects& request,
                                     time_point now)
{
    quarantine.on_answer(request.request, now);
    const auto known = unreported_answers.size();
    for (const auto part : request.parts)
        if (quarantine.on_answer(part, now))
            unreported_answers.insert(part);
    if (unreported_answers.size() > known && on_blamed_part_answered)
        on_blamed_part_answered();
}

double gateway_context::capacity(const backend_entry& server) const
{
    // Of a server that takes nothing, the planner still compares the load.
    constexpr double min_capacity = 0.01;
    const auto rate = limits.rate({server.id, server.held.started_ms});
    const auto work = request_work_s.find(server.service);
    if (!rate || work == request_work_s.end())
        return 1.0;
    return std::clamp(*rate * work->second, min_capacity, 1.0);
}

void gateway_context::count_against_limit(const server_process& process,
                                          time_point now)
{
    limits.on_sent(process, now);
    wake_when_allowed(process);
}

void gateway_context::wake_when_allowed(const server_process& process)
{
    const auto at = limits.next_allowed_at(process);
    if (!at)
        wake_waiting_calls_soon();
    else if (*at != time_point::max())
        timers.add(*at, [this] { wake_waiting_calls(); });
}

shared_retry_budget& gateway_context::budget(const service_id& service)
{
    const auto found = budgets_.find(service);
    if (found != budgets_.end())
        return found->second;
    const auto& bounds = *settings.bounds;
    shared_retry_limits limits;
    limits.ratio = bounds.retry_ratio;
    limits.window = seconds(bounds.retry_window_s);
    limits.slack = bounds.retry_slack;
    auto& budget = budgets_.emplace(service, limits).first->second;
    if (daemons_ > 0)
        budget.set_daemon_count(daemons_);
    if (!settings.first_start)
        budget.set_predecessors(started_at_);
    return budget;
}

void gateway_context::set_daemon_count(std::size_t count)
{
    daemons_ = count;
    for (auto& [service, budget] : budgets_)
        budget.set_daemon_count(count);
}

duration gateway_context::update_interval() const noexcept
{
    const duration share(static_cast<std::int64_t>(
        update_interval_ms_per_daemon * static_cast<double>(daemons())));
    return std::clamp(share, min_update_interval, max_update_interval);
}

double gateway_context::unreported_work_ms() const noexcept
{
    return update_age_intervals *
           static_cast<double>(update_interval().count());
}

void gateway_context::wake(const std::vector<waiting_ticket>& tickets)
{
    call_each(waiting_calls, tickets);
}

void gateway_context::wake_waiting_calls()
{
    for (const auto& group : room.groups())
        wake_waiting_calls(group);
}

void gateway_context::wake_waiting_calls(const server_group& group)
{
    wake(room.order(group, steady_now()));
}

void gateway_context::wake_waiting_calls_soon()
{
    if (!waiting_calls.empty())
        timers.add(steady_now(), [this] { wake_waiting_calls(); });
}

void gateway_context::end_calls()
{
    std::vector<std::uint64_t> calls;
    calls.reserve(active_calls.size());
    for (const auto& [number, end] : active_calls)
        calls.push_back(number);
    call_each(active_calls, calls);
}

void gateway_context::set_configuration(
    std::shared_ptr<const gateway_configuration> newer)
{
    keys = key_directory(*newer);
    configuration = std::move(newer);
    update_quotas();
}

void gateway_context::update_quotas()
{
    if (!configuration)
        return;
    const auto& set = *settings.bounds;
    quotas.set_organisations(
        configuration->organisations,
        {seconds(set.quota_window_s), set.quota_over, set.quota_slack});
}

std::optional<duration> gateway_context::confirmed_age() const
{
    if (!configuration_confirmed_at)
        return std::nullopt;
    return boot_now() - *configuration_confirmed_at;
}

key_bounds gateway_context::bounds_of_keys() const
{
    const auto& set = *settings.bounds;
    key_bounds bounds;
    if (set.revocation_fails_closed)
        bounds.revocation =
            duration(static_cast<std::int64_t>(set.revocation_ms));
    bounds.addition = duration(
        static_cast<std::int64_t>(set.configuration_ms * addition_fraction));
    return bounds;
}

bool gateway_context::refuses_keys() const
{
    return configuration && configuration->requires_keys &&
           is_too_old_for_keys(confirmed_age(), bounds_of_keys());
}

} // namespace barleyfork
