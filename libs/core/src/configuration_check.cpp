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

/// Compares two lists of entries by name and describes what differs.
template <typename Entry, typename Name, typename Difference>
void compare(const std::vector<Entry>& before,
             const std::vector<Entry>& after,
             std::string_view what,
             Name name,
             Difference difference,
             std::vector<std::string>& out)
{
    std::map<std::string, const Entry*> old_entries;
    for (const auto& entry : before)
        old_entries.emplace(name(entry), &entry);
    std::set<std::string> present;
    for (const auto& entry : after) {
        const auto key = name(entry);
        present.insert(key);
        const auto found = old_entries.find(key);
        const auto label = std::string(what).append(" ").append(key);
        if (found == old_entries.end()) {
            out.push_back("+ " + label);
            continue;
        }
        const auto text = difference(*found->second, entry);
        if (!text.empty())
            out.push_back(
                std::string("~ ").append(label).append(":").append(text));
    }
    for (const auto& [key, entry] : old_entries)
        if (!present.contains(key))
            out.push_back("- " + std::string(what) + " " + key);
}

void add_change(std::string& text,
                std::string_view field,
                const std::string& before,
                const std::string& after)
{
    if (before != after)
        text += " " + std::string(field) + " " + before + " -> " + after + ";";
}

std::string shares_text(const gateway_route& route)
{
    std::string text;
    for (const auto& share : route.services)
        text += (text.empty() ? "" : ",") + share.service.value() + "*" +
                std::to_string(share.weight);
    return text;
}

std::string kind_text(call_kind kind)
{
    switch (kind) {
    case call_kind::idempotent:
        return "idempotent";
    case call_kind::stream:
        return "stream";
    case call_kind::at_most_once:
        break;
    }
    return "at_most_once";
}

std::string flag_text(bool flag)
{
    return flag ? "yes" : "no";
}

std::string route_difference(const gateway_route& a, const gateway_route& b)
{
    std::string text;
    add_change(text, "host", a.host, b.host);
    add_change(text, "prefix", a.prefix, b.prefix);
    add_change(text, "kind", kind_text(a.kind), kind_text(b.kind));
    add_change(text, "services", shares_text(a), shares_text(b));
    add_change(text, "timeout", text_of(a.timeout), text_of(b.timeout));
    add_change(text,
               "latency_target",
               text_of(a.latency_target),
               text_of(b.latency_target));
    add_change(
        text, "pause_target", text_of(a.pause_target), text_of(b.pause_target));
    add_change(text,
               "priority",
               std::to_string(a.priority),
               std::to_string(b.priority));
    add_change(text,
               "max_runs",
               std::to_string(a.max_runs),
               std::to_string(b.max_runs));
    add_change(
        text, "resumable", flag_text(a.resumable), flag_text(b.resumable));
    add_change(text, "public", flag_text(a.is_public), flag_text(b.is_public));
    return text;
}

std::string model_difference(const engine_model& a, const engine_model& b)
{
    std::string text;
    add_change(text,
               "memory_mb",
               std::to_string(a.memory_mb),
               std::to_string(b.memory_mb));
    add_change(text, "load_time", text_of(a.load_time), text_of(b.load_time));
    add_change(text,
               "adapters",
               std::to_string(a.adapters),
               std::to_string(b.adapters));
    add_change(text,
               "adapter_mb",
               std::to_string(a.adapter_mb),
               std::to_string(b.adapter_mb));
    return text;
}

