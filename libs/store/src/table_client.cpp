#include <barleyfork/store/table_client.hpp>

#include <boost/json.hpp>

namespace barleyfork {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_absent = 404;
constexpr unsigned status_conflict = 409;

failure unavailable(const http_reply& reply)
{
    auto detail = reply.error ? reply.error.detail
                              : "status " + std::to_string(reply.status);
    return make_failure(errc::store_unavailable, std::move(detail));
}

table_row to_row(const json::value& value)
{
    table_row row;
    row.key = json::value_to<std::string>(value.at("key"));
    row.version = value.at("version").to_number<std::uint64_t>();
    row.value = json::serialize(value.at("value"));
    return row;
}

/// Runs a decoder of an answer; a malformed answer becomes a failure.
template <typename Decode>
failure decode_answer(const http_reply& reply, Decode decode)
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
        (reply.status != status_ok && reply.status != status_absent))
        result.error = unavailable(reply);
    else if (reply.status == status_ok)
        result.error = decode_answer(reply, [&result](const auto& value) {
            result.row = to_row(value);
        });
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
        result.error = unavailable(reply);
        co_return result;
    }
    result.error = decode_answer(reply, [&result](const auto& value) {
        result.version =
            value.at("version").template to_number<std::uint64_t>();
        for (const auto& row : value.at("rows").as_array())
            result.rows.push_back(to_row(row));
    });
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
    const auto reply = co_await client_.call(endpoint_, std::move(call));
    table_write result;
    if (reply.error) {
        result.error = unavailable(reply);
        co_return result;
    }
    if (reply.status == status_conflict) {
        result.outcome = write_outcome::conflict;
        co_return result;
    }
    if (reply.status != status_ok) {
        result.error = unavailable(reply);
        co_return result;
    }
    result.error = decode_answer(reply, [&result](const auto& answer) {
        result.version =
            answer.at("version").template to_number<std::uint64_t>();
        result.outcome = write_outcome::done;
    });
    co_return result;
}

asio::awaitable<table_write> table_client::write_and_verify(
    std::string key, std::uint64_t expected_version, std::string value)
{
    auto result = co_await write(key, expected_version, value);
    if (result.outcome == write_outcome::done)
        co_return result;
    const auto standing = co_await read(key);
    if (standing.error) {
        result.outcome = write_outcome::unknown;
        result.error = standing.error;
        co_return result;
    }
    const bool own = standing.row.version != expected_version &&
                     json::parse(standing.row.value) == json::parse(value);
    if (own) {
        result.outcome = write_outcome::done;
        result.version = standing.row.version;
        result.error = {};
    }
    else if (standing.row.version != expected_version) {
        result.outcome = write_outcome::conflict;
        result.error = {};
    }
    co_return result;
}

} // namespace barleyfork
