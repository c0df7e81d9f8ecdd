#include <barleyfork/core/configuration_check.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace barleyfork {

namespace {

using findings = std::vector<configuration_finding>;

std::string route_place(const gateway_route& route)
{
    return "route " + route.name;
}

std::string text_of(duration time)
{
    return std::to_string(time.count()) + " ms";
}

void check_route_match(const gateway_route& route, findings& found)
{
    const auto add = [&](std::string text) {
        found.push_back(
            {finding_kind::unreachable, route_place(route), std::move(text)});
    };
    if (route.host.empty())
        add("it has no host; name the host that callers ask");
    else if (route.host.find(':') != std::string::npos)
        add("its host names a port, which is not compared; leave it out");
    if (!route.prefix.starts_with('/'))
        add("its prefix does not begin with a slash, as every path does");
    else if (!route.prefix.ends_with('/'))
        add("its prefix does not end with a slash; add one");
    if (route.prefix.find_first_of("?#") != std::string::npos)
        add("its prefix has a query, but only paths are compared");
    if (route.prefix.find("/./") != std::string::npos ||
        route.prefix.find("/../") != std::string::npos)
        add("its prefix has dot segments, which callers may not send");
}

void check_route_services(const gateway_configuration& configuration,
                          const gateway_route& route,
                          findings& found)
{
    if (route.services.empty())
        found.push_back({finding_kind::error,
                         route_place(route),
                         "it names no service; requests get 404"});
    std::uint64_t total = 0;
    for (const auto& share : route.services)
        total += share.weight;
    for (const auto& share : route.services) {
        if (configuration.find_service(share.service) == nullptr)
            found.push_back(
                {finding_kind::error,
                 route_place(route),
                 "its service " + share.service.value() + " is not declared"});
        if (share.weight == 0 && route.services.size() > 1)
            found.push_back({finding_kind::unreachable,
                             route_place(route),
                             "its share for " + share.service.value() +
                                 " has the weight 0 and gets no request"});
    }
    if (total == 0 && route.services.size() > 1)
        found.push_back({finding_kind::contradiction,
                         route_place(route),
                         "all of its weights are 0; the first service gets "
                         "every request"});
}

void check_route_limits(const gateway_route& route, findings& found)
{
    const auto add = [&](std::string text) {
        found.push_back(
            {finding_kind::contradiction, route_place(route), std::move(text)});
    };
    const bool is_bounded = route.timeout > duration{0};
    if (is_bounded && route.latency_target > route.timeout)
        add("its latency target of " + text_of(route.latency_target) +
            " is beyond its timeout of " + text_of(route.timeout));
    if (is_bounded && route.pause_target > route.timeout)
        add("its pause target of " + text_of(route.pause_target) +
            " is beyond its timeout of " + text_of(route.timeout));
    if (route.resumable && route.kind != call_kind::stream)
        add("it is resumable but no stream; that has no effect");
    if (route.max_runs == 0)
        add("it may run on no server; one run is allowed all the same");
    if (route.max_runs > 1 && !route.is_retryable())
        add("it allows " + std::to_string(route.max_runs) +
            " runs, but its requests may not be repeated");
}

/// Of two routes with the same host and prefix the first gets all requests.
void check_shadowed_routes(const gateway_configuration& configuration,
                           findings& found)
{
    std::map<std::pair<std::string, std::string>, const gateway_route*> first;
    std::set<std::string> names;
    for (const auto& route : configuration.routes) {
        const auto [seen, is_new] =
            first.emplace(std::pair(route.host, route.prefix), &route);
        if (!is_new)
            found.push_back({finding_kind::unreachable,
                             route_place(route),
                             "route " + seen->second->name +
                                 " has the same host and prefix and comes "
                                 "first"});
        if (!names.insert(route.name).second)
            found.push_back({finding_kind::error,
                             route_place(route),
                             "another route has the same name"});
    }
}

void check_engine(const gateway_service& service, findings& found)
{
    const auto& engine = *service.engine;
    const auto place = "service " + service.id.value();
    if (engine.slots == 0)
        found.push_back(
            {finding_kind::error, place, "its engines have no slots"});
    std::set<std::string> names;
    for (const auto& model : engine.models) {
        const auto model_place = place + ", model " + model.id.value();
        if (!names.insert(model.id.value()).second)
            found.push_back(
                {finding_kind::error, model_place, "it is declared twice"});
        if (model.memory_mb > engine.memory_mb)
            found.push_back({finding_kind::error,
                             model_place,
                             "it needs " + std::to_string(model.memory_mb) +
                                 " MB, but a server has " +
                                 std::to_string(engine.memory_mb) + " MB"});
        else if (model.adapters > 0 &&
                 model.memory_mb + model.adapter_mb > engine.memory_mb)
            found.push_back({finding_kind::error,
                             model_place,
                             "no server has memory for it and an adapter"});
        if (model.adapters > 0 && engine.max_adapters == 0)
            found.push_back({finding_kind::unreachable,
                             model_place,
                             "it has adapters, but servers hold none"});
    }
    if (!engine.models.empty() && engine.loads_per_second <= 0.0)
        found.push_back({finding_kind::contradiction,
                         place,
                         "its weight store allows no loads, so no model ever "
                         "moves"});
}

void check_services(const gateway_configuration& configuration, findings& found)
{
    std::set<service_id> used;
    for (const auto& route : configuration.routes)
        for (const auto& share : route.services)
            used.insert(share.service);
    std::set<service_id> names;
    for (const auto& service : configuration.services) {
        const auto place = "service " + service.id.value();
        if (!names.insert(service.id).second)
            found.push_back(
                {finding_kind::error, place, "it is declared twice"});
        if (!used.contains(service.id))
            found.push_back(
                {finding_kind::unreachable, place, "no route leads to it"});
        if (service.engine)
            check_engine(service, found);
    }
}

void check_caller_limits(const caller_limits& limits, findings& found)
{
    if (limits.max_header_bytes == 0)
        found.push_back({finding_kind::error,
                         "limits",
                         "callers may send no headers; no request is valid"});
    if (limits.header_timeout <= duration{0})
        found.push_back({finding_kind::error,
                         "limits",
                         "callers have no time to send a request"});
    if (limits.idle_timeout < limits.header_timeout)
        found.push_back({finding_kind::contradiction,
                         "limits",
                         "idle connections close after " +
                             text_of(limits.idle_timeout) +
                             ", sooner than a begun request must arrive (" +
                             text_of(limits.header_timeout) + ")"});
}

void check_organisations(const gateway_configuration& configuration,
                         findings& found)
{
    std::set<organisation_id> names;
    std::map<std::string, organisation_id> keys;
    for (const auto& organisation : configuration.organisations) {
        const auto place = "organisation " + organisation.id.value();
        if (!names.insert(organisation.id).second)
            found.push_back(
                {finding_kind::error, place, "it is declared twice"});
        if (organisation.key_digests.empty())
            found.push_back({finding_kind::unreachable,
                             place,
                             "it has no key, so it has no callers"});
        for (const auto& digest : organisation.key_digests) {
            const auto [seen, is_new] = keys.emplace(digest, organisation.id);
            if (!is_new)
                found.push_back({finding_kind::error,
                                 place,
                                 "one of its keys is also one of " +
                                     seen->second.value() +
                                     "; it identifies nobody"});
        }
        const auto& quota = organisation.quota;
        if (quota.is_limited() && quota.burst + quota.per_second <
                                      static_cast<double>(quota.plain_tokens))
            found.push_back({finding_kind::contradiction,
                             place,
                             "a request without a token count uses more than "
                             "a second's tokens and the burst together"});
        if (!quota.is_limited() && quota.burst > 0.0)
            found.push_back({finding_kind::contradiction,
                             place,
                             "it has a burst but no rate, which sets no "
                             "limit"});
    }
    const bool any_keyed =
        std::any_of(configuration.routes.begin(),
                    configuration.routes.end(),
                    [](const auto& r) { return !r.is_public; });
    if (configuration.requires_keys && configuration.organisations.empty() &&
        any_keyed)
        found.push_back({finding_kind::contradiction,
                         "organisations",
                         "keys are required, but nobody has one; all requests "
                         "get 401"});
}

} // namespace

std::string_view finding_kind_name(finding_kind kind) noexcept
{
    switch (kind) {
    case finding_kind::error:
        return "error";
    case finding_kind::unreachable:
        return "unreachable";
    case finding_kind::contradiction:
        break;
    }
    return "contradiction";
}

std::vector<configuration_finding>
check_configuration(const gateway_configuration& configuration)
{
    findings found;
    for (const auto& route : configuration.routes) {
        check_route_match(route, found);
        check_route_services(configuration, route, found);
        check_route_limits(route, found);
    }
    check_shadowed_routes(configuration, found);
    check_services(configuration, found);
    check_caller_limits(configuration.limits, found);
    check_organisations(configuration, found);
    return found;
}

} // namespace barleyfork
