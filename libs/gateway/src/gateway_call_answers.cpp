// The part of gateway_call that processes a server's response.

#include "gateway_call.hpp"

#include "local_answer.hpp"

#include <barleyfork/base/log.hpp>

#include <algorithm>
#include <charconv>

namespace barleyfork {

namespace {

/// The delay before a retry at a server that rejected the request.
constexpr duration same_server_retry_delay{30};
/// Reading from a server pauses while more than this many bytes are unsent to
/// the caller.
constexpr std::size_t caller_high_water = std::size_t{256} * 1024;
/// The weight of a new sample in a plain service's smoothed response time.
constexpr double smoothing_weight = 0.1;

constexpr unsigned status_misdirected = 421;

bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

bool is_failure(unsigned status)
{
    constexpr unsigned first_failure = 500;
    return status >= first_failure;
}

/// Returns true for a status that promises the caller that the request was not
/// run.
bool promises_not_run(unsigned status)
{
    return status == 408 || status == status_misdirected || status == 429 ||
           status == 503;
}

/// Returns the id of an event of a stream, or an empty string if the event has
/// none.
std::string_view event_id(std::string_view event)
{
    std::size_t at = 0;
    while (at < event.size()) {
        const auto end = std::min(event.find('\n', at), event.size());
        auto line = event.substr(at, end - at);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            while (line.starts_with(' '))
                line.remove_prefix(1);
            return line;
        }
        at = end + 1;
    }
    return {};
}

std::optional<std::int64_t> to_number(std::string_view text)
{
    std::int64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace

bool gateway_call::on_head(const answer_head& head)
{
    auto facts = context_.platform.codec->read_answer(
        head.status, head.headers, attempt_->server);
    if (!facts.client_attempt_id.empty() &&
        facts.client_attempt_id != facts_.client_attempt_id)
    {
        log_event(log_level::warn, "stray_answer_dropped")
            .with("request", facts_.client_attempt_id)
            .with("belongs_to", facts.client_attempt_id)
            .with("server", attempt_->server.value())
            .with("connection",
                  static_cast<std::int64_t>(attempt_->connection->number()));
        return false;
    }
    const auto now = steady_now();
    if (facts.load)
        context_.loads.reported(
            attempt_->server, facts.load->running, facts.load->waiting, now);
    if (facts.load && facts.load->slowness)
        context_.loads.reported_slowness(
            attempt_->server, *facts.load->slowness, now);
    attempt_->head = head;
    attempt_->facts = std::move(facts);
    attempt_->last_progress_at = now;
    apply_server_status(now);
    attempt_->is_streamed = is_part_of_stream(head.status);
    context_.timers.cancel(attempt_timer_);
    if (!attempt_->is_streamed)
        context_.loads.on_answer_started(attempt_->server, attempt_->ticket);
    return true;
}

/// Returns whether the response is passed on as a stream. One without a body is
/// passed on as it is; after events of a stream it says that none follow.
bool gateway_call::is_part_of_stream(unsigned status) const
{
    if (route_->kind != call_kind::stream || !is_success(status) ||
        !is_authentic_answer())
        return false;
    const bool has_body =
        status != status_no_content && request_.method != "HEAD";
    return has_body || is_delivering_;
}

/// Applies the server's status (shutdown, rejection period, limit) from a
/// response that is known to belong to this request.
void gateway_call::apply_server_status(time_point now)
{
    if (!belongs_to_request())
        return;
    const auto& facts = attempt_->facts;
    const auto& server = attempt_->server;
    if (!facts.wrong_server)
        context_.observe_limit(
            {{server, attempt_->started_ms}, facts.request_limit, now},
            "answer");
    if (facts.leaving &&
        context_.directory.leaves(server, attempt_->started_ms)) {
        context_.unreported_shutdowns.push_back({server, attempt_->started_ms});
        log_event(log_level::info, "server_says_it_leaves")
            .with("request", facts_.client_attempt_id)
            .with("server", server.value());
    }
    if (!facts.rejects_requests_for)
        return;
    context_.on_server_rejects({server, attempt_->started_ms},
                               now + *facts.rejects_requests_for);
    log_event(log_level::info, "server_turned_away")
        .with("request", facts_.client_attempt_id)
        .with("server", server.value())
        .with("for_ms", facts.rejects_requests_for->count());
}

void gateway_call::on_body(std::string_view bytes)
{
    if (!attempt_->is_streamed) {
        auto& body = attempt_->body;
        const auto capacity = context_.answer_memory.grown(
            body.capacity(), body.size() + bytes.size());
        if (!reserve_body_memory(capacity))
            return;
        body.reserve(capacity);
        body += bytes;
        return;
    }
    if (!reserve_body_memory(attempt_->splitter.partial_bytes() + bytes.size()))
        return;
    forward_events(attempt_->splitter.feed(bytes));
    if (!is_finished_ && attempt_ && caller_ &&
        caller_->unsent_bytes() > caller_high_water)
        attempt_->connection->pause();
}

/// Accounts for the buffered part of a response. Aborts the exchange and
/// returns false if the memory budget is exceeded, which also stops a response
/// that never ends.
bool gateway_call::reserve_body_memory(std::size_t size)
{
    if (attempt_->memory.resize(size))
        return true;
    log_discarded_answer(size);
    const auto connection = attempt_->connection;
    connection->cancel();
    on_end(exchange_result::malformed);
    return false;
}

/// Discards the buffered part of a response for other requests, whose responses
/// need less memory. The exchange ends after the current handler, which belongs
/// to one of these.
void gateway_call::give_up_answer()
{
    log_discarded_answer(attempt_->memory.size());
    const auto connection = attempt_->connection;
    connection->cancel();
    attempt_->body = std::string();
    attempt_->memory.resize(0);
    context_.timers.cancel(attempt_timer_);
    const auto self = shared_from_this();
    context_.timers.add(steady_now(), [self, connection] {
        if (self->attempt_ && self->attempt_->connection == connection)
            self->on_end(exchange_result::malformed);
    });
}

void gateway_call::log_discarded_answer(std::size_t size) const
{
    log_event(log_level::warn, "answer_too_large")
        .with("request", facts_.client_attempt_id)
        .with("server", attempt_->server.value())
        .with("bytes", static_cast<std::int64_t>(size))
        .with("held_by_all",
              static_cast<std::int64_t>(context_.answer_memory.held()));
}

void gateway_call::forward_events(const std::vector<std::string>& events)
{
    std::string out;
    for (const auto& event : events) {
        if (is_duplicate_event(event))
            continue;
        out += event;
    }
    if (events.empty() || out.empty())
        return;
    attempt_->last_progress_at = steady_now();
    if (!attempt_->has_first_event) {
        attempt_->has_first_event = true;
        context_.loads.on_answer_started(attempt_->server, attempt_->ticket);
        context_.wake_waiting_calls();
        const auto elapsed = steady_now() - attempt_->sent_at;
        if (attempt_->order == prompt_order::yields)
            observe_yielded(steady_now());
        else if (is_for_engine() && !is_delivering_)
            context_.paces[facts_.model].observe(attempt_->tokens_ahead,
                                                 elapsed);
    }
    if (!is_delivering_)
        begin_stream();
    if (caller_)
        caller_->send_stream_part(out);
}

/// Records the id of the event. Returns true if the caller already received
/// the event before the stream was resumed.
bool gateway_call::is_duplicate_event(const std::string& event)
{
    const auto id = event_id(event);
    if (id.empty())
        return false;
    const auto number = to_number(id);
    const auto last = to_number(last_event_);
    if (number && last && *number <= *last)
        return true;
    last_event_ = std::string(id);
    return false;
}

void gateway_call::begin_stream()
{
    is_delivering_ = true;
    record_first_event();
    answer_head head = *attempt_->head;
    head.headers = end_to_end_headers(head.headers, *context_.platform.codec);
    caller_->begin_stream(head);
}

void gateway_call::record_first_event()
{
    first_event_ms_ = (steady_now() - received_at_).count();
    context_.measures.record_first_event(static_cast<double>(first_event_ms_));
}

bool gateway_call::is_authentic_answer() const
{
    const auto& facts = attempt_->facts;
    return facts.signed_by_server &&
           facts.client_attempt_id == facts_.client_attempt_id;
}

/// Returns false for a response that may be a late copy of an earlier one: it
/// arrived on a reused connection and carries no client attempt id.
bool gateway_call::belongs_to_request() const
{
    return !attempt_->facts.client_attempt_id.empty() ||
           !attempt_->connection->is_reused();
}

/// Returns by what the response of the attempt is known to belong to this
/// request, for the log.
const char* gateway_call::answer_origin() const
{
    if (!attempt_->head)
        return "none";
    if (!attempt_->facts.client_attempt_id.empty())
        return "id";
    return attempt_->connection->is_reused() ? "unknown" : "new_connection";
}

/// Returns true for a failure response to a repeatable request, which may be
/// retried.
bool gateway_call::is_retryable_failure() const
{
    return route_->is_retryable() && is_failure(attempt_->head->status);
}

attempt_outcome gateway_call::classify(exchange_result end) const
{
    if (!attempt_->has_begun_sending)
        return attempt_outcome::not_sent;
    if (attempt_->head && !belongs_to_request())
        return attempt_outcome::lost_before_answer;
    if (attempt_->head && attempt_->facts.not_run)
        return attempt_outcome::refused_by_server;
    if (end != exchange_result::complete)
        return is_delivering_ ? attempt_outcome::lost_during_answer
                              : attempt_outcome::lost_before_answer;
    if (attempt_->is_streamed)
        return attempt_->splitter.has_partial()
                   ? attempt_outcome::lost_during_answer
                   : attempt_outcome::answered;
    if (is_delivering_)
        return attempt_outcome::lost_during_answer;
    const auto status = attempt_->head->status;
    if (is_success(status) && !is_authentic_answer())
        return attempt_outcome::lost_before_answer;
    if (is_retryable_failure())
        return attempt_outcome::lost_before_answer;
    if (promises_not_run(status) && !route_->is_retryable())
        return attempt_outcome::lost_before_answer;
    return attempt_outcome::answered;
}

void gateway_call::on_end(exchange_result end)
{
    if (is_finished_ || !attempt_)
        return;
    const auto now = steady_now();
    context_.timers.cancel(attempt_timer_);
    attempt_->is_answer_complete = end == exchange_result::complete;
    const auto ended = classify(end);
    record_attempt_end(ended, end, now);
    report_to_crash_watch(end, ended, now);
    if (ended == attempt_outcome::refused_by_server)
        on_rejected_by_server(now);
    after_attempt(ended, now);
}

/// Reports a connection that ended under the request, and clears the request
/// after a complete response. If the end of the connection is that of the
/// response, the server's process may have ended too.
void gateway_call::report_to_crash_watch(exchange_result exchange,
                                         attempt_outcome end,
                                         time_point now)
{
    // A server that fails may not have got far enough to crash.
    const bool is_sound = end == attempt_outcome::answered &&
                          is_authentic_answer() &&
                          !is_failure(attempt_->head->status);
    const bool ended_by_close = attempt_->connection->ended_by_close();
    const bool is_broken =
        exchange == exchange_result::lost && attempt_->has_begun_sending;
    if (is_broken || ended_by_close)
        context_.crashes.on_connection_ended(
            {attempt_->server, attempt_->started_ms},
            attempt_->target,
            {suspects_, attempt_->sent_at},
            is_sound);
    else if (is_sound)
        context_.clear_suspects(suspects_, now);
}

void gateway_call::record_attempt_end(attempt_outcome end,
                                      exchange_result exchange,
                                      time_point now)
{
    const bool good = end == attempt_outcome::answered;
    // A server that rejects requests without running them would look idle.
    const bool is_misdirected = end == attempt_outcome::refused_by_server &&
                                attempt_->head->status == status_misdirected;
    const auto result = good             ? load_outcome::good
                        : is_misdirected ? load_outcome::refused
                                         : load_outcome::failed;
    release_server(result, now);
    if (!good) {
        log_event(log_level::warn, "send_failed")
            .with("request", facts_.client_attempt_id)
            .with("server", attempt_->server.value())
            .with("end", static_cast<std::int64_t>(end))
            .with("exchange", exchange_result_name(exchange))
            .with("fingerprint", fingerprint_text())
            .with("status", attempt_->head ? attempt_->head->status : 0)
            .with("answer", answer_origin())
            .with("connection",
                  static_cast<std::int64_t>(attempt_->connection->number()))
            .with("after_ms",
                  attempt_->has_begun_sending
                      ? (now - attempt_->sent_at).count()
                      : 0);
        return;
    }
    if (is_for_engine()) {
        auto& total = context_.request_shapes[service_].total_ms;
        total +=
            smoothing_weight *
            (static_cast<double>((now - attempt_->sent_at).count()) - total);
    }
    if (is_for_engine() || route_->kind == call_kind::stream)
        return;
    auto& time =
        context_.service_times_ms.try_emplace(service_, default_service_ms)
            .first->second;
    const auto sample = static_cast<double>((now - attempt_->sent_at).count());
    time += smoothing_weight * (sample - time);
}

/// Records why the server did not run the request: the server is another
/// process, or the model is not resident. A server without capacity needs no
/// record.
void gateway_call::on_rejected_by_server(time_point now)
{
    const auto& server = attempt_->server;
    if (attempt_->facts.wrong_server)
        context_.directory.mark_misdirected(server);
    else if (is_for_engine() && attempt_->head->status == status_misdirected)
        context_.directory.not_held(server, facts_.model, facts_.adapter, now);
}

void gateway_call::after_attempt(attempt_outcome end, time_point now)
{
    if (end == attempt_outcome::lost_before_answer ||
        end == attempt_outcome::lost_during_answer)
        ++run_count_;
    const bool is_not_run = end == attempt_outcome::not_sent ||
                            end == attempt_outcome::refused_by_server;
    // An attempt that was withdrawn is gone, and had not begun.
    if (is_not_run && attempt_ && attempt_->has_begun_sending)
        --uncertain_sends_;
    const bool may_run =
        run_count_ < static_cast<int>(std::max(route_->max_runs, 1U));
    const bool is_decided = end == attempt_outcome::not_sent;
    const bool may_retry = may_run && (is_decided || reserve_retry(now));
    const auto step =
        progress_->after_attempt(end, is_delivering_, may_retry, now);
    switch (step) {
    case next_step::finish:
        if (attempt_->is_streamed)
            finish_stream();
        else
            deliver_answer();
        return;
    case next_step::retry:
    case next_step::resume: {
        const bool was_rejected = end == attempt_outcome::refused_by_server;
        attempt_.reset();
        if (was_rejected)
            retry_elsewhere(now);
        else
            dispatch();
        return;
    }
    case next_step::refuse_not_run:
        reject(errc::overloaded, context_.draw_retry_delay());
        return;
    case next_step::report_unknown:
        // The server's own failure response is more informative than one of
        // the gateway.
        if (attempt_ && attempt_->head && belongs_to_request() &&
            is_retryable_failure() && attempt_->facts.signed_by_server &&
            attempt_->is_answer_complete)
            deliver_answer();
        else
            reject(errc::outcome_unknown, std::nullopt);
        return;
    case next_step::abort_answer:
        finish(errc::connection_lost);
        return;
    }
}

bool gateway_call::reserve_retry(time_point now)
{
    if (!retry_)
        retry_ = context_.budget(service_).reserve_retry(now);
    return retry_ != nullptr;
}

/// Sends a rejected request to another server at once, or retries the same
/// server after a delay.
void gateway_call::retry_elsewhere(time_point now)
{
    wait_reason reason = wait_reason::no_server;
    const auto next = choose(now, reason);
    if (next && !sends_per_server_.contains(next->server)) {
        if (!reject_if_quarantined(now))
            send_or_wait(*next, now);
        return;
    }
    const auto self = shared_from_this();
    context_.timers.add(now + same_server_retry_delay,
                        [self] { self->dispatch(); });
}

void gateway_call::finish_stream()
{
    if (!is_delivering_)
        begin_stream();
    const auto caller = caller_;
    finish(errc::ok);
    if (caller)
        caller->end_stream();
}

void gateway_call::deliver_answer()
{
    record_first_event();
    answer_head head = *attempt_->head;
    head.headers = end_to_end_headers(head.headers, *context_.platform.codec);
    const std::string body = std::move(attempt_->body);
    // The caller's connection accounts for it from here on.
    attempt_->memory.resize(0);
    const auto caller = caller_;
    finish(errc::ok);
    if (caller)
        caller->send_answer(head, body);
}

} // namespace barleyfork
