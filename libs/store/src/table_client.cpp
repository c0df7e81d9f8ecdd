#include <barleyfork/store/table_client.hpp>

#include <algorithm>
#include <boost/json.hpp>

namespace barleyfork {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;

failure store_unavailable_failure(const http_reply& reply)
{
    auto detail = reply.error ? reply.error.detail
                              : "status " + std::to_string(reply.status);
    return make_failure(errc::store_unavailable, std::move(detail));
}

table_row parse_row(const json::value& value)
{
    table_row row;
    row.key = json::value_to<std::string>(value.at("key"));
    row.version = value.at("version").to_number<std::uint64_t>();
    row.value = json::serialize(value.at("value"));
    return row;
}

/// Parses the body of a reply and passes it to `decode`; returns a malformed
/// body as a `protocol_error`.
template <typename Decode>
failure decode_response(const http_reply& reply, Decode decode)
{
    try {
        decode(json::parse(reply.body));
        return {};
    }
    catch (const std::exception& error) {
        return make_failure(errc::protocol_error,
                            std::string("table service: ") + error.what());
    }
}

} // namespace

table_client::table_client(http_endpoint endpoint, duration timeout)
    : endpoint_(std::move(endpoint)), timeout_(timeout)
{
}

asio::awaitable<table_read> table_client::read(std::string key)
{
    ++reads_;
    http_call call;
    call.target = "/rows/" + percent_encode(key);
    call.timeout = timeout_;
    const auto reply = co_await client_.call(endpoint_, std::move(call));
    table_read result;
    result.row.key = key;
    if (reply.error ||
        (reply.status != status_ok && reply.status != status_not_found))
        result.error = store_unavailable_failure(reply);
    else if (reply.status == status_ok)
        result.error = decode_response(reply, [&result](const auto& value) {
            result.row = parse_row(value);
        });
    if (!result.error && result.row.key != key)
        result.error = make_failure(errc::protocol_error,
                                    "table service: row of another key");
    newest_ = std::max(newest_, result.row.version);
    co_return result;
}

asio::awaitable<table_scan> table_client::scan(std::string prefix,
                                               std::uint64_t since)
{
    ++reads_;
    http_call call;
    call.target = "/rows?prefix=" + percent_encode(prefix) +
                  "&since=" + std::to_string(since);
    call.timeout = timeout_;
    const auto reply = co_await client_.call(endpoint_, std::move(call));
    table_scan result;
    if (reply.error || reply.status != status_ok) {
        result.error = store_unavailable_failure(reply);
        co_return result;
    }
    result.error = decode_response(reply, [&result](const auto& value) {
        result.version =
            value.at("version").template to_number<std::uint64_t>();
        for (const auto& row : value.at("rows").as_array())
            result.rows.push_back(parse_row(row));
    });
    newest_ = std::max(newest_, result.version);
    co_return result;
}

asio::awaitable<table_write> table_client::write(std::string key,
                                                 std::uint64_t expected_version,
                                                 std::string value)
{
    ++writes_;
    http_call call;
    call.method = "PUT";
    call.target = "/rows/" + percent_encode(key) +
                  "?expected=" + std::to_string(expected_version);
    call.body = std::move(value);
    call.timeout = timeout_;
    const auto known = newest_;
    const auto reply = co_await client_.call(endpoint_, std::move(call));
    table_write result;
    if (reply.error) {
        result.error = store_unavailable_failure(reply);
        co_return result;
    }
    if (reply.status == status_conflict) {
        result.outcome = write_outcome::conflict;
        co_return result;
    }
    if (reply.status != status_ok) {
        result.error = store_unavailable_failure(reply);
        co_return result;
    }
    result.error = decode_response(reply, [&result](const auto& response) {
        result.version =
            response.at("version").template to_number<std::uint64_t>();
        result.outcome = write_outcome::done;
    });
    newest_ = std::max(newest_, result.version);
    if (result.outcome == write_outcome::done && result.version <= known) {
        result.outcome = write_outcome::unknown;
        result.error = make_failure(errc::protocol_error,
                                    "table service: answer to an earlier call");
    }
    co_return result;
}

asio::awaitable<table_write> table_client::write_and_verify(
    std::string key, std::uint64_t expected_version, std::string value)
{
    auto result = co_await write(key, expected_version, value);
    if (result.outcome == write_outcome::done)
        co_return result;
    const auto current = co_await read(key);
    if (current.error) {
        result.outcome = write_outcome::unknown;
        result.error = current.error;
        co_return result;
    }
    const bool is_own_write =
        current.row.version != expected_version &&
        json::parse(current.row.value) == json::parse(value);
    if (is_own_write) {
        result.outcome = write_outcome::done;
        result.version = current.row.version;
        result.error = {};
    }
    else if (current.row.version != expected_version) {
        result.outcome = write_outcome::conflict;
        result.error = {};
    }
    co_return result;
}

} // namespace barleyfork
