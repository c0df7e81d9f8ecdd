#include "caller_session.hpp"

#include "local_answer.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/net/socket_options.hpp>

#include <boost/asio/write.hpp>
#include <exception>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

/// The maximum size of further requests that are read while one runs, in
/// bytes.
constexpr std::size_t max_read_ahead = std::size_t{64} * 1024;
/// How long a caller may read nothing. Its own deadline ends its patience
/// before that.
constexpr duration max_caller_stall{30000};
/// How long a closing connection waits for the caller to close its side.
constexpr duration linger_timeout{1000};
/// The capacity that a buffer of an idle connection keeps, in bytes.
constexpr std::size_t max_kept_capacity = std::size_t{4} * 1024;

/// Empties a buffer. A large one gives its memory back, which nothing counts
/// while the connection is idle.
void release(std::string& buffer)
{
    buffer.clear();
    if (buffer.capacity() > max_kept_capacity)
        buffer.shrink_to_fit();
}

std::string address_of(const asio::ip::tcp::socket& socket)
{
    boost::system::error_code error;
    const auto from = socket.remote_endpoint(error);
    return error ? std::string() : from.address().to_string();
}

} // namespace

caller_session::caller_session(gateway_context& context, tcp::socket socket)
    : context_(context), socket_(std::move(socket)),
      address_(address_of(socket_)), request_memory_(context.request_memory),
      unsent_memory_(context.answer_memory)
{
}

void caller_session::start()
{
    set_liveness_options(socket_, max_caller_stall);
    start_parser();
    read();
}

template <class Handler>
void caller_session::run_guarded(Handler handler)
{
    const auto self = shared_from_this();
    try {
        handler();
    }
    catch (const std::exception& error) {
        log_event(log_level::error, "caller_connection_failed")
            .with("caller", address_)
            .with("error", error.what());
        on_caller_disconnected();
    }
}

/// Returns the limits that are in force now.
caller_limits caller_session::limits() const
{
    return context_.configuration ? context_.configuration->limits
                                  : caller_limits{};
}

/// Returns how long the caller may take for what it is doing.
duration caller_session::wait_limit() const
{
    return has_request_begun_ ? limits().header_timeout : limits().idle_timeout;
}

void caller_session::start_parser()
{
    parser_.emplace();
    parser_->eager(true);
    request_memory_.resize(0);
    has_request_begun_ = false;
    is_key_checked_ = false;
    start_waiting();
}

void caller_session::begin_request()
{
    has_request_begun_ = true;
    parser_->header_limit(limits().max_header_bytes);
    parser_->body_limit(limits().max_body_bytes);
    start_waiting();
}

void caller_session::start_waiting()
{
    waits_since_ = steady_now();
    set_timer(wait_limit());
}

void caller_session::read()
{
    if (reading_ || closed_)
        return;
    reading_ = true;
    const auto self = shared_from_this();
    socket_.async_read_some(
        asio::buffer(buffer_), [self](const auto& error, std::size_t size) {
            self->run_guarded([&] { self->on_read(error, size); });
        });
}

void caller_session::on_read(const boost::system::error_code& error,
                             std::size_t size)
{
    reading_ = false;
    if (closed_)
        return;
    if (error) {
        on_caller_disconnected();
        return;
    }
    if (closing_) {
        read();
        return;
    }
    unparsed_.append(buffer_.data(), size);
    if (!call_)
        parse();
    if (!closed_ && unparsed_.size() < max_read_ahead)
        read();
}

void caller_session::on_caller_disconnected()
{
    const auto call = std::move(call_);
    call_.reset();
    close();
    if (call)
        call->on_caller_disconnected();
}

void caller_session::append_connection_header(std::string& out) const
{
    if (!keep_alive_ || context_.drain.draining())
        out += "Connection: close\r\n";
}

/// Returns the bytes of a complete response.
std::string caller_session::write_answer(const answer_head& head,
                                         std::string_view body) const
{
    header_list length;
    if (head.status != status_no_content)
        length.emplace_back("Content-Length", std::to_string(body.size()));
    std::string text = write_answer_head(head, length);
    text.resize(text.size() - 2);
    append_connection_header(text);
    text += "\r\n";
    if (!is_head_request_)
        text += body;
    return text;
}

void caller_session::send_answer(const answer_head& head, std::string_view body)
{
    if (closed_)
        return;
    std::string text = write_answer(head, body);
    if (!unsent_memory_.resize(unsent_bytes() + text.size())) {
        log_no_memory(unsent_bytes() + text.size());
        // An error is small, and tells more than a closed connection.
        const auto error =
            make_local_answer(errc::outcome_unknown, {}, std::nullopt);
        text = write_answer(error.head, error.body);
    }
    if (pending_.empty())
        pending_ = std::move(text);
    else
        pending_ += text;
    if (context_.drain.draining())
        keep_alive_ = false;
    finish_answer();
}

