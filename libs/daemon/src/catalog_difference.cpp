#include "catalog_difference.hpp"

#include <initializer_list>
#include <map>
#include <string_view>

namespace barleyfork {

namespace {

/// Maps the name of each declared entry to a text of all its fields.
using entry_descriptions = std::map<std::string, std::string>;

entry_descriptions describe_entries(const catalog& declaration)
{
    entry_descriptions descriptions;
    for (const auto& entry : declaration.organisations())
        descriptions["organisation " + entry.id.value()] =
            "requests_per_second=" + std::to_string(entry.requests_per_second) +
            " tokens_per_second=" + std::to_string(entry.tokens_per_second) +
            " weight=" + std::to_string(entry.weight);
    for (const auto& entry : declaration.models())
        descriptions["model " + entry.id.value()] =
            "version=" + std::to_string(entry.version) +
            " memory_mib=" + std::to_string(entry.memory_mib) +
            " min_replicas=" + std::to_string(entry.min_replicas) +
            " max_replicas=" + std::to_string(entry.max_replicas) +
            " priority=" + std::to_string(entry.priority) +
            " source=" + entry.source;
    for (const auto& entry : declaration.adapters())
        descriptions["adapter " + entry.id.value()] =
            "base_model=" + entry.base_model.value() +
            " memory_mib=" + std::to_string(entry.memory_mib);
    for (const auto& entry : declaration.routes())
        descriptions["route " + entry.owner.value() + entry.path] =
            "service=" + entry.service +
            " idempotent=" + (entry.idempotent ? "true" : "false");
    for (const auto& entry : declaration.servers())
        descriptions["backend_server " + entry.id.value()] =
            "url=" + entry.url +
            " model_memory_mib=" + std::to_string(entry.model_memory_mib) +
            " failure_domain=" + entry.failure_domain.value();
    return descriptions;
}

/// Joins words to one line, separated by spaces.
std::string join_words(std::initializer_list<std::string_view> words)
{
    std::string line;
    for (const auto word : words) {
        if (!line.empty())
            line += ' ';
        line += word;
    }
    return line;
}

} // namespace

std::vector<std::string> describe_differences(const catalog* current,
                                              const catalog& next)
{
    const auto before =
        current ? describe_entries(*current) : entry_descriptions();
    const auto after = describe_entries(next);
    std::vector<std::string> lines;
    for (const auto& [name, text] : after) {
        const auto found = before.find(name);
        if (found == before.end())
            lines.push_back(join_words({"+", name, text}));
        else if (found->second != text)
            lines.push_back(join_words({"~", name, found->second, "->", text}));
    }
    for (const auto& [name, text] : before)
        if (!after.contains(name))
            lines.push_back(join_words({"-", name}));
    return lines;
}

} // namespace barleyfork
