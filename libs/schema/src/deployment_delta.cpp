#include <barleyfork/schema/deployment_delta.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace barleyfork {

namespace {

template <typename Record>
using entries = std::vector<std::unique_ptr<Record>>;

std::string key_of(const schema::organisation_spec_record& entry)
{
    return entry.name;
}

std::string key_of(const schema::model_spec_record& entry)
{
    return entry.owner + "/" + entry.name;
}

std::string key_of(const schema::adapter_spec_record& entry)
{
    return entry.base_model + "/" + entry.name;
}

std::string key_of(const schema::route_spec_record& entry)
{
    return entry.owner + entry.path;
}

std::string key_of(const schema::server_spec_record& entry)
{
    return entry.name;
}

/// Serializes an entry, for comparisons and copies.
template <typename Record>
std::string pack(const Record& entry)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Record::TableType::Pack(builder, &entry));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

template <typename Record>
std::unique_ptr<Record> copy_entry(const Record& entry)
{
    using table = typename Record::TableType;
    const auto bytes = pack(entry);
    auto copy = std::make_unique<Record>();
    flatbuffers::GetRoot<table>(bytes.data())->UnPackTo(copy.get());
    return copy;
}

template <typename Record>
void sort_by_key(entries<Record>& records)
{
    std::stable_sort(records.begin(), records.end(), [](auto& a, auto& b) {
        return key_of(*a) < key_of(*b);
    });
}

template <typename Record>
std::map<std::string, const Record*>
index_by_key(const entries<Record>& records)
{
    std::map<std::string, const Record*> index;
    for (const auto& entry : records)
        index[key_of(*entry)] = entry.get();
    return index;
}

template <typename Record>
void collect_changes(const entries<Record>& base,
                     const entries<Record>& next,
                     entries<Record>& changed,
                     std::vector<std::string>& removed)
{
    const auto before = index_by_key(base);
    const auto after = index_by_key(next);
    for (const auto& [key, entry] : after) {
        const auto found = before.find(key);
        if (found == before.end() || pack(*found->second) != pack(*entry))
            changed.push_back(copy_entry(*entry));
    }
    for (const auto& [key, entry] : before)
        if (!after.contains(key))
            removed.push_back(key);
}

template <typename Record>
void merge(entries<Record>& base,
           entries<Record>& changed,
           const std::vector<std::string>& removed)
{
    std::map<std::string, std::unique_ptr<Record>> merged;
    for (auto& entry : base)
        merged[key_of(*entry)] = std::move(entry);
    for (auto& entry : changed)
        merged[key_of(*entry)] = std::move(entry);
    for (const auto& key : removed)
        merged.erase(key);
    base.clear();
    for (auto& [key, entry] : merged)
        base.push_back(std::move(entry));
}

} // namespace

void sort_entries(schema::deployment_record& deployment)
{
    sort_by_key(deployment.organisations);
    sort_by_key(deployment.models);
    sort_by_key(deployment.adapters);
    sort_by_key(deployment.routes);
    sort_by_key(deployment.backend_servers);
}

std::string encode_delta(const schema::deployment_record& base,
                         std::string_view base_digest,
                         const schema::deployment_record& next)
{
    schema::deployment_delta_record delta;
    delta.base_digest = std::string(base_digest);
    delta.changed = std::make_unique<schema::deployment_record>();
    auto& changed = *delta.changed;
    changed.name = next.name;
    if (next.policy)
        changed.policy = copy_entry(*next.policy);
    collect_changes(base.organisations,
                    next.organisations,
                    changed.organisations,
                    delta.gone_organisations);
    collect_changes(
        base.models, next.models, changed.models, delta.gone_models);
    collect_changes(
        base.adapters, next.adapters, changed.adapters, delta.gone_adapters);
    collect_changes(
        base.routes, next.routes, changed.routes, delta.gone_routes);
    collect_changes(base.backend_servers,
                    next.backend_servers,
                    changed.backend_servers,
                    delta.gone_servers);
    return pack(delta);
}

failure apply_delta(schema::deployment_record& base,
                    std::string_view base_digest,
                    std::string_view bytes)
{
    flatbuffers::Verifier verifier(
        reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (!verifier.VerifyBuffer<schema::deployment_delta>())
        return make_failure(errc::protocol_error,
                            "the bytes of the deployment delta are malformed");
    schema::deployment_delta_record delta;
    flatbuffers::GetRoot<schema::deployment_delta>(bytes.data())
        ->UnPackTo(&delta);
    if (delta.base_digest != base_digest)
        return make_failure(
            errc::conflict,
            "the deployment delta was encoded for another base");
    auto& changed = *delta.changed;
    base.name = changed.name;
    base.policy = std::move(changed.policy);
    merge(base.organisations, changed.organisations, delta.gone_organisations);
    merge(base.models, changed.models, delta.gone_models);
    merge(base.adapters, changed.adapters, delta.gone_adapters);
    merge(base.routes, changed.routes, delta.gone_routes);
    merge(base.backend_servers, changed.backend_servers, delta.gone_servers);
    return {};
}

std::string delta_object_name(std::string_view base_digest,
                              std::string_view digest)
{
    return "delta-" + std::string(base_digest) + "-" + std::string(digest);
}

} // namespace barleyfork
