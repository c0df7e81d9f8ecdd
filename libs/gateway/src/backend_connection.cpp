#include "backend_connection.hpp"

#include <barleyfork/base/digest.hpp>
#include <barleyfork/base/log.hpp>
#include <barleyfork/net/answer_limits.hpp>
#include <barleyfork/net/socket_options.hpp>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <exception>

namespace barleyfork {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Over a working link a server accepts within this time, even if one packet
/// is lost.
constexpr duration connect_timeout{1200};
/// Applies if the server sends no idle timeout in `Keep-Alive`.
constexpr duration default_idle_timeout{3000};
/// An exchange with more responses to earlier requests than this is ended.
constexpr int max_stray_answers = 3;
/// Bounds the memory for the ids that a connection has carried.
constexpr std::size_t max_exchanges = 1000;

answer_head to_answer_head(const http::response<received_body>& message)
{
    answer_head head;
    head.status = message.result_int();
    head.reason = std::string(message.reason());
    for (const auto& field : message)
        head.headers.emplace_back(field.name_string(), field.value());
    return head;
}

} // namespace

std::string_view exchange_result_name(exchange_result result) noexcept
{
    constexpr std::array<std::string_view, 4> names{
        "whole", "not_sent", "lost", "malformed"};
    return names.at(static_cast<std::size_t>(result));
}

backend_connection::backend_connection(asio::any_io_executor executor,
                                       timer_queue& timers,
                                       tcp::endpoint target,
                                       std::uint64_t number,
                                       idle_handler on_idle)
    : executor_(std::move(executor)), timers_(timers), socket_(executor_),
      target_(std::move(target)), number_(number), on_idle_(std::move(on_idle)),
      idle_timeout_(default_idle_timeout)
{
}

bool backend_connection::has_carried(std::string_view request_id) const
{
    return std::find(carried_ids_.begin(),
                     carried_ids_.end(),
                     hash64(request_id)) != carried_ids_.end();
}

void backend_connection::exchange(std::string_view request_id,
                                  bool is_head_request,
                                  std::shared_ptr<answer_receiver> receiver)
{
    carried_ids_.push_back(hash64(request_id));
    is_head_request_ = is_head_request;
    receiver_ = std::move(receiver);
    is_request_written_ = false;
    was_reset_under_request_ = false;
    stray_answer_count_ = 0;
    interim_answer_count_ = 0;
    paused_ = false;
    if (state_ == state::unconnected) {
        connect();
        return;
    }
    state_ = state::busy;
    start_parser();
    write();
}

template <class Handler>
void backend_connection::run_guarded(Handler handler)
{
    const auto self = shared_from_this();
    try {
        handler();
    }
    catch (const std::exception& error) {
        log_event(log_level::error, "exchange_failed")
            .with("connection", static_cast<std::int64_t>(number_))
            .with("error", error.what());
        finish(exchange_result::malformed);
    }
}

void backend_connection::connect()
{
    state_ = state::connecting;
    const auto self = shared_from_this();
    connect_timer_ = timers_.add(steady_now() + connect_timeout, [self] {
        self->connect_timer_ = 0;
        self->run_guarded(
            [self] { self->on_connected(asio::error::timed_out); });
    });
    socket_.async_connect(target_, [self](const auto& error) {
        self->run_guarded([&] { self->on_connected(error); });
    });
}

void backend_connection::on_connected(const boost::system::error_code& error)
{
    if (state_ != state::connecting)
        return;
    timers_.cancel(connect_timer_);
    if (error) {
        finish(exchange_result::not_sent);
        return;
    }
    set_liveness_options(socket_, max_server_stall);
    state_ = state::busy;
    start_parser();
    read();
    if (state_ == state::busy)
        write();
}

void backend_connection::write()
{
    const auto self = shared_from_this();
    auto request = receiver_->on_send_started();
    if (state_ != state::busy)
        return;
    request_ = std::move(request);
    const std::array<asio::const_buffer, 2> parts{asio::buffer(request_.head),
                                                  asio::buffer(*request_.body)};
    asio::async_write(socket_, parts, [self](const auto& error, std::size_t) {
        self->request_ = {};
        self->run_guarded([&] { self->on_written(error); });
    });
}

/// A failed write does not end the exchange, as the response may still be
/// readable. But the system reports a reset once: if the write receives it, the
/// read sees an orderly end. Only where the server had ended its side before,
/// the write fails with a broken pipe, and the end is orderly indeed.
void backend_connection::on_written(const boost::system::error_code& error)
{
    is_request_written_ = !error;
    if (!error || state_ != state::busy)
        return;
    was_reset_under_request_ = error != asio::error::broken_pipe;
    log_event(log_level::info, "request_write_failed")
        .with("connection", static_cast<std::int64_t>(number_))
        .with("error", error.message());
}

void backend_connection::read()
{
    if (reading_ || paused_)
        return;
    reading_ = true;
    const auto self = shared_from_this();
    socket_.async_read_some(
        asio::buffer(buffer_), [self](const auto& error, std::size_t size) {
            self->reading_ = false;
            self->run_guarded([&] { self->on_read(error, size); });
        });
}

void backend_connection::resume()
{
    if (!paused_)
        return;
    paused_ = false;
    if (state_ != state::closed)
        read();
}