std::string engine_difference(const engine_options& a, const engine_options& b)
{
    std::string text;
    add_change(text, "slots", std::to_string(a.slots), std::to_string(b.slots));
    add_change(text,
               "cache_tokens",
               std::to_string(a.cache_tokens),
               std::to_string(b.cache_tokens));
    add_change(text,
               "memory_mb",
               std::to_string(a.memory_mb),
               std::to_string(b.memory_mb));
    add_change(text,
               "max_adapters",
               std::to_string(a.max_adapters),
               std::to_string(b.max_adapters));
    add_change(text,
               "loads_per_second",
               std::to_string(a.loads_per_second),
               std::to_string(b.loads_per_second));
    std::vector<std::string> models;
    compare(
        a.models,
        b.models,
        "model",
        [](const auto& model) { return model.id.value(); },
        model_difference,
        models);
    for (const auto& line : models)
        text += " " + line + ";";
    return text;
}

std::string service_difference(const gateway_service& a,
                               const gateway_service& b)
{
    std::string text;
    add_change(text,
               "max_connections",
               std::to_string(a.max_connections),
               std::to_string(b.max_connections));
    add_change(text,
               "engine",
               flag_text(a.engine.has_value()),
               flag_text(b.engine.has_value()));
    if (a.engine && b.engine)
        text += engine_difference(*a.engine, *b.engine);
    return text;
}

std::size_t count_missing(const std::vector<std::string>& from,
                          const std::vector<std::string>& in)
{
    return static_cast<std::size_t>(
        std::count_if(from.begin(), from.end(), [&in](const auto& key) {
            return std::find(in.begin(), in.end(), key) == in.end();
        }));
}

std::string priority_text(const gateway_organisation& organisation)
{
    return organisation.priority ? std::to_string(*organisation.priority)
                                 : "of the route";
}

std::string organisation_difference(const gateway_organisation& a,
                                    const gateway_organisation& b)
{
    std::string text;
    const auto added = count_missing(b.key_digests, a.key_digests);
    const auto withdrawn = count_missing(a.key_digests, b.key_digests);
    if (added > 0)
        text += " " + std::to_string(added) + " keys added;";
    if (withdrawn > 0)
        text += " " + std::to_string(withdrawn) + " keys withdrawn;";
    add_change(text, "priority", priority_text(a), priority_text(b));
    add_change(text,
               "tokens_per_second",
               std::to_string(a.quota.per_second),
               std::to_string(b.quota.per_second));
    add_change(text,
               "burst",
               std::to_string(a.quota.burst),
               std::to_string(b.quota.burst));
    add_change(text,
               "plain_tokens",
               std::to_string(a.quota.plain_tokens),
               std::to_string(b.quota.plain_tokens));
    return text;
}

std::string limits_difference(const caller_limits& a, const caller_limits& b)
{
    std::string text;
    add_change(text,
               "max_header_bytes",
               std::to_string(a.max_header_bytes),
               std::to_string(b.max_header_bytes));
    add_change(text,
               "max_body_bytes",
               std::to_string(a.max_body_bytes),
               std::to_string(b.max_body_bytes));
    add_change(text,
               "header_timeout",
               text_of(a.header_timeout),
               text_of(b.header_timeout));
    add_change(
        text, "idle_timeout", text_of(a.idle_timeout), text_of(b.idle_timeout));
    return text;
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

std::vector<std::string> describe_changes(const gateway_configuration& in_force,
                                          const gateway_configuration& next)
{
    std::vector<std::string> out;
    compare(
        in_force.routes,
        next.routes,
        "route",
        [](const auto& route) { return route.name; },
        route_difference,
        out);
    compare(
        in_force.services,
        next.services,
        "service",
        [](const auto& service) { return service.id.value(); },
        service_difference,
        out);
    compare(
        in_force.organisations,
        next.organisations,
        "organisation",
        [](const auto& organisation) { return organisation.id.value(); },
        organisation_difference,
        out);
    const auto limits = limits_difference(in_force.limits, next.limits);
    if (!limits.empty())
        out.push_back("~ limits:" + limits);
    if (in_force.requires_keys != next.requires_keys)
        out.push_back("~ keys required: " + flag_text(in_force.requires_keys) +
                      " -> " + flag_text(next.requires_keys));
    return out;
}

} // namespace barleyfork
