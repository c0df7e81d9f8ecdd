#include "caller_session.hpp"

#include "own_answer.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/net/socket_options.hpp>

#include <barleyfork/net/http_checks.hpp>

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace barleyfork {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Bytes of further requests that are read while one runs.
constexpr std::size_t most_read_ahead = std::size_t{64} * 1024;
/// A caller that has so much of its answers to take yet gets no further one.
constexpr std::size_t most_unsent = std::size_t{256} * 1024;
/// How long a closing connection waits for the caller's own end.
constexpr duration linger{1000};

std::string address_of(const asio::ip::tcp::socket& socket)
{
    boost::system::error_code error;
    const auto from = socket.remote_endpoint(error);
    return error ? std::string() : from.address().to_string();
}

caller_request to_request(http::request<http::string_body>&& message)
{
    caller_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
        request.headers.emplace_back(field.name_string(), field.value());
    request.body = std::move(message.body());
    return request;
}

/// The host of a target in absolute form goes before the header's.
void use_origin_form(http::request<http::string_body>& message)
{
    const auto split = split_absolute_form(
        std::string_view(message.target().data(), message.target().size()));
    if (!split)
        return;
    message.target(split->target);
    message.set(http::field::host, split->host);
}

bool is_readable(const http::request<http::string_body>& message)
{
    const std::string_view target(message.target().data(),
                                  message.target().size());
    return !is_ambiguous(message) && target.starts_with('/') &&
           !has_dot_segment(target.substr(0, target.find('?'))) &&
           message.count(http::field::host) == 1;
}

} // namespace

caller_session::caller_session(gateway_context& context, tcp::socket socket)
    : context_(context), socket_(std::move(socket)),
      address_(address_of(socket_)), unsent_memory_(context.answers)
{
}

void caller_session::start()
{
    set_live_options(socket_);
    start_parser();
    read();
}

void caller_session::start_parser()
{
    const auto limits = context_.configuration ? context_.configuration->limits
                                               : caller_limits{};
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(limits.max_header_bytes);
    parser_->body_limit(limits.max_body_bytes);
    request_begun_ = false;
    set_timer(limits.idle_timeout);
}

void caller_session::read()
{
    if (reading_ || closed_)
        return;
    reading_ = true;
    const auto self = shared_from_this();
    socket_.async_read_some(asio::buffer(buffer_),
                            [self](const auto& error, std::size_t size) {
                                self->on_read(error, size);
                            });
}

void caller_session::on_read(const boost::system::error_code& error,
                             std::size_t size)
{
    reading_ = false;
    if (closed_)
        return;
    if (error) {
        on_caller_gone();
        return;
    }
    if (closing_) {
        read();
        return;
    }
    unread_.append(buffer_.data(), size);
    if (!call_)
        parse();
    if (!closed_ && unread_.size() < most_read_ahead)
        read();
}

void caller_session::parse()
{
    while (!call_ && !closing_ && !closed_ && !unread_.empty() &&
           unsent() < most_unsent)
    {
        if (!request_begun_) {
            request_begun_ = true;
            const auto limits = context_.configuration
                                    ? context_.configuration->limits
                                    : caller_limits{};
            set_timer(limits.header_timeout);
        }
        beast::error_code error;
        const auto used = parser_->put(asio::buffer(unread_), error);
        unread_.erase(0, used);
        if (error && error != http::error::need_more) {
            refuse(refusal_status(error));
            return;
        }
        if (parser_->is_done())
            on_request();
        else if (used == 0 || error == http::error::need_more)
            return;
    }
}

void caller_session::on_request()
{
    context_.timers.cancel(timer_);
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    chunked_ = message.version() >= 11;
    head_request_ = message.method() == http::verb::head;
    if (message.count(http::field::host) == 1)
        use_origin_form(message);
    if (!is_readable(message)) {
        refuse(400);
        return;
    }
    auto request = to_request(std::move(message));
    request.caller_address = address_;
    call_ = std::make_shared<gateway_call>(
        context_, shared_from_this(), std::move(request));
    const auto call = call_;
    call->begin();
}

/// The request could not be read; what follows on the connection can't be
/// told apart either.
void caller_session::refuse(unsigned status)
{
    context_.timers.cancel(timer_);
    if (status == 0) {
        begin_close();
        return;
    }
    keep_alive_ = false;
    const auto answer = status == 408   ? refuse_late_request()
                        : status == 400 ? refuse_malformed_request()
                                        : refuse_large_request(status);
    send_whole(answer.head, answer.body);
}

