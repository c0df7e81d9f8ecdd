#include <barleyfork/net/http_server.hpp>

#include <barleyfork/base/digest.hpp>
#include <barleyfork/base/log.hpp>
#include <barleyfork/net/http_checks.hpp>
#include <barleyfork/net/received_body.hpp>
#include <barleyfork/net/sockets.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <set>

namespace barleyfork {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

http_incoming to_incoming(http::request<received_body>&& request)
{
    http_incoming incoming;
    incoming.method = std::string(request.method_string());
    const std::string target(request.target());
    const auto mark = target.find('?');
    incoming.path = target.substr(0, mark);
    if (mark != std::string::npos)
        incoming.query = target.substr(mark + 1);
    for (const auto& field : request) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), [](char c) {
            return static_cast<char>(
                std::tolower(static_cast<unsigned char>(c)));
        });
        incoming.headers[name] = std::string(field.value());
    }
    incoming.body = std::move(request.body());
    return incoming;
}

template <typename Body>
void set_head(http::response<Body>& response, const http_outgoing& answer)
{
    response.result(answer.status);
    response.version(11);
    response.set(http::field::content_type, answer.content_type);
    for (const auto& [name, value] : answer.headers)
        response.set(name, value);
}

class connection_responder : public http_responder
{
public:
    connection_responder(beast::tcp_stream& stream,
                         duration write_timeout,
                         bool keep_alive)
        : stream_(stream), write_timeout_(write_timeout),
          keep_alive_(keep_alive)
    {
    }

    asio::awaitable<bool> send(http_outgoing answer) override
    {
        http::response<http::string_body> response;
        set_head(response, answer);
        response.keep_alive(keep_alive_);
        response.body() = std::move(answer.body);
        response.prepare_payload();
        stream_.expires_after(write_timeout_);
        auto [error, size] =
            co_await http::async_write(stream_, response, as_result);
        answered_ = !error;
        co_return answered_;
    }

    asio::awaitable<bool> begin(http_outgoing head) override
    {
        http::response<http::empty_body> response;
        set_head(response, head);
        response.keep_alive(keep_alive_);
        response.chunked(true);
        http::response_serializer<http::empty_body> serializer(response);
        stream_.expires_after(write_timeout_);
        auto [error, size] =
            co_await http::async_write_header(stream_, serializer, as_result);
        co_return !error;
    }

    /// Sets no timer, since one per part of a stream costs more than the part;
    /// the server's periodic sweep aborts writes that hang.
    asio::awaitable<bool> write(std::string_view bytes) override
    {
        writing_since_ = steady_now();
        auto [error, size] = co_await asio::async_write(
            stream_.socket(),
            http::make_chunk(asio::buffer(bytes.data(), bytes.size())),
            as_result);
        writing_since_ = time_point{};
        co_return !error;
    }

    /// Closes the connection if a write exceeds the write timeout.
    void check_write(time_point now)
    {
        if (writing_since_ != time_point{} &&
            now >= writing_since_ + write_timeout_)
            abort();
    }

    asio::awaitable<bool> finish() override
    {
        stream_.expires_after(write_timeout_);
        auto [error, size] = co_await asio::async_write(
            stream_, http::make_chunk_last(), as_result);
        answered_ = !error;
        co_return answered_;
    }

    void abort() override
    {
        beast::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
        stream_.socket().close(ignored);
    }

    bool has_client_closed() override
    {
        char byte = 0;
        beast::error_code error;
        stream_.socket().non_blocking(true, error);
        stream_.socket().receive(
            asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == asio::error::eof ||
               error == asio::error::connection_reset ||
               error == asio::error::bad_descriptor;
    }

    bool answered() const noexcept
    {
        return answered_;
    }

private:
    beast::tcp_stream& stream_;
    duration write_timeout_;
    bool keep_alive_;
    bool answered_ = false;
    /// Start of the write in progress; zero if there is none.
    time_point writing_since_{};
};

} // namespace

struct http_server::state : std::enable_shared_from_this<state>
{
    state(io_worker& owner_worker, http_limits given, http_handler handle)
        : owner(owner_worker), limits(given), handler(std::move(handle)),
          acceptor(owner_worker.executor())
    {
    }

