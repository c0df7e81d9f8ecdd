#include <barleyfork/core/configuration_changes.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <type_traits>

namespace barleyfork {

namespace {

std::string text_of(duration time)
{
    return std::to_string(time.count()) + " ms";
}

std::string text_of(bool flag)
{
    return flag ? "yes" : "no";
}

const std::string& text_of(const std::string& text)
{
    return text;
}

template <typename Number>
requires std::is_arithmetic_v<Number> std::string text_of(Number number)
{
    return std::to_string(number);
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

template <typename Value>
void add_change(std::string& text,
                std::string_view field,
                const Value& before,
                const Value& after)
{
    if (before == after)
        return;
    text.append(" ").append(field).append(" ").append(text_of(before));
    text.append(" -> ").append(text_of(after)).append(";");
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

std::string route_difference(const gateway_route& a, const gateway_route& b)
{
    std::string text;
    add_change(text, "host", a.host, b.host);
    add_change(text, "prefix", a.prefix, b.prefix);
    add_change(text, "kind", kind_text(a.kind), kind_text(b.kind));
    add_change(text, "services", shares_text(a), shares_text(b));
    add_change(text, "timeout", a.timeout, b.timeout);
    add_change(text, "latency_target", a.latency_target, b.latency_target);
    add_change(text, "pause_target", a.pause_target, b.pause_target);
    add_change(text, "priority", a.priority, b.priority);
    add_change(text, "max_runs", a.max_runs, b.max_runs);
    add_change(text, "resumable", a.resumable, b.resumable);
    add_change(text, "public", a.is_public, b.is_public);
    return text;
}

std::string model_difference(const engine_model& a, const engine_model& b)
{
    std::string text;
    add_change(text, "memory_mb", a.memory_mb, b.memory_mb);
    add_change(text, "load_time", a.load_time, b.load_time);
    add_change(text, "adapters", a.adapters, b.adapters);
    add_change(text, "adapter_mb", a.adapter_mb, b.adapter_mb);
    return text;
}

std::string engine_difference(const engine_options& a, const engine_options& b)
{
    std::string text;
    add_change(text, "slots", a.slots, b.slots);
    add_change(text, "cache_tokens", a.cache_tokens, b.cache_tokens);
    add_change(text, "memory_mb", a.memory_mb, b.memory_mb);
    add_change(text, "max_adapters", a.max_adapters, b.max_adapters);
    add_change(
        text, "loads_per_second", a.loads_per_second, b.loads_per_second);
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
    add_change(text, "max_connections", a.max_connections, b.max_connections);
    add_change(text, "engine", a.engine.has_value(), b.engine.has_value());
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
        text.append(" ").append(std::to_string(added)).append(" keys added;");
    if (withdrawn > 0)
        text.append(" ")
            .append(std::to_string(withdrawn))
            .append(" keys withdrawn;");
    add_change(text, "priority", priority_text(a), priority_text(b));
    add_change(
        text, "tokens_per_second", a.quota.per_second, b.quota.per_second);
    add_change(text, "burst", a.quota.burst, b.quota.burst);
    add_change(
        text, "plain_tokens", a.quota.plain_tokens, b.quota.plain_tokens);
    return text;
}

std::string limits_difference(const caller_limits& a, const caller_limits& b)
{
    std::string text;
    add_change(
        text, "max_header_bytes", a.max_header_bytes, b.max_header_bytes);
    add_change(text, "max_body_bytes", a.max_body_bytes, b.max_body_bytes);
    add_change(text, "header_timeout", a.header_timeout, b.header_timeout);
    add_change(text, "idle_timeout", a.idle_timeout, b.idle_timeout);
    return text;
}

} // namespace

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
        out.push_back("~ keys required: " + text_of(in_force.requires_keys) +
                      " -> " + text_of(next.requires_keys));
    return out;
}

} // namespace barleyfork