void caller_session::on_caller_gone()
{
    const auto call = std::move(call_);
    call_.reset();
    close();
    if (call)
        call->on_caller_gone();
}

void caller_session::append_connection_header(std::string& out) const
{
    if (!keep_alive_ || context_.drain.draining())
        out += "Connection: close\r\n";
}

void caller_session::send_whole(const answer_head& head, std::string_view body)
{
    if (closed_)
        return;
    std::string text = write_answer_head(
        head, {{"Content-Length", std::to_string(body.size())}});
    text.resize(text.size() - 2);
    append_connection_header(text);
    text += "\r\n";
    if (!head_request_)
        text += body;
    pending_ += text;
    if (context_.drain.draining())
        keep_alive_ = false;
    if (keep_unsent())
        answer_done();
}

void caller_session::begin_stream(const answer_head& head)
{
    if (closed_)
        return;
    if (!chunked_)
        keep_alive_ = false;
    std::string text = write_answer_head(head, {});
    text.resize(text.size() - 2);
    if (chunked_)
        text += "Transfer-Encoding: chunked\r\n";
    append_connection_header(text);
    text += "\r\n";
    if (context_.drain.draining())
        keep_alive_ = false;
    pending_ += text;
    flush();
}

void caller_session::send_part(std::string_view bytes)
{
    if (closed_ || bytes.empty())
        return;
    if (chunked_)
        append_chunk(pending_, bytes);
    else
        pending_ += bytes;
    if (keep_unsent())
        flush();
}

std::size_t caller_session::unsent() const
{
    return pending_.size() + writing_.size();
}

/// Counts what waits for the caller; cuts it off where that is too much.
bool caller_session::keep_unsent()
{
    if (unsent_memory_.resize(unsent()))
        return true;
    log_event(log_level::warn, "caller_reads_too_slowly")
        .with("caller", address_)
        .with("unsent", static_cast<std::int64_t>(unsent()));
    on_caller_gone();
    return false;
}

void caller_session::end_stream()
{
    if (closed_)
        return;
    if (chunked_)
        pending_ += last_chunk;
    answer_done();
}

void caller_session::abort()
{
    call_.reset();
    close();
}

void caller_session::answer_done()
{
    call_.reset();
    if (!keep_alive_ || context_.drain.draining()) {
        begin_close();
        return;
    }
    flush();
    start_parser();
    // The call that has just ended is still on the stack.
    const auto self = shared_from_this();
    if (!unread_.empty())
        context_.serving.try_post([self] {
            if (!self->call_)
                self->parse();
        });
    read();
}

void caller_session::flush()
{
    if (closed_ || !writing_.empty() || pending_.empty())
        return;
    writing_.swap(pending_);
    const auto self = shared_from_this();
    asio::async_write(
        socket_,
        asio::buffer(writing_),
        [self](const auto& error, std::size_t) { self->on_written(error); });
}

void caller_session::on_written(const boost::system::error_code& error)
{
    writing_.clear();
    unsent_memory_.resize(pending_.size());
    if (closed_)
        return;
    if (error) {
        on_caller_gone();
        return;
    }
    flush();
    if (call_)
        call_->on_caller_reads();
    else
        parse();
    if (!writing_.empty())
        return;
    if (closing_) {
        boost::system::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        set_timer(linger);
    }
}

/// Writes what is left, ends this side, and awaits the caller's end: closing
/// with bytes unread would reset the connection under the answer.
void caller_session::begin_close()
{
    if (closing_ || closed_)
        return;
    closing_ = true;
    if (pending_.empty() && writing_.empty()) {
        boost::system::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        set_timer(linger);
    }
    flush();
    read();
}

void caller_session::close()
{
    if (closed_)
        return;
    closed_ = true;
    context_.timers.cancel(timer_);
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void caller_session::drain()
{
    if (!call_ && !request_begun_ && unread_.empty())
        begin_close();
}

void caller_session::cut()
{
    on_caller_gone();
}

void caller_session::set_timer(duration wait)
{
    context_.timers.cancel(timer_);
    const auto self = shared_from_this();
    timer_ = context_.timers.add(steady_now() + wait, [self] {
        self->timer_ = 0;
        self->on_timer();
    });
}

void caller_session::on_timer()
{
    if (closing_)
        close();
    else if (request_begun_)
        refuse(408);
    else
        begin_close();
}

} // namespace barleyfork
