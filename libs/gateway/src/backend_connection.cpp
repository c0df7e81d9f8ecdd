#include "backend_connection.hpp"

#include <barleyfork/net/answer_limits.hpp>
#include <barleyfork/net/socket_options.hpp>

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace barleyfork {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// A server on a link that works accepts sooner, even after a lost packet.
constexpr duration connect_timeout{1200};
/// Where a server does not say how long it keeps a connection.
constexpr duration assumed_idle_timeout{3000};
/// More answers that nobody asked for end the exchange.
constexpr int most_stray_answers = 3;

answer_head to_head(const http::response<http::string_body>& message)
{
    answer_head head;
    head.status = message.result_int();
    head.reason = std::string(message.reason());
    for (const auto& field : message)
        head.headers.emplace_back(field.name_string(), field.value());
    return head;
}

} // namespace

std::string_view exchange_end_name(exchange_end end) noexcept
{
    constexpr std::array<std::string_view, 4> names{
        "whole", "not_sent", "lost", "malformed"};
    return names.at(static_cast<std::size_t>(end));
}

backend_connection::backend_connection(asio::any_io_executor executor,
                                       timer_queue& timers,
                                       tcp::endpoint target,
                                       idle_handler on_idle)
    : executor_(std::move(executor)), timers_(timers), socket_(executor_),
      target_(std::move(target)), on_idle_(std::move(on_idle)),
      idle_timeout_(assumed_idle_timeout)
{
}

void backend_connection::exchange(std::string request,
                                  bool head_only,
                                  std::shared_ptr<answer_receiver> receiver)
{
    request_ = std::move(request);
    head_only_ = head_only;
    receiver_ = std::move(receiver);
    written_ = false;
    stray_answers_ = 0;
    interim_answers_ = 0;
    paused_ = false;
    ++exchanges_;
    if (state_ == state::fresh) {
        connect();
        return;
    }
    state_ = state::busy;
    start_parser();
    write();
}

void backend_connection::connect()
{
    state_ = state::connecting;
    const auto self = shared_from_this();
    connect_timer_ = timers_.add(steady_now() + connect_timeout, [self] {
        self->connect_timer_ = 0;
        self->on_connected(asio::error::timed_out);
    });
    socket_.async_connect(
        target_, [self](const auto& error) { self->on_connected(error); });
}

void backend_connection::on_connected(const boost::system::error_code& error)
{
    if (state_ != state::connecting)
        return;
    timers_.cancel(connect_timer_);
    if (error) {
        finish(exchange_end::not_sent);
        return;
    }
    set_live_options(socket_);
    state_ = state::busy;
    start_parser();
    read();
    if (state_ == state::busy)
        write();
}

void backend_connection::write()
{
    const auto self = shared_from_this();
    receiver_->on_sending();
    if (state_ != state::busy)
        return;
    asio::async_write(socket_,
                      asio::buffer(request_),
                      [self](const auto& error, std::size_t) {
                          // A failed write shows on the read side too, which
                          // may still hold the answer.
                          self->written_ = !error;
                      });
}

void backend_connection::read()
{
    if (reading_ || paused_)
        return;
    reading_ = true;
    const auto self = shared_from_this();
    socket_.async_read_some(asio::buffer(buffer_),
                            [self](const auto& error, std::size_t size) {
                                self->reading_ = false;
                                self->on_read(error, size);
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
        unread_.append(buffer_.data(), size);
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
    // An answer without a length ends with its connection, but only with an
    // orderly end.
    beast::error_code ended;
    if (error == asio::error::eof && parser_ && parser_->is_header_done() &&
        parser_->need_eof())
    {
        parser_->put_eof(ended);
        if (!ended && parser_->is_done() && !stray_) {
            doubtful_ = true;
            finish(exchange_end::whole);
            return;
        }
    }
    finish(exchange_end::lost);
}

void backend_connection::start_parser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(most_head_bytes);
    parser_->body_limit(boost::none);
    if (head_only_)
        parser_->skip(true);
    head_reported_ = false;
    stray_ = false;
}

void backend_connection::parse()
{
    while (state_ == state::busy && parse_some()) {
    }
    if (state_ == state::busy && unread_.size() > most_unparsed_bytes)
        finish(exchange_end::malformed);
}

/// One step through the unread bytes; false where more are needed.
bool backend_connection::parse_some()
{
    if (unread_.empty())
        return false;
    beast::error_code error;
    const auto used = parser_->put(asio::buffer(unread_), error);
    unread_.erase(0, used);
    if (error && error != http::error::need_more) {
        finish(exchange_end::malformed);
        return false;
    }
    if (!parser_->is_header_done())
        return false;
    if (!head_reported_ && is_interim(parser_->get().result_int()))
        return skip_interim();
    if (!head_reported_ && !report_head())
        return false;
    auto& body = parser_->get().body();
    if (!body.empty()) {
        const std::string bytes = std::move(body);
        body.clear();
        if (!stray_)
            receiver_->on_body(bytes);
        if (state_ != state::busy)
            return false;
    }
    if (parser_->is_done()) {
        on_whole();
        return state_ == state::busy;
    }
    return used > 0 && error != http::error::need_more;
}

/// The final answer is still to come.
bool backend_connection::skip_interim()
{
    if (++interim_answers_ > most_interim_answers) {
        finish(exchange_end::malformed);
        return false;
    }
    start_parser();
    return true;
}

bool backend_connection::report_head()
{
    head_reported_ = true;
    const auto head = to_head(parser_->get());
    if (const auto timeout = keep_alive_timeout(head.headers))
        idle_timeout_ = *timeout;
    const bool owned = receiver_->on_head(head);
    if (state_ != state::busy)
        return false;
    if (owned)
        return true;
    stray_ = true;
    doubtful_ = true;
    if (++stray_answers_ <= most_stray_answers)
        return true;
    finish(exchange_end::malformed);
    return false;
}

void backend_connection::on_whole()
{
    if (stray_) {
        start_parser();
        return;
    }
    const bool kept =
        parser_->keep_alive() && !doubtful_ && written_ && unread_.empty();
    doubtful_ = !kept;
    finish(exchange_end::whole);
}

/// Ends the exchange; the connection is kept only after a sound answer.
void backend_connection::finish(exchange_end end)
{
    const auto self = shared_from_this();
    const auto receiver = std::move(receiver_);
    receiver_.reset();
    if (end == exchange_end::whole && !doubtful_) {
        state_ = state::idle;
        idle_since_ = steady_now();
    }
    else {
        close();
    }
    if (receiver)
        receiver->on_end(end);
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
    // A request that was given up must not arrive later: a plain close would
    // let the kernel go on delivering it once a silent way heals.
    if (in_exchange)
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

bool backend_connection::is_usable(time_point now,
                                   double share_of_timeout) const noexcept
{
    const auto idle = static_cast<double>((now - idle_since_).count());
    return state_ == state::idle &&
           idle < share_of_timeout * static_cast<double>(idle_timeout_.count());
}

} // namespace barleyfork
