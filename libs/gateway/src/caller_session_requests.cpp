/// How a caller's session reads requests, and refuses those that it doesn't
/// pass on to a call.

#include "caller_session.hpp"

#include "local_answer.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/net/http_checks.hpp>

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace barleyfork {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// No further request of a caller is processed while this many bytes of its
/// responses are unsent.
constexpr std::size_t max_unsent = std::size_t{256} * 1024;

header_list copy_headers(const http::request<received_body>& message)
{
    header_list headers;
    for (const auto& field : message)
        headers.emplace_back(field.name_string(), field.value());
    return headers;
}

caller_request to_request(http::request<received_body>&& message)
{
    caller_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = copy_headers(message);
    request.body =
        std::make_shared<const std::string>(std::move(message.body()));
    return request;
}

/// Replaces a target in absolute form by its origin form. The host of the
/// target takes precedence over the `Host` header.
void use_origin_form(http::request<received_body>& message)
{
    const auto split = split_absolute_form(
        std::string_view(message.target().data(), message.target().size()));
    if (!split)
        return;
    message.target(split->target);
    message.set(http::field::host, split->host);
}

bool is_valid_request(const http::request<received_body>& message)
{
    const std::string_view target(message.target().data(),
                                  message.target().size());
    return !is_ambiguous(message) && target.starts_with('/') &&
           !has_dot_segment(target.substr(0, target.find('?'))) &&
           message.count(http::field::host) == 1;
}

} // namespace

void caller_session::parse()
{
    while (!call_ && !closing_ && !closed_ && !unparsed_.empty() &&
           unsent_bytes() < max_unsent)
    {
        if (!has_request_begun_)
            begin_request();
        beast::error_code error;
        const auto used = parser_->put(asio::buffer(unparsed_), error);
        unparsed_.erase(0, used);
        if (error && error != http::error::need_more) {
            reject(rejection_status(error));
            return;
        }
        if (refuse_by_key())
            return;
        if (!reserve_request_memory()) {
            refuse_for_memory();
            return;
        }
        if (parser_->is_done())
            on_request();
        else if (used == 0 || error == http::error::need_more)
            return;
    }
}

/// Refuses a request by its head, so that the body of an unknown caller is not
/// read. Returns true if it was refused. A request that is complete is left to
/// its call, after which the connection continues.
bool caller_session::refuse_by_key()
{
    if (is_key_checked_ || !parser_->is_header_done() || parser_->is_done())
        return false;
    is_key_checked_ = true;
    auto& head = parser_->get();
    if (!context_.configuration || !context_.configuration->requires_keys ||
        head.count(http::field::host) != 1)
        return false;
    use_origin_form(head);
    const std::string target(head.target());
    const std::string host(head[http::field::host]);
    const auto headers = copy_headers(head);
    const auto caller = identify_caller(
        context_, headers, host, target.substr(0, target.find('?')));
    if (!caller.refusal)
        return false;
    context_.timers.cancel(timer_);
    const auto facts = context_.platform.codec->parse_request_metadata(headers);
    record_refused_key(context_, caller, address_, facts);
    const auto outcome = outcome_of(*caller.refusal);
    context_.measures.count_outcome(outcome);
    is_head_request_ = head.method() == http::verb::head;
    parser_.emplace();
    request_memory_.resize(0);
    keep_alive_ = false;
    const auto answer =
        make_local_answer(outcome,
                          facts.client_attempt_id,
                          retry_after(context_, *caller.refusal));
    send_answer(answer.head, answer.body);
    return true;
}

/// Accounts for the body of the request that is being read: the length that its
/// head declares, or what has arrived if that is more. Returns false if the
/// memory budget is exceeded.
bool caller_session::reserve_request_memory()
{
    if (!parser_->is_header_done())
        return true;
    const std::size_t declared = parser_->content_length().value_or(0);
    auto& body = parser_->get().body();
    if (!request_memory_.resize(std::max(declared, body.size())))
        return false;
    // What the budget has granted: a body that grows by itself takes more.
    if (declared > body.capacity())
        body.reserve(declared);
    return true;
}

/// Refuses a request that was not passed on, since the bodies of other requests
/// use up the memory.
void caller_session::refuse_for_memory()
{
    context_.timers.cancel(timer_);
    const auto id = context_.platform.codec
                        ->parse_request_metadata(copy_headers(parser_->get()))
                        .client_attempt_id;
    log_event(log_level::warn, "no_memory_for_request")
        .with("request", id)
        .with("caller", address_)
        .with("held_by_all",
              static_cast<std::int64_t>(context_.request_memory.held()));
    parser_.emplace();
    request_memory_.resize(0);
    keep_alive_ = false;
    const auto answer =
        make_local_answer(errc::overloaded, id, context_.draw_retry_delay());
    context_.measures.count_outcome(errc::overloaded);
    send_answer(answer.head, answer.body);
}

void caller_session::on_request()
{
    context_.timers.cancel(timer_);
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    uses_chunked_coding_ = message.version() >= 11;
    is_head_request_ = message.method() == http::verb::head;
    if (message.count(http::field::host) == 1)
        use_origin_form(message);
    if (!is_valid_request(message)) {
        reject(400);
        return;
    }
    auto request = to_request(std::move(message));
    request.caller_address = address_;
    call_ = std::make_shared<gateway_call>(
        context_, shared_from_this(), std::move(request));
    const auto call = call_;
    call->begin();
}

/// Rejects an incomplete, malformed or too large request and closes the
/// connection, since the boundary to a following request is unknown.
void caller_session::reject(unsigned status)
{
    context_.timers.cancel(timer_);
    if (status == 0) {
        begin_closing();
        return;
    }
    keep_alive_ = false;
    const auto answer = status == 408   ? make_request_timeout_answer()
                        : status == 400 ? make_malformed_request_answer()
                                        : make_too_large_answer(status);
    send_answer(answer.head, answer.body);
}

} // namespace barleyfork
