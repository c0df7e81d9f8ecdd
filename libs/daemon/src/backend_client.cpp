#include "backend_client.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/net/answer_limits.hpp>
#include <barleyfork/net/sockets.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>

namespace barleyfork {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t read_size = std::size_t{16} * 1024;
constexpr std::size_t max_idle_connections = 32;
constexpr unsigned status_unavailable = 503;
constexpr duration report_timeout{1000};
/// Carries the id of one exchange. A connection is reused only if the server
/// echoes the id.
constexpr const char* exchange_id_header = "X-Exchange-Id";

std::int32_t parse_load(std::string_view text)
{
    std::int32_t load = -1;
    std::from_chars(text.data(), text.data() + text.size(), load);
    return load;
}

} // namespace

struct backend_client::attempt
{
    attempt(std::shared_ptr<exchange> given,
            const asio::any_io_executor& executor)
        : work(std::move(given)), stream(executor)
    {
    }

    std::shared_ptr<exchange> work;
    /// The connection has already carried another exchange.
    bool reused = false;
    beast::tcp_stream stream;
    bool reusable = false;
};

backend_client::backend_client(daemon_context& context) : context_(context) {}

asio::awaitable<void> backend_client::run(std::shared_ptr<exchange> work)
{
    attempt current(work, co_await asio::this_coro::executor);
    work->on_cancel([&current] { current.stream.cancel(); });
    exchange_event last;
    last.part = exchange_part::end;
    try {
        last.end = co_await perform_attempt(current);
    }
    catch (const std::exception& error) {
        log_event(log_level::error, "attempt_failed")
            .with("error", error.what());
        last.end = attempt_outcome::lost_before_answer;
    }
    work->on_cancel({});
    const auto& endpoint = work->request().endpoint;
    if (current.reusable && !work->cancelled()) {
        auto& pool = idle_sockets_[to_string(endpoint)];
        current.stream.expires_never();
        if (pool.size() < max_idle_connections)
            pool.push_back(current.stream.release_socket());
    }
    else {
        current.stream.close();
    }
    const bool lost = last.end == attempt_outcome::lost_before_answer ||
                      last.end == attempt_outcome::lost_during_answer;
    if (lost && !work->cancelled() && work->request().is_engine) {
        const auto known = last_boots_.find(to_string(endpoint));
        last.crashed_boot = known == last_boots_.end() ? 0 : known->second;
        last.server_crashed = co_await has_crashed(endpoint, last.crashed_boot);
    }
    co_await work->push(std::move(last));
}

std::string backend_client::next_exchange_id()
{
    return std::to_string(started_ms_) + "-" +
           std::to_string(++exchange_count_);
}

/// Reuses an idle connection or opens a new one; returns false on failure.
asio::awaitable<bool> backend_client::connect(attempt& current)
{
    const auto& request = current.work->request();
    auto& pool = idle_sockets_[to_string(request.endpoint)];
    while (request.may_reuse_connection && !pool.empty()) {
        auto socket = std::move(pool.back());
        pool.pop_back();
        if (!is_reusable_connection(socket))
            continue;
        current.stream.socket() = std::move(socket);
        current.reused = true;
        co_return true;
    }
    beast::error_code error;
    const auto address = asio::ip::make_address(request.endpoint.host, error);
    if (error)
        co_return false;
    current.stream.expires_after(request.connect_timeout);
    auto [connect_error] = co_await current.stream.async_connect(
        tcp::endpoint(address, request.endpoint.port), as_result);
    if (connect_error)
        co_return false;
    current.stream.socket().set_option(tcp::no_delay(true), error);
    co_return true;
}

