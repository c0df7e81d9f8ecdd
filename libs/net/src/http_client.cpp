#include <barleyfork/net/http_client.hpp>

#include <barleyfork/base/text.hpp>
#include <barleyfork/net/answer_limits.hpp>
#include <barleyfork/net/received_body.hpp>
#include <barleyfork/net/socket_options.hpp>
#include <barleyfork/net/sockets.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace barleyfork {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t max_idle_connections = 4;
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

http::request<http::string_body> to_request(const http_endpoint& endpoint,
                                            http_call& call)
{
    http::request<http::string_body> request;
    request.method_string(call.method);
    request.target(endpoint.base_path + call.target);
    request.version(11);
    request.set(http::field::host, to_string(endpoint));
    for (const auto& [name, value] : call.headers)
        request.set(name, value);
    request.body() = std::move(call.body);
    request.prepare_payload();
    return request;
}

failure to_failure(const beast::error_code& error,
                   const http_endpoint& endpoint)
{
    const auto kind =
        error == beast::error::timeout ? errc::timeout : errc::connection_lost;
    return make_failure(kind,
                        to_string(endpoint) + " (" + error.message() + ")");
}

/// Reads a response while its parts keep arriving, up to a total time limit: a
/// peer that sends single bytes at intervals would otherwise block the call.
template <typename Parser>
asio::awaitable<beast::error_code> read_answer(beast::tcp_stream& stream,
                                               beast::flat_buffer& buffer,
                                               Parser& parser,
                                               const http_call& limits)
{
    const auto until = steady_now() + limits.timeout + limits.max_answer_time;
    while (!parser.is_done()) {
        auto [error, size] =
            co_await http::async_read_some(stream, buffer, parser, as_result);
        if (error)
            co_return error;
        const auto left = until - steady_now();
        if (left <= duration{0} && !parser.is_done())
            co_return beast::error_code(beast::error::timeout);
        stream.expires_after(std::min(limits.max_silence, left));
    }
    co_return beast::error_code();
}

} // namespace

std::string_view http_reply::header(std::string_view name) const
{
    const auto found =
        std::find_if(headers.begin(), headers.end(), [name](const auto& field) {
            return equal_ignoring_case(field.first, name);
        });
    return found == headers.end() ? std::string_view() : found->second;
}

http_client::http_client(duration max_idle_time) : max_idle_time_(max_idle_time)
{
}

void http_client::close_idle(time_point now)
{
    if (now < swept_at_ + max_idle_time_)
        return;
    swept_at_ = now;
    for (auto& [endpoint, kept] : idle_)
        std::erase_if(kept, [this, now](const auto& idle) {
            return now >= idle.since + max_idle_time_;
        });
    std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

asio::awaitable<http_reply> http_client::call(const http_endpoint& endpoint,
                                              http_call request)
{
    http_reply reply;
    const auto key = to_string(endpoint);
    const auto timeout = request.timeout;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    close_idle(steady_now());
    auto& kept = idle_[key];
    bool reused = false;
    while (request.may_share_connection && !kept.empty() && !reused) {
        auto socket = std::move(kept.back().stream);
        kept.pop_back();
        reused = is_reusable_connection(socket);
        if (reused)
            stream.socket() = std::move(socket);
    }
    if (!reused) {
        beast::error_code parse_error;
        const auto address = asio::ip::make_address(endpoint.host, parse_error);
        const tcp::endpoint target(address, endpoint.port);
        stream.expires_after(std::min(timeout, request.connect_timeout));
        auto [error] = co_await stream.async_connect(target, as_result);
        if (error || parse_error) {
            reply.error = to_failure(error, endpoint);
            reply.not_sent = true;
            co_return reply;
        }
        set_liveness_options(stream.socket(), max_server_stall);
    }
    // A call that is given up must not reach the peer later: after a plain
    // close the kernel would go on retransmitting it.
    set_reset_on_close(stream.socket(), true);
    stream.expires_after(timeout);
    auto message = to_request(endpoint, request);
    auto [write_error, written] =
        co_await http::async_write(stream, message, as_result);
    if (write_error) {
        reply.error = to_failure(write_error, endpoint);
        co_return reply;
    }
    std::optional<http::response_parser<received_body>> parser;
    beast::flat_buffer buffer(max_unparsed_bytes);
    int answers = 0;
    do {
        parser.emplace();
        parser->header_limit(max_head_bytes);
        parser->body_limit(request.max_answer_bytes);
        auto read_error =
            co_await read_answer(stream, buffer, *parser, request);
        if (!read_error && !is_valid_status(parser->get().result_int()))
            read_error = http::error::bad_status;
        if (!read_error && ++answers > max_interim_answers + 1)
            read_error = http::error::unexpected_body;
        if (read_error) {
            reply.error = to_failure(read_error, endpoint);
            co_return reply;
        }
    } while (is_interim(parser->get().result_int()));
    set_reset_on_close(stream.socket(), false);
    auto answer = parser->release();
    reply.status = answer.result_int();
    reply.etag = std::string(answer[http::field::etag]);
    for (const auto& field : answer)
        reply.headers.emplace_back(field.name_string(), field.value());
    reply.body = std::move(answer.body());
    auto& pool = idle_[key];
    // Bytes after the response belong to no call.
    const bool clean = answer.keep_alive() && buffer.size() == 0;
    if (clean && request.may_share_connection &&
        pool.size() < max_idle_connections) {
        stream.expires_never();
        pool.push_back({stream.release_socket(), steady_now()});
    }
    co_return reply;
}

} // namespace barleyfork
