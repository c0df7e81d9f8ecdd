#include "operator_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

namespace barleyfork {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr duration call_timeout{30000};

asio::awaitable<void>
run_call(http_endpoint endpoint, http_call call, http_reply& reply)
{
    http_client client;
    reply = co_await client.call(endpoint, std::move(call));
}

errc kind_named(const std::string& name)
{
    for (int value = 0; value <= static_cast<int>(errc::undecided); ++value)
        if (error_name(static_cast<errc>(value)) == name)
            return static_cast<errc>(value);
    return errc::protocol_error;
}

/// The daemon's message has the remedy already; it stands as it is.
failure to_failure(const json::value& body)
{
    const auto& error = body.at("error");
    return {make_error_code(
                kind_named(json::value_to<std::string>(error.at("code")))),
            json::value_to<std::string>(error.at("message"))};
}

} // namespace

operator_client::operator_client(const std::string& address,
                                 std::string key,
                                 std::string operator_name)
    : address_(address), key_(std::move(key)),
      operator_name_(std::move(operator_name))
{
}

operator_answer operator_client::call(const std::string& method,
                                      const std::string& target,
                                      const std::string& body)
{
    operator_answer answer;
    http_endpoint endpoint;
    answer.error = parse_url("http://" + address_, endpoint);
    if (answer.error)
        return answer;
    http_call request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.timeout = call_timeout;
    request.headers = {{"Authorization", "Bearer " + key_},
                       {"X-Operator", operator_name_}};
    asio::io_context loop(1);
    http_reply reply;
    asio::co_spawn(loop, run_call(endpoint, request, reply), asio::detached);
    loop.run();
    if (reply.error) {
        answer.error = reply.error;
        return answer;
    }
    try {
        answer.body = json::parse(reply.body);
        if (reply.status != status_ok)
            answer.error = to_failure(answer.body);
    }
    catch (const std::exception& error) {
        answer.error = make_failure(errc::protocol_error, error.what());
    }
    return answer;
}

} // namespace barleyfork