    asio::awaitable<void> accept_loop()
    {
        const auto self = shared_from_this();
        while (acceptor.is_open()) {
            auto [error, socket] = co_await acceptor.async_accept(as_result);
            if (error == asio::error::operation_aborted)
                co_return;
            if (error) {
                co_await sleep_for_ms(accept_pause_ms);
                continue;
            }
            if (connections >= limits.max_connections)
                continue;
            owner.spawn(serve(std::move(socket)));
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        const auto self = shared_from_this();
        ++connections;
        try {
            beast::tcp_stream stream(std::move(socket));
            beast::error_code ignored;
            stream.socket().set_option(tcp::no_delay(true), ignored);
            beast::flat_buffer buffer;
            const registration entry(*this, stream);
            while (co_await wait_for_request(stream, buffer) &&
                   co_await serve_request(stream, buffer))
            {
            }
            stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        }
        catch (const std::exception& error) {
            log_event(log_level::error, "connection_failed")
                .with("error", error.what());
        }
        --connections;
    }

    /// Waits for a request's first byte; returns false if none will arrive.
    asio::awaitable<bool> wait_for_request(beast::tcp_stream& stream,
                                           const beast::flat_buffer& buffer)
    {
        if (stopping)
            co_return false;
        if (buffer.size() != 0)
            co_return true;
        idle_since[&stream] = steady_now();
        auto [error] = co_await stream.socket().async_wait(
            tcp::socket::wait_read, as_result);
        idle_since.erase(&stream);
        co_return !error;
    }

    /// Closes connections that have been idle since before `limit`.
    void close_idle(time_point limit)
    {
        for (const auto& [stream, since] : idle_since)
            if (since <= limit)
                stream->socket().cancel();
    }

    asio::awaitable<void> sweep_loop()
    {
        const auto self = shared_from_this();
        while (!stopping || active != 0) {
            co_await sleep_for_ms(sweep_interval_ms);
            const auto now = steady_now();
            close_idle(now - limits.idle_timeout);
            for (auto* responder : responders)
                responder->check_write(now);
        }
    }

    asio::awaitable<bool> serve_request(beast::tcp_stream& stream,
                                        beast::flat_buffer& buffer)
    {
        http::request_parser<received_body> parser;
        parser.header_limit(limits.max_header_bytes);
        parser.body_limit(limits.max_body_bytes);
        stream.expires_after(limits.header_timeout);
        auto [error, size] =
            co_await http::async_read(stream, buffer, parser, as_result);
        const bool keep_alive = !error && parser.get().keep_alive();
        connection_responder responder(
            stream, limits.write_timeout, keep_alive);
        if (error) {
            if (const auto status = rejection_status(error))
                co_await responder.send(refusal(status));
            co_return false;
        }
        if (is_ambiguous(parser.get().base())) {
            co_await responder.send(refusal(400));
            co_return false;
        }
        const auto incoming = to_incoming(parser.release());
        stream.expires_never();
        ++active;
        responders.insert(&responder);
        try {
            co_await handler(incoming, responder);
        }
        catch (const std::exception& caught) {
            log_event(log_level::error, "handler_failed")
                .with("path", incoming.path)
                .with("error", caught.what());
            responder.abort();
        }
        responders.erase(&responder);
        --active;
        co_return responder.answered() && keep_alive;
    }

    static http_outgoing refusal(unsigned status)
    {
        http_outgoing answer;
        answer.status = status;
        answer.body =
            status == 400
                ? R"({"error":{"code":"invalid_input","message":"the HTTP)"
                  R"( request is malformed; send a well-formed one"}})"
                : R"({"error":{"code":"too_large","message":"the request)"
                  R"( is over the limit; send a smaller one"}})";
        return answer;
    }

    /// Lists a connection as open while it is served.
    class registration
    {
    public:
        registration(state& owner, beast::tcp_stream& stream)
            : owner_(owner), stream_(&stream)
        {
            owner_.open.insert(stream_);
        }
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;
        ~registration()
        {
            owner_.open.erase(stream_);
            owner_.idle_since.erase(stream_);
        }

    private:
        state& owner_;
        beast::tcp_stream* stream_;
    };

    static constexpr std::int64_t accept_pause_ms = 20;
    static constexpr std::int64_t sweep_interval_ms = 1000;

    io_worker& owner;
    http_limits limits;
    http_handler handler;
    tcp::acceptor acceptor;
    bool stopping = false;
    std::size_t connections = 0;
    std::size_t active = 0;
    std::set<beast::tcp_stream*> open;
    std::map<beast::tcp_stream*, time_point> idle_since;
    std::set<connection_responder*> responders;
};

std::string_view http_incoming::header(std::string_view name) const
{
    const auto found = headers.find(std::string(name));
    return found == headers.end() ? std::string_view() : found->second;
}

std::string http_incoming::bearer_digest() const
{
    constexpr std::string_view bearer = "Bearer ";
    const auto value = header("authorization");
    if (!value.starts_with(bearer))
        return {};
    return content_digest(value.substr(bearer.size()));
}

http_server::http_server(io_worker& owner,
                         http_limits limits,
                         http_handler handler)
    : state_(std::make_shared<state>(owner, limits, std::move(handler)))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::listen(const std::string& address,
                                  std::uint16_t port)
{
    auto& acceptor = state_->acceptor;
    if (!open_acceptor(acceptor, address, port))
        return 0;
    state_->owner.spawn_duty([state = state_] { return state->accept_loop(); });
    state_->owner.spawn_duty([state = state_] { return state->sweep_loop(); });
    return acceptor.local_endpoint().port();
}

void http_server::stop_accepting()
{
    beast::error_code ignored;
    state_->stopping = true;
    state_->acceptor.close(ignored);
    state_->close_idle(time_point::max());
}

void http_server::abort_connections()
{
    beast::error_code ignored;
    for (auto* stream : state_->open)
        stream->socket().close(ignored);
}

std::size_t http_server::connections() const noexcept
{
    return state_->connections;
}

std::size_t http_server::active_requests() const noexcept
{
    return state_->active;
}

} // namespace barleyfork