void caller_session::begin_stream(const answer_head& head)
{
    if (closed_)
        return;
    ends_with_connection_ = !uses_chunked_coding_;
    if (ends_with_connection_)
        keep_alive_ = false;
    std::string text = write_answer_head(head, {});
    text.resize(text.size() - 2);
    if (uses_chunked_coding_)
        text += "Transfer-Encoding: chunked\r\n";
    append_connection_header(text);
    text += "\r\n";
    if (context_.drain.draining())
        keep_alive_ = false;
    pending_ += text;
    flush();
}

void caller_session::send_stream_part(std::string_view bytes)
{
    if (closed_ || bytes.empty())
        return;
    if (uses_chunked_coding_)
        append_chunk(pending_, bytes);
    else
        pending_ += bytes;
    if (reserve_unsent_memory())
        flush();
}

std::size_t caller_session::unsent_bytes() const
{
    return pending_.size() + writing_.size();
}

/// Accounts for the unsent bytes. Closes the connection and returns false if
/// they exceed the memory budget.
bool caller_session::reserve_unsent_memory()
{
    if (unsent_memory_.resize(unsent_bytes()))
        return true;
    log_no_memory(unsent_bytes());
    on_caller_disconnected();
    return false;
}

void caller_session::log_no_memory(std::size_t unsent) const
{
    log_event(log_level::warn, "caller_reads_too_slowly")
        .with("caller", address_)
        .with("unsent", static_cast<std::int64_t>(unsent))
        .with("held_by_all",
              static_cast<std::int64_t>(context_.answer_memory.held()));
}

void caller_session::end_stream()
{
    if (closed_)
        return;
    if (uses_chunked_coding_)
        pending_ += last_chunk;
    ends_with_connection_ = false;
    finish_answer();
}

void caller_session::abort()
{
    call_.reset();
    close();
}

void caller_session::finish_answer()
{
    call_.reset();
    if (!keep_alive_ || context_.drain.draining()) {
        begin_closing();
        return;
    }
    flush();
    start_parser();
    // Parsing is posted because the call that has just ended is still on the
    // stack.
    const auto self = shared_from_this();
    if (!unparsed_.empty())
        context_.serving.try_post([self] {
            if (!self->call_)
                self->run_guarded([&] { self->parse(); });
        });
    read();
}

void caller_session::flush()
{
    if (closed_ || !writing_.empty() || pending_.empty())
        return;
    writing_.swap(pending_);
    const auto self = shared_from_this();
    asio::async_write(socket_,
                      asio::buffer(writing_),
                      [self](const auto& error, std::size_t) {
                          self->run_guarded([&] { self->on_written(error); });
                      });
}

void caller_session::on_written(const boost::system::error_code& error)
{
    release(writing_);
    unsent_memory_.resize(pending_.size());
    if (closed_)
        return;
    if (error) {
        on_caller_disconnected();
        return;
    }
    flush();
    if (call_)
        call_->on_answer_bytes_written();
    else
        parse();
    if (!writing_.empty())
        return;
    if (closing_) {
        boost::system::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        set_timer(linger_timeout);
    }
}

/// Writes the unsent bytes, shuts down the sending side, and waits for the
/// caller to close. Closing with unread bytes would reset the connection and
/// could destroy the response on its way.
void caller_session::begin_closing()
{
    if (closing_ || closed_)
        return;
    closing_ = true;
    if (pending_.empty() && writing_.empty()) {
        boost::system::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        set_timer(linger_timeout);
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
    // An orderly end would make the response look complete.
    if (ends_with_connection_)
        set_reset_on_close(socket_, true);
    socket_.close(ignored);
}

void caller_session::drain()
{
    if (!call_ && !has_request_begun_ && unparsed_.empty())
        begin_closing();
}

void caller_session::close_now()
{
    on_caller_disconnected();
}

void caller_session::set_timer(duration wait)
{
    context_.timers.cancel(timer_);
    const auto self = shared_from_this();
    timer_ = context_.timers.add(steady_now() + wait, [self] {
        self->timer_ = 0;
        self->run_guarded([&] { self->on_timer(); });
    });
}

void caller_session::on_timer()
{
    if (closing_) {
        close();
        return;
    }
    // A newer configuration may allow more time.
    const auto left = waits_since_ + wait_limit() - steady_now();
    if (left > duration{0})
        set_timer(left);
    else if (has_request_begun_)
        reject(408);
    else
        begin_closing();
}

} // namespace barleyfork
