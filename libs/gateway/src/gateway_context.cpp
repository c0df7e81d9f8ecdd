#include "gateway_context.hpp"

#include <vector>

namespace barleyfork {

namespace {

constexpr duration shortest_news{200};
constexpr duration longest_news{800};
/// So that the holder hears some 700 messages a second at most.
constexpr double news_ms_a_daemon = 1.5;
/// The share of its time that a busy server works.
constexpr double busy_utilisation = 0.8;

/// Of the instance's memory, what all answers may hold, and what one may.
constexpr double answers_share = 0.25;
constexpr double one_answer_share = 1.0 / 16.0;

std::size_t share_of_memory(const schema::gateway_settings_record& settings,
                            double share)
{
    constexpr double bytes_in_mb = 1024.0 * 1024.0;
    return static_cast<std::size_t>(settings.memory_mb * bytes_in_mb * share);
}

/// A request that ended three servers is refused for ten minutes at first.
constexpr quarantine_limits refusal_limits{.memory = duration{600000},
                                           .refusal_threshold = 3,
                                           .settling = duration{800},
                                           .doubt = duration{2000}};

/// Calls what the map holds; each call may remove entries.
template <class Key>
void call_each(const std::map<Key, std::function<void()>>& handlers)
{
    std::vector<Key> keys;
    keys.reserve(handlers.size());
    for (const auto& [key, handler] : handlers)
        keys.push_back(key);
    for (const auto& key : keys) {
        const auto found = handlers.find(key);
        if (found == handlers.end())
            continue;
        // The call may remove its own entry.
        const auto handler = found->second;
        handler();
    }
}

} // namespace

gateway_context::gateway_context(schema::gateway_settings_record given,
                                 platform_port port)
    : settings(std::move(given)), platform(std::move(port)),
      self(settings.instance), timers(serving.executor()),
      pool(serving.executor(), timers),
      answers(share_of_memory(settings, answers_share),
              share_of_memory(settings, one_answer_share)),
      crashes(serving.executor(), timers, pool), quarantine(refusal_limits)
{
    for (const auto& place : settings.places)
        regions_.emplace(place->failure_domain, place->region);
}

distance gateway_context::distance_to(const failure_domain_id& place) const
{
    if (place.value() == settings.failure_domain)
        return distance::same_domain;
    const auto found = regions_.find(place);
    const bool same_region =
        found != regions_.end() && found->second.value() == settings.region;
    return same_region ? distance::same_region : distance::other_region;
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
        budget.set_daemons(daemons_);
    return budget;
}

void gateway_context::set_daemons(std::size_t count)
{
    daemons_ = count;
    for (auto& [service, budget] : budgets_)
        budget.set_daemons(count);
}

duration gateway_context::news_interval() const noexcept
{
    const duration share(static_cast<std::int64_t>(
        news_ms_a_daemon * static_cast<double>(daemons())));
    return std::clamp(share, shortest_news, longest_news);
}

double gateway_context::unheard_work_ms() const noexcept
{
    const auto late = news_interval() - shortest_news;
    return busy_utilisation * static_cast<double>(late.count());
}

void gateway_context::wake_waiting()
{
    call_each(waiting);
}

void gateway_context::wake_waiting_soon()
{
    if (!waiting.empty())
        timers.add(steady_now(), [this] { wake_waiting(); });
}

void gateway_context::end_calls()
{
    call_each(calls);
}

} // namespace barleyfork