asio::awaitable<attempt_outcome>
backend_client::perform_attempt(attempt& current)
{
    auto& work = *current.work;
    const auto& request = work.request();
    if (work.cancelled() || !co_await connect(current))
        co_return attempt_outcome::not_sent;
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.endpoint.base_path + request.target);
    message.version(11);
    message.set(http::field::host, to_string(request.endpoint));
    for (const auto& [name, value] : request.headers)
        message.set(name, value);
    const auto exchange_id = next_exchange_id();
    message.set(exchange_id_header, exchange_id);
    message.body() = request.body;
    message.prepare_payload();
    current.stream.expires_after(request.first_byte_timeout);
    auto [write_error, written] =
        co_await http::async_write(current.stream, message, as_result);
    if (write_error)
        co_return attempt_outcome::lost_before_answer;

    beast::flat_buffer buffer(max_unparsed_bytes);
    std::optional<http::response_parser<http::buffer_body>> final_answer;
    int answers = 0;
    do {
        final_answer.emplace();
        final_answer->header_limit(max_head_bytes);
        final_answer->body_limit(boost::none);
        auto [head_error, head_size] = co_await http::async_read_header(
            current.stream, buffer, *final_answer, as_result);
        if (head_error || !is_valid_status(final_answer->get().result_int()) ||
            ++answers > max_interim_answers + 1)
            co_return attempt_outcome::lost_before_answer;
    } while (is_interim(final_answer->get().result_int()));
    auto& parser = *final_answer;
    // A server may send a delayed copy of an earlier response.
    const auto echoed = parser.get()[exchange_id_header];
    const bool echoes = echoed == exchange_id;
    if (!echoes && (current.reused || !echoed.empty())) {
        log_event(log_level::warn, "stray_answer_dropped")
            .with("request", exchange_id)
            .with("belongs_to", std::string(echoed))
            .with("server", to_string(request.endpoint));
        co_return attempt_outcome::lost_before_answer;
    }
    if (parser.get().result_int() == status_unavailable &&
        parser.get()["x-not-run"] == "true")
        co_return attempt_outcome::refused_by_server;
    exchange_event head;
    head.part = exchange_part::head;
    head.status = parser.get().result_int();
    head.content_type = std::string(parser.get()[http::field::content_type]);
    head.server_load = parse_load(parser.get()["x-engine-load"]);
    if (!co_await work.push(std::move(head)))
        co_return attempt_outcome::lost_during_answer;

    std::string bytes(read_size, '\0');
    while (!parser.is_done()) {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        current.stream.expires_after(request.progress_timeout);
        auto [read_error, read_bytes] = co_await http::async_read_some(
            current.stream, buffer, parser, as_result);
        if (read_error && read_error != http::error::need_buffer)
            co_return attempt_outcome::lost_during_answer;
        const auto filled = bytes.size() - parser.get().body().size;
        if (filled == 0)
            continue;
        exchange_event data;
        data.bytes.assign(bytes, 0, filled);
        if (!co_await work.push(std::move(data)))
            co_return attempt_outcome::lost_during_answer;
    }
    current.reusable =
        parser.get().keep_alive() && echoes && buffer.size() == 0;
    co_return attempt_outcome::answered;
}

/// Checks a suspected crash over a new connection before requests are blamed
/// for it: a refused connection or a new boot number proves a crash.
asio::awaitable<bool> backend_client::has_crashed(const http_endpoint& endpoint,
                                                  std::uint64_t boot)
{
    http_client probe;
    http_call call;
    call.target = "/report";
    call.timeout = report_timeout;
    const auto reply = co_await probe.call(endpoint, std::move(call));
    if (reply.not_sent)
        co_return true;
    engine_status status;
    if (reply.error || decode(reply.body, status))
        co_return false;
    co_return boot != 0 && status.report.boot != boot;
}

asio::awaitable<std::optional<engine_status>>
backend_client::report(http_endpoint endpoint)
{
    http_call call;
    call.target = "/report";
    call.timeout = report_timeout;
    const auto reply = co_await control_client_.call(endpoint, std::move(call));
    engine_status status;
    if (reply.error || reply.status != 200 || decode(reply.body, status))
        co_return std::nullopt;
    last_boots_[to_string(endpoint)] = status.report.boot;
    co_return status;
}

asio::awaitable<order_answer> backend_client::send(http_endpoint endpoint,
                                                   engine_order order)
{
    http_client connection;
    http_call call;
    call.method = "POST";
    call.target = "/orders";
    call.body = encode(order);
    call.timeout = duration(context_.settings.controller->order_timeout_ms);
    const auto reply = co_await connection.call(endpoint, std::move(call));
    order_answer answer;
    if (reply.not_sent)
        answer.outcome = order_outcome::refused;
    if (reply.error || decode(reply.body, answer))
        co_return answer;
    co_return answer;
}

} // namespace barleyfork
