#include "operator_front.hpp"

#include "status_report.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/net/ask.hpp>
#include <barleyfork/net/url.hpp>
#include <barleyfork/store/row_codec.hpp>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>

namespace barleyfork {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

http_outgoing make_response(std::string body)
{
    http_outgoing answer;
    answer.body = std::move(body);
    return answer;
}

http_outgoing make_error_response(const failure& error)
{
    http_outgoing answer;
    answer.status = http_status_of(kind_of(error.code));
    answer.body = error_body(error, "");
    return answer;
}

json::array to_json_array(const std::vector<std::string>& lines)
{
    json::array array;
    for (const auto& line : lines)
        array.push_back(json::string(line));
    return array;
}

} // namespace

operator_front::operator_front(daemon_context& context,
                               table_worker& table,
                               control& decisions)
    : context_(context), table_(table), control_(decisions),
      coordinator_(context, table, decisions)
{
}

asio::awaitable<void> operator_front::handle(const http_incoming& incoming,
                                             http_responder& out)
{
    static constexpr std::array<route, 7> routes{{
        {"POST", "/v1/apply", &operator_front::apply},
        {"GET", "/v1/configuration", &operator_front::configuration},
        {"GET", "/v1/history", &operator_front::history},
        {"GET", "/v1/status", &operator_front::status},
        {"GET", "/v1/explain", &operator_front::explain},
        {"POST", "/v1/drain", &operator_front::drain},
        {"GET", "/v1/trace", &operator_front::trace},
    }};
    if (!equal_in_constant_time(incoming.bearer_digest(),
                                context_.settings.operator_key_digest))
    {
        log_event(log_level::warn, "operator_refused")
            .with("path", incoming.path);
        co_await out.send(
            make_error_response(make_failure(errc::forbidden, "")));
        co_return;
    }
    const auto found =
        std::find_if(routes.begin(), routes.end(), [&](const auto& entry) {
            return entry.method == incoming.method &&
                   entry.path == incoming.path;
        });
    if (found == routes.end()) {
        co_await out.send(make_error_response(make_failure(
            errc::invalid_input, "unknown operator request " + incoming.path)));
        co_return;
    }
    auto answer = co_await (this->*(found->run))(incoming);
    co_await out.send(std::move(answer));
}

asio::awaitable<http_outgoing> operator_front::apply(const http_incoming& in)
{
    apply_request request;
    request.toml = in.body;
    request.operator_name = std::string(in.header("x-operator"));
    request.dry_run = query_value(in.query, "dry_run") == "true";
    request.wait = query_value(in.query, "wait") == "true";
    const auto expected = query_value(in.query, "expect_revision");
    std::uint64_t number = 0;
    if (std::from_chars(
            expected.data(), expected.data() + expected.size(), number)
                .ec == std::errc() &&
        !expected.empty())
        request.expected_revision = number;
    if (request.operator_name.empty())
        co_return make_error_response(make_failure(
            errc::invalid_input,
            "header X-Operator is missing; set it to the operator's name"));
    const auto result = co_await coordinator_.apply(std::move(request));
    if (result.error) {
        log_event(log_level::warn, "apply_refused")
            .with("operator", in.header("x-operator"))
            .with("error", result.error.message());
        co_return make_error_response(result.error);
    }
    json::object body;
    body["revision"] = result.revision;
    body["differences"] = to_json_array(result.differences);
    body["in_force_everywhere"] = result.in_force_everywhere;
    body["unconfirmed"] = to_json_array(result.unconfirmed);
    co_return make_response(json::serialize(body));
}

asio::awaitable<http_outgoing>
operator_front::configuration(const http_incoming&)
{
    const auto work = [this]() -> asio::awaitable<std::string> {
        co_return describe_configuration(control_);
    };
    const auto text = co_await ask<std::string>(context_.control, work);
    co_return make_response(text.value_or("{}"));
}

asio::awaitable<http_outgoing> operator_front::history(const http_incoming&)
{
    const auto scan = co_await table_.scan(std::string(history_prefix), 0);
    if (scan.error)
        co_return make_error_response(scan.error);
    json::array rows;
    for (const auto& row : scan.rows)
        rows.push_back(json::parse(row.value));
    json::object body;
    body["history"] = std::move(rows);
    co_return make_response(json::serialize(body));
}

asio::awaitable<http_outgoing> operator_front::status(const http_incoming&)
{
    const auto work = [this]() -> asio::awaitable<std::string> {
        co_return describe_status(context_, control_, steady_now());
    };
    const auto text = co_await ask<std::string>(context_.control, work);
    co_return make_response(text.value_or("{}"));
}

asio::awaitable<http_outgoing> operator_front::explain(const http_incoming& in)
{
    const model_id model(query_value(in.query, "model"));
    const auto work = [this, model]() -> asio::awaitable<std::string> {
        co_return describe_model(control_, model, steady_now());
    };
    const auto text = co_await ask<std::string>(context_.control, work);
    if (!text || text->empty())
        co_return make_error_response(
            make_failure(errc::invalid_input,
                         "no model " + model.value() +
                             " is declared; write it as organisation/name"));
    co_return make_response(*text);
}

asio::awaitable<http_outgoing> operator_front::drain(const http_incoming& in)
{
    const auto instance = query_value(in.query, "instance");
    if (instance != context_.self.value())
        co_return make_error_response(
            make_failure(errc::invalid_input,
                         "this instance is " + context_.self.value() +
                             "; pass --address of the instance to be drained"));
    log_event(log_level::info, "drain_asked")
        .with("operator", in.header("x-operator"));
    context_.drain_asked = true;
    co_return make_response("{}");
}

asio::awaitable<http_outgoing> operator_front::trace(const http_incoming& in)
{
    co_return make_response(
        co_await context_.traces.find(query_value(in.query, "id")));
}

} // namespace barleyfork