void backend_connection::on_read(const boost::system::error_code& error,
                                 std::size_t size)
{
    if (state_ == state::closed)
        return;
    if (state_ == state::idle) {
        close();
        return;
    }
    const auto self = shared_from_this();
    if (size > 0) {
        unparsed_.append(buffer_.data(), size);
        parse();
    }
    if (state_ == state::closed)
        return;
    if (!error) {
        read();
        return;
    }
    if (state_ == state::idle) {
        close();
        return;
    }
    // A response without a length ends when its connection is closed, but
    // only if the close is orderly (end of file, no error in either direction).
    beast::error_code ended;
    if (error == asio::error::eof && !was_reset_under_request_ && parser_ &&
        parser_->is_header_done() && parser_->need_eof())
    {
        parser_->put_eof(ended);
        if (!ended && parser_->is_done() && !is_stray_answer_) {
            must_close_ = true;
            ended_by_close_ = true;
            finish(exchange_result::complete);
            return;
        }
    }
    finish(exchange_result::lost);
}

void backend_connection::start_parser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(max_head_bytes);
    parser_->body_limit(boost::none);
    if (is_head_request_)
        parser_->skip(true);
    is_head_reported_ = false;
    is_stray_answer_ = false;
}

void backend_connection::parse()
{
    while (state_ == state::busy && parse_step()) {
    }
    if (state_ == state::busy && unparsed_.size() > max_unparsed_bytes)
        finish(exchange_result::malformed);
}

/// Parses one step of the buffered bytes. Returns false if more bytes are
/// needed or the exchange ended.
bool backend_connection::parse_step()
{
    if (unparsed_.empty())
        return false;
    beast::error_code error;
    const auto used = parser_->put(asio::buffer(unparsed_), error);
    unparsed_.erase(0, used);
    if (error && error != http::error::need_more) {
        finish(exchange_result::malformed);
        return false;
    }
    if (!parser_->is_header_done())
        return false;
    if (!is_valid_status(parser_->get().result_int())) {
        finish(exchange_result::malformed);
        return false;
    }
    if (!is_head_reported_ && is_interim(parser_->get().result_int()))
        return skip_interim();
    if (!is_head_reported_ && !report_head())
        return false;
    auto& body = parser_->get().body();
    if (!body.empty()) {
        const std::string bytes = std::move(body);
        body.clear();
        // The receiver may cancel this exchange and go on.
        const auto receiver = receiver_;
        if (!is_stray_answer_)
            receiver->on_body(bytes);
        if (state_ != state::busy)
            return false;
    }
    if (parser_->is_done()) {
        on_answer_complete();
        return state_ == state::busy;
    }
    return used > 0 && error != http::error::need_more;
}

/// Discards an interim (1xx) response; the final response follows.
bool backend_connection::skip_interim()
{
    if (++interim_answer_count_ > max_interim_answers) {
        finish(exchange_result::malformed);
        return false;
    }
    start_parser();
    return true;
}

bool backend_connection::report_head()
{
    is_head_reported_ = true;
    const auto head = to_answer_head(parser_->get());
    if (const auto timeout = keep_alive_timeout(head.headers))
        idle_timeout_ = *timeout;
    const bool is_expected = receiver_->on_head(head);
    if (state_ != state::busy)
        return false;
    if (is_expected)
        return true;
    is_stray_answer_ = true;
    must_close_ = true;
    if (++stray_answer_count_ <= max_stray_answers)
        return true;
    finish(exchange_result::malformed);
    return false;
}

void backend_connection::on_answer_complete()
{
    if (is_stray_answer_) {
        start_parser();
        return;
    }
    const bool is_reusable = parser_->keep_alive() && !must_close_ &&
                             is_request_written_ && unparsed_.empty() &&
                             carried_ids_.size() < max_exchanges;
    must_close_ = !is_reusable;
    finish(exchange_result::complete);
}

/// Ends the exchange. Keeps the connection only if the exchange completed and
/// the connection is reusable.
void backend_connection::finish(exchange_result result)
{
    const auto self = shared_from_this();
    const auto receiver = std::move(receiver_);
    receiver_.reset();
    if (result == exchange_result::complete && !must_close_) {
        state_ = state::idle;
        idle_since_ = steady_now();
        // An idle connection is read, to notice that the server closes it.
        paused_ = false;
    }
    else {
        close();
    }
    if (receiver)
        receiver->on_end(result);
    if (state_ == state::idle)
        on_idle_(self);
}

void backend_connection::cancel()
{
    receiver_.reset();
    close();
}

void backend_connection::close()
{
    if (state_ == state::closed)
        return;
    const bool in_exchange = state_ == state::busy;
    state_ = state::closed;
    timers_.cancel(connect_timer_);
    boost::system::error_code ignored;
    // An aborted request must not reach the server later: after a plain close
    // the kernel would go on retransmitting it and deliver it once an
    // interrupted link recovers.
    if (in_exchange)
        set_reset_on_close(socket_, true);
    socket_.close(ignored);
}

bool backend_connection::is_usable(time_point now,
                                   double timeout_fraction) const noexcept
{
    const auto idle = static_cast<double>((now - idle_since_).count());
    return state_ == state::idle &&
           idle < timeout_fraction * static_cast<double>(idle_timeout_.count());
}

} // namespace barleyfork
