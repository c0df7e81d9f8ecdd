#include "lease_row_codec.hpp"

#include <barleyfork/base/log.hpp>

#include <boost/json.hpp>

namespace barleyfork {

namespace json = boost::json;

namespace {

const json::value* find(const json::object& object, std::string_view name)
{
    return object.if_contains(name);
}

std::int64_t get_integer(const json::object& object, std::string_view name)
{
    const auto* value = find(object, name);
    return value != nullptr && value->is_int64() ? value->as_int64() : 0;
}

std::string get_text(const json::object& object, std::string_view name)
{
    const auto* value = find(object, name);
    return value != nullptr && value->is_string()
               ? std::string(value->as_string())
               : std::string();
}

json::object encode_orders(const order_ages& orders)
{
    json::object last_order;
    for (const auto& [server, age] : orders.last_order)
        last_order[server.value()] = age.count();
    json::array loads;
    for (const auto age : orders.store_loads)
        loads.emplace_back(age.count());
    return {{"last_order_ms", std::move(last_order)},
            {"store_loads_ms", std::move(loads)}};
}

/// Returns nothing if any part is unreadable; no order counts as known then.
std::optional<order_ages> decode_orders(const json::object& object)
{
    const auto* orders = find(object, "orders");
    if (orders == nullptr || !orders->is_object())
        return std::nullopt;
    const auto* last_order = find(orders->as_object(), "last_order_ms");
    const auto* loads = find(orders->as_object(), "store_loads_ms");
    if (last_order == nullptr || !last_order->is_object() || loads == nullptr ||
        !loads->is_array())
        return std::nullopt;
    order_ages ages;
    for (const auto& [server, age] : last_order->as_object()) {
        if (!age.is_int64())
            return std::nullopt;
        ages.last_order.emplace(std::string(server), age.as_int64());
    }
    for (const auto& age : loads->as_array()) {
        if (!age.is_int64())
            return std::nullopt;
        ages.store_loads.emplace_back(age.as_int64());
    }
    return ages;
}

} // namespace

std::string encode_lease(const stored_lease& stored)
{
    json::object value;
    value["holder"] = stored.row.holder.value();
    value["address"] = stored.holder_address;
    value["epoch"] = stored.row.epoch;
    value["write_id"] = stored.row.write_id;
    value["sent_ms"] = stored.sent_ms;
    value["era"] = stored.era;
    if (stored.orders)
        value["orders"] = encode_orders(*stored.orders);
    return json::serialize(value);
}

stored_lease decode_lease(std::string_view text)
{
    stored_lease stored;
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    if (error || !value.is_object()) {
        log_event(log_level::error, "lease_row_unreadable")
            .with("bytes", static_cast<std::int64_t>(text.size()));
        return stored;
    }
    const auto& object = value.as_object();
    stored.row.holder = instance_id(get_text(object, "holder"));
    stored.holder_address = get_text(object, "address");
    stored.row.epoch = static_cast<std::uint64_t>(get_integer(object, "epoch"));
    stored.row.write_id = get_text(object, "write_id");
    stored.sent_ms = get_integer(object, "sent_ms");
    stored.era = static_cast<std::uint64_t>(get_integer(object, "era"));
    stored.orders = decode_orders(object);
    return stored;
}

} // namespace barleyfork
