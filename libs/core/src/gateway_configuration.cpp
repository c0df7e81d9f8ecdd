#include <barleyfork/core/gateway_configuration.hpp>

#include <barleyfork/base/text.hpp>

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

namespace barleyfork {

namespace {

/// A caller of a stream closes the connection when no event has arrived for the
/// longest of: a fixed time, a multiple of the route's latency target, and
/// a multiple of its pause target.
constexpr duration min_caller_timeout{2000};
constexpr int latency_target_factor = 4;
constexpr int pause_target_factor = 8;

} // namespace

duration gateway_route::caller_timeout() const noexcept
{
    return std::max({min_caller_timeout,
                     latency_target_factor * latency_target,
                     pause_target_factor * pause_target});
}

const gateway_service*
gateway_configuration::find_service(const service_id& id) const
{
    const auto found =
        std::find_if(services.begin(), services.end(), [&id](const auto& s) {
            return s.id == id;
        });
    return found == services.end() ? nullptr : &*found;
}

const gateway_route* match_route(const gateway_configuration& configuration,
                                 std::string_view host,
                                 std::string_view path)
{
    const auto name = host.substr(0, host.find(':'));
    const gateway_route* best = nullptr;
    for (const auto& route : configuration.routes) {
        if (!path.starts_with(route.prefix) ||
            !equal_ignoring_case(name, route.host))
            continue;
        if (best == nullptr || route.prefix.size() > best->prefix.size())
            best = &route;
    }
    return best;
}

namespace {

std::set<std::uint32_t>
route_priorities(const gateway_configuration& configuration)
{
    std::set<std::uint32_t> priorities;
    for (const auto& route : configuration.routes)
        priorities.insert(route.priority);
    return priorities;
}

std::vector<request_precedence>
collect_precedences(const gateway_configuration& configuration)
{
    std::set<request_precedence> precedences;
    if (configuration.organisations.empty())
        return {};
    for (const auto route : route_priorities(configuration)) {
        precedences.insert({route, route});
        for (const auto& organisation : configuration.organisations)
            precedences.insert({organisation.priority.value_or(route), route});
    }
    return {precedences.begin(), precedences.end()};
}

std::vector<std::uint32_t>
collect_priorities(const gateway_configuration& configuration)
{
    const auto& precedences = configuration.precedences;
    if (precedences.empty()) {
        const auto priorities = route_priorities(configuration);
        return {priorities.begin(), priorities.end()};
    }
    std::vector<std::uint32_t> ranks(precedences.size());
    std::iota(ranks.begin(), ranks.end(), 0U);
    return ranks;
}

/// Sets the targets within which requests of each route may be queued.
void set_queue_targets(gateway_configuration& configuration)
{
    // The maximum latency target of each service and priority.
    std::map<service_id, std::map<std::uint32_t, duration>> max_targets;
    std::map<service_id, std::map<std::uint32_t, duration>> min_targets;
    for (const auto& route : configuration.routes) {
        for (const auto& share : route.services) {
            auto& target = max_targets[share.service][route.priority];
            target = std::max(target, route.latency_target);
            if (route.latency_target.count() <= 0)
                continue;
            auto& tightest =
                min_targets[share.service]
                    .try_emplace(route.priority, route.latency_target)
                    .first->second;
            tightest = std::min(tightest, route.latency_target);
        }
    }
    for (auto& route : configuration.routes) {
        route.queue_target = route.latency_target;
        route.room_target = route.latency_target;
        for (const auto& share : route.services) {
            for (const auto& [priority, target] : max_targets[share.service])
                if (priority >= route.priority)
                    route.queue_target = std::max(route.queue_target, target);
            for (const auto& [priority, target] : min_targets[share.service])
                if (priority <= route.priority)
                    route.room_target = std::min(route.room_target, target);
        }
    }
}

void set_share_weights(gateway_configuration& configuration)
{
    double largest = 1.0;
    for (const auto& organisation : configuration.organisations)
        largest = std::max(largest, organisation.quota.per_second);
    for (auto& organisation : configuration.organisations)
        organisation.share_weight = organisation.quota.is_limited()
                                        ? organisation.quota.per_second
                                        : largest;
}

} // namespace

void derive_from_entries(gateway_configuration& configuration)
{
    configuration.precedences = collect_precedences(configuration);
    configuration.priorities = collect_priorities(configuration);
    set_queue_targets(configuration);
    set_share_weights(configuration);
}

std::uint32_t request_priority(const gateway_configuration& configuration,
                               const gateway_route& route,
                               const gateway_organisation* organisation)
{
    const auto& precedences = configuration.precedences;
    if (precedences.empty())
        return route.priority;
    const auto of_organisation =
        organisation == nullptr
            ? route.priority
            : organisation->priority.value_or(route.priority);
    const auto found =
        std::lower_bound(precedences.begin(),
                         precedences.end(),
                         request_precedence{of_organisation, route.priority});
    return static_cast<std::uint32_t>(found - precedences.begin());
}

const service_id* choose_service(const gateway_route& route, std::uint64_t draw)
{
    std::uint64_t total = 0;
    for (const auto& share : route.services)
        total += share.weight;
    if (total == 0)
        return route.services.empty() ? nullptr
                                      : &route.services.front().service;
    auto left = draw % total;
    for (const auto& share : route.services) {
        if (left < share.weight)
            return &share.service;
        left -= share.weight;
    }
    return nullptr;
}

} // namespace barleyfork
