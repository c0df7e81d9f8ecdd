#include "gateway_context.hpp"

namespace barleyfork {

gateway_context::gateway_context(schema::gateway_settings_record given,
                                 platform_port port)
    : settings(std::move(given)), platform(std::move(port)),
      self(settings.instance), timers(serving.executor()),
      pool(serving.executor(), timers)
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

void gateway_context::wake_waiting()
{
    if (waiting.empty())
        return;
    const auto woken = waiting;
    for (const auto& [place, wake] : woken)
        if (waiting.contains(place))
            wake();
}

} // namespace barleyfork
