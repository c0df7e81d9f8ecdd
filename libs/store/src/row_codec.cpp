#include <barleyfork/store/row_codec.hpp>

#include "json_pruning.hpp"

#include <barleyfork/base/digest.hpp>
#include <barleyfork/base/log.hpp>

#include <array>
#include <boost/json.hpp>
#include <optional>

namespace barleyfork {

namespace json = boost::json;

namespace {

/// No field of an instance nests deeper.
constexpr std::size_t max_list_depth = 8;
constexpr std::array<const char*, 3> order_kinds{"load", "unload", "fence"};
constexpr std::array<const char*, 4> claim_states{
    "running", "answered", "unknown", "not_run"};

template <typename Enum, std::size_t Size>
Enum parse_enum(const std::array<const char*, Size>& names,
                const json::value& value)
{
    for (std::size_t i = 0; i < Size; ++i)
        if (value.as_string() == names[i])
            return static_cast<Enum>(i);
    throw std::runtime_error("unknown enum value " + json::serialize(value));
}

template <std::size_t Size, typename Enum>
const char* enum_name(const std::array<const char*, Size>& names, Enum value)
{
    return names.at(static_cast<std::size_t>(value));
}

std::string get_string(const json::value& object, const char* key)
{
    return json::value_to<std::string>(object.at(key));
}

template <typename Number>
Number get_number(const json::value& object, const char* key)
{
    return object.at(key).to_number<Number>();
}

/// Parses `text` and passes it to `decode`; returns any parse error or mismatch
/// as a `protocol_error`.
template <typename Decode>
failure decode_text(std::string_view text,
                    const char* what,
                    Decode decode,
                    const json::parse_options& options = {})
{
    try {
        decode(json::parse({text.data(), text.size()}, {}, options));
        return {};
    }
    catch (const std::exception& error) {
        return make_failure(errc::protocol_error,
                            std::string(what) + ": " + error.what());
    }
}

/// Throws if a text in the entry is not UTF-8, which the list as a whole is not
/// checked for.
void check_encoding(const json::value& entry)
{
    json::parse(json::serialize(entry));
}

/// Returns nothing for an entry that cannot be used, so that it hides no other.
std::optional<listed_instance> parse_instance(const json::value& entry)
{
    try {
        check_encoding(entry);
        listed_instance instance;
        instance.id = instance_id(get_string(entry, "instance"));
        instance.address = get_string(entry, "address");
        instance.port = get_number<std::uint16_t>(entry, "port");
        instance.region = region_id(get_string(entry, "region"));
        instance.failure_domain =
            failure_domain_id(get_string(entry, "failure_domain"));
        instance.leaving = get_string(entry, "state") != "live";
        instance.is_backend_server =
            get_string(entry, "role") == "backend_server";
        return instance;
    }
    catch (const std::exception& error) {
        log_event(log_level::warn, "instance_entry_ignored")
            .with("error", error.what());
        return std::nullopt;
    }
}

json::object to_json(const resident_model& entry)
{
    return {{"model", entry.model.value()},
            {"version", entry.version},
            {"memory_mib", entry.memory_mib},
            {"since_sequence", entry.since_sequence}};
}

resident_model parse_resident(const json::value& value)
{
    resident_model entry;
    entry.model = model_id(get_string(value, "model"));
    entry.version = get_number<std::uint32_t>(value, "version");
    entry.memory_mib = get_number<std::uint32_t>(value, "memory_mib");
    if (value.as_object().contains("since_sequence"))
        entry.since_sequence =
            get_number<std::uint64_t>(value, "since_sequence");
    return entry;
}

json::object to_json(const engine_order& order)
{
    return {{"order_id", order.id.value()},
            {"operation", enum_name(order_kinds, order.kind)},
            {"model", order.model.value()},
            {"version", order.version},
            {"memory_mib", order.memory_mib},
            {"fence", order.epoch},
            {"sender", order.sender.value()},
            {"boot", order.boot},
            {"sender_gone", order.sender_gone},
            {"reports_since_gone", order.reports_since_gone},
            {"gone_boot", order.gone_boot}};
}

engine_order parse_order(const json::value& value)
{
    engine_order order;
    order.id = order_id(get_string(value, "order_id"));
    order.kind = parse_enum<order_kind>(order_kinds, value.at("operation"));
    order.model = model_id(get_string(value, "model"));
    order.version = get_number<std::uint32_t>(value, "version");
    order.memory_mib = get_number<std::uint32_t>(value, "memory_mib");
    order.epoch = get_number<std::uint64_t>(value, "fence");
    order.sender = instance_id(get_string(value, "sender"));
    order.boot = get_number<std::uint64_t>(value, "boot");
    order.sender_gone = value.at("sender_gone").as_bool();
    order.reports_since_gone =
        get_number<std::uint32_t>(value, "reports_since_gone");
    order.gone_boot = get_number<std::uint64_t>(value, "gone_boot");
    return order;
}

} // namespace

std::string encode(const configuration_head& head)
{
    return json::serialize(
        json::object{{"revision", head.revision},
                     {"digest", head.digest},
                     {"decided", head.decided},
                     {"staged_revision", head.staged_revision},
                     {"staged_digest", head.staged_digest},
                     {"coordinator", head.coordinator},
                     {"applied_by", head.applied_by},
                     {"write_id", head.write_id}});
}

failure decode(std::string_view text, configuration_head& out)
{
    return decode_text(text, "configuration row", [&out](const auto& value) {
        out.revision = get_number<std::uint64_t>(value, "revision");
        out.digest = get_string(value, "digest");
        out.decided = get_number<std::uint64_t>(value, "decided");
        out.staged_revision =
            get_number<std::uint64_t>(value, "staged_revision");
        out.staged_digest = get_string(value, "staged_digest");
        out.coordinator = get_string(value, "coordinator");
        out.applied_by = get_string(value, "applied_by");
        out.write_id = get_string(value, "write_id");
    });
}

std::string encode(const lease_row& row)
{
    return json::serialize(json::object{{"holder", row.holder.value()},
                                        {"epoch", row.epoch},
                                        {"write_id", row.write_id}});
}

failure decode(std::string_view text, lease_row& out)
{
    return decode_text(text, "lease row", [&out](const auto& value) {
        out.holder = instance_id(get_string(value, "holder"));
        out.epoch = get_number<std::uint64_t>(value, "epoch");
        out.write_id = get_string(value, "write_id");
    });
}

std::string encode(const ledger_row& row)
{
    json::array residents;
    for (const auto& entry : row.residents)
        residents.push_back(to_json(entry));
    json::array orders;
    for (const auto& order : row.orders)
        orders.push_back(to_json(order));
    return json::serialize(
        json::object{{"server", row.server.value()},
                     {"capacity_mib", row.capacity_mib},
                     {"checks_fencing", row.checks_fencing},
                     {"epoch", row.epoch},
                     {"write_id", row.write_id},
                     {"boot", row.boot},
                     {"leaving", row.leaving},
                     {"report_sequence", row.report_sequence},
                     {"fenced_epoch", row.fenced_epoch},
                     {"fenced_sequence", row.fenced_sequence},
                     {"residents", std::move(residents)},
                     {"orders", std::move(orders)}});
}

failure decode(std::string_view text, ledger_row& out)
{
    return decode_text(text, "ledger row", [&out](const auto& value) {
        out.server = server_id(get_string(value, "server"));
        out.capacity_mib = get_number<std::uint32_t>(value, "capacity_mib");
        out.checks_fencing = value.at("checks_fencing").as_bool();
        out.epoch = get_number<std::uint64_t>(value, "epoch");
        out.write_id = get_string(value, "write_id");
        out.boot = get_number<std::uint64_t>(value, "boot");
        out.leaving = value.at("leaving").as_bool();
        out.report_sequence =
            get_number<std::uint64_t>(value, "report_sequence");
        out.fenced_epoch = get_number<std::uint64_t>(value, "fenced_epoch");
        out.fenced_sequence =
            get_number<std::uint64_t>(value, "fenced_sequence");
        for (const auto& entry : value.at("residents").as_array())
            out.residents.push_back(parse_resident(entry));
        for (const auto& order : value.at("orders").as_array())
            out.orders.push_back(parse_order(order));
    });
}

std::string encode(const claim_record& record)
{
    return json::serialize(
        json::object{{"state", enum_name(claim_states, record.state)},
                     {"request_digest", record.request_digest},
                     {"holder", record.holder.value()},
                     {"claim_id", record.claim_id},
                     {"status", record.status},
                     {"content_type", record.content_type},
                     {"body", encode_base64(record.body)}});
}

failure decode(std::string_view text, claim_record& out)
{
    return decode_text(text, "claim row", [&out](const auto& value) {
        out.state = parse_enum<claim_state>(claim_states, value.at("state"));
        out.request_digest = get_string(value, "request_digest");
        out.holder = instance_id(get_string(value, "holder"));
        out.claim_id = get_string(value, "claim_id");
        out.status = get_number<std::uint32_t>(value, "status");
        out.content_type = get_string(value, "content_type");
        out.body = decode_base64(get_string(value, "body"));
    });
}

std::string encode(const engine_order& order)
{
    return json::serialize(to_json(order));
}

failure decode(std::string_view text, order_answer& out)
{
    return decode_text(text, "order answer", [&out](const auto& value) {
        out.outcome = value.at("result").as_string() == "done"
                          ? order_outcome::done
                          : order_outcome::refused;
        out.boot = get_number<std::uint64_t>(value, "boot");
        out.sequence = get_number<std::uint64_t>(value, "sequence");
    });
}

failure decode(std::string_view text, engine_status& out)
{
    return decode_text(text, "engine report", [&out](const auto& value) {
        out.report.boot = get_number<std::uint64_t>(value, "boot");
        out.report.sequence = get_number<std::uint64_t>(value, "sequence");
        out.outstanding = get_number<std::uint32_t>(value, "outstanding");
        out.report.leaving = value.at("leaving").as_bool();
        for (const auto& entry : value.at("residents").as_array())
            out.report.residents.push_back(parse_resident(entry));
    });
}

failure decode(std::string_view text, std::vector<listed_instance>& out)
{
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    return decode_text(
        prune_nesting(text, max_list_depth),
        "instance list",
        [&out](const auto& value) {
            for (const auto& entry : value.at("instances").as_array())
                if (auto instance = parse_instance(entry))
                    out.push_back(std::move(*instance));
        },
        options);
}

} // namespace barleyfork
