/// The part of a call that takes in a server's answer.

#include "gateway_call.hpp"

#include "own_answer.hpp"

#include <barleyfork/base/log.hpp>

#include <algorithm>
#include <charconv>

namespace barleyfork {

namespace {

/// A server that refused is not asked again sooner than this.
constexpr duration refusal_pause{30};
/// A server is read no further while its caller has more than this to take.
constexpr std::size_t caller_high_water = std::size_t{256} * 1024;
/// Weight of one more answer in a plain service's smoothed time.
constexpr double time_weight = 0.1;

constexpr unsigned status_misdirected = 421;

bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

/// Statuses that promise a caller that its request was not run.
bool promises_not_run(unsigned status)
{
    return status == 408 || status == status_misdirected || status == 429 ||
           status == 503;
}

/// The id of an event of a stream; empty where it has none.
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
    if (!facts.try_id.empty() && facts.try_id != facts_.try_id) {
        log_event(log_level::warn, "stray_answer_dropped")
            .with("request", facts_.try_id)
            .with("belongs_to", facts.try_id)
            .with("server", attempt_->server.value());
        return false;
    }
    const auto now = steady_now();
    if (facts.load)
        context_.loads.reported(
            attempt_->server, facts.load->running, facts.load->waiting, now);
    attempt_->head = head;
    attempt_->facts = std::move(facts);
    take_server_word(now);
    attempt_->streams = route_->kind == call_kind::stream &&
                        is_success(head.status) && is_sound_answer();
    context_.timers.cancel(patience_timer_);
    if (!attempt_->streams)
        context_.loads.answering(attempt_->server, attempt_->ticket);
    return true;
}

/// What the server says of itself on an answer that is known to be its own.
void gateway_call::take_server_word(time_point now)
{
    if (!belongs_here())
        return;
    const auto& facts = attempt_->facts;
    const auto& server = attempt_->server;
    if (facts.leaving &&
        context_.directory.leaves(server, attempt_->started_ms)) {
        context_.untold_leaving.push_back({server, attempt_->started_ms});
        log_event(log_level::info, "server_says_it_leaves")
            .with("request", facts_.try_id)
            .with("server", server.value());
    }
    if (!facts.wants_nothing_for)
        return;
    const auto until = now + *facts.wants_nothing_for;
    context_.directory.turned_away(server, attempt_->started_ms, until);
    log_event(log_level::info, "server_turned_away")
        .with("request", facts_.try_id)
        .with("server", server.value())
        .with("for_ms", facts.wants_nothing_for->count());
    context_.timers.add(until,
                        [&context = context_] { context.wake_waiting(); });
}

void gateway_call::on_body(std::string_view bytes)
{
    if (!attempt_->streams) {
        auto& body = attempt_->body;
        const auto room =
            context_.answers.grown(body.capacity(), body.size() + bytes.size());
        if (!keep_body(room))
            return;
        body.reserve(room);
        body += bytes;
        return;
    }
    if (!keep_body(attempt_->splitter.partial_bytes() + bytes.size()))
        return;
    forward_events(attempt_->splitter.feed(bytes));
    if (!over_ && attempt_ && caller_ && caller_->unsent() > caller_high_water)
        attempt_->connection->pause();
}

/// Counts what is held of an answer; one that grows beyond the limits is
/// broken off, as one that never ends would be.
bool gateway_call::keep_body(std::size_t size)
{
    if (attempt_->memory.resize(size))
        return true;
    log_event(log_level::warn, "answer_too_large")
        .with("request", facts_.try_id)
        .with("server", attempt_->server.value())
        .with("bytes", static_cast<std::int64_t>(size))
        .with("held_by_all",
              static_cast<std::int64_t>(context_.answers.held()));
    const auto connection = attempt_->connection;
    connection->cancel();
    on_end(exchange_end::malformed);
    return false;
}

void gateway_call::forward_events(const std::vector<std::string>& events)
{
    std::string out;
    for (const auto& event : events) {
        if (is_repeated_event(event))
            continue;
        out += event;
    }
    if (events.empty() || out.empty())
        return;
    if (!attempt_->first_event) {
        attempt_->first_event = true;
        context_.loads.answering(attempt_->server, attempt_->ticket);
        context_.wake_waiting();
        const auto elapsed = steady_now() - attempt_->sent_at;
        if (for_engine() && !delivering_)
            context_.paces[facts_.model].observe(attempt_->tokens_ahead,
                                                 elapsed);
    }
    if (!delivering_)
        begin_stream();
    if (caller_)
        caller_->send_part(out);
}

/// Remembers how far the caller has come; true for what it has already.
bool gateway_call::is_repeated_event(const std::string& event)
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
    delivering_ = true;
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

bool gateway_call::is_sound_answer() const
{
    const auto& facts = attempt_->facts;
    return facts.signed_by_server && facts.try_id == facts_.try_id;
}

/// False for an answer that may be a late copy of an earlier one: it came on
/// a connection that was used before and does not say whose it is.
bool gateway_call::belongs_here() const
{
    return !attempt_->facts.try_id.empty() ||
           !attempt_->connection->is_reused();
}

/// A failing answer of an idempotent request, worth another try.
bool gateway_call::is_failure_to_repeat() const
{
    constexpr unsigned first_failure = 500;
    return route_->repeatable() && attempt_->head->status >= first_failure;
}

attempt_end gateway_call::classify(exchange_end end) const
{
    if (!attempt_->sending)
        return attempt_end::not_sent;
    if (attempt_->head && !belongs_here())
        return attempt_end::lost_before_answer;
    if (attempt_->head && attempt_->facts.not_run)
        return attempt_end::refused_by_server;
    if (end != exchange_end::whole)
        return delivering_ ? attempt_end::lost_in_answer
                           : attempt_end::lost_before_answer;
    if (attempt_->streams)
        return attempt_->splitter.has_partial() ? attempt_end::lost_in_answer
                                                : attempt_end::answered;
    if (delivering_)
        return attempt_end::lost_in_answer;
    const auto status = attempt_->head->status;
    if (is_success(status) && !is_sound_answer())
        return attempt_end::lost_before_answer;
    if (is_failure_to_repeat())
        return attempt_end::lost_before_answer;
    if (promises_not_run(status) && !route_->repeatable())
        return attempt_end::lost_before_answer;
    return attempt_end::answered;
}

void gateway_call::on_end(exchange_end end)
{
    if (over_ || !attempt_)
        return;
    const auto now = steady_now();
    context_.timers.cancel(patience_timer_);
    attempt_->answer_whole = end == exchange_end::whole;
    const auto ended = classify(end);
    record_end(ended, end, now);
    if (end == exchange_end::lost && attempt_->sending)
        context_.crashes.on_broken({attempt_->server, attempt_->started_ms},
                                   attempt_->target,
                                   {fingerprint_, attempt_->sent_at});
    if (ended == attempt_end::answered && is_sound_answer())
        context_.quarantine.on_answer(fingerprint_, now);
    if (ended == attempt_end::refused_by_server)
        on_refused_by_server(now);
    after_attempt(ended, now);
}

void gateway_call::record_end(attempt_end end,
                              exchange_end exchange,
                              time_point now)
{
    const bool good = end == attempt_end::answered;
    // A server that turns requests away without running them looks idle.
    const bool not_held = end == attempt_end::refused_by_server &&
                          attempt_->head->status == status_misdirected;
    const auto record = good       ? load_end::good
                        : not_held ? load_end::refused
                                   : load_end::failed;
    release_server(record, now);
    if (!good) {
        log_event(log_level::warn, "send_failed")
            .with("request", facts_.try_id)
            .with("server", attempt_->server.value())
            .with("end", static_cast<std::int64_t>(end))
            .with("exchange", exchange_end_name(exchange))
            .with("fingerprint", fingerprint_text())
            .with("status", attempt_->head ? attempt_->head->status : 0)
            .with("after_ms",
                  attempt_->sending ? (now - attempt_->sent_at).count() : 0);
        return;
    }
    if (for_engine() || route_->kind == call_kind::stream)
        return;
    auto& time =
        context_.service_times.try_emplace(service_, assumed_service_ms)
            .first->second;
    const auto sample = static_cast<double>((now - attempt_->sent_at).count());
    time += time_weight * (sample - time);
}

/// The server did not run it: it is another process, does not hold the
/// model, or has no room.
void gateway_call::on_refused_by_server(time_point now)
{
    const auto& server = attempt_->server;
    if (attempt_->facts.wrong_server)
        context_.directory.misdirected(server);
    else if (for_engine() && attempt_->head->status == status_misdirected)
        context_.directory.not_held(server, facts_.model, facts_.adapter, now);
}

void gateway_call::after_attempt(attempt_end end, time_point now)
{
    if (end == attempt_end::lost_before_answer ||
        end == attempt_end::lost_in_answer)
        ++runs_;
    const bool may_run =
        runs_ < static_cast<int>(std::max(route_->max_runs, 1U));
    const bool room = may_run && (end == attempt_end::not_sent ||
                                  context_.budget(service_).available(now));
    const auto step = progress_->after_attempt(end, delivering_, room, now);
    switch (step) {
    case next_step::finish:
        if (attempt_->streams)
            finish_stream();
        else
            deliver_answer();
        return;
    case next_step::retry:
    case next_step::resume: {
        const bool refused = end == attempt_end::refused_by_server;
        attempt_.reset();
        if (refused)
            send_elsewhere(now);
        else
            dispatch();
        return;
    }
    case next_step::refuse_not_run:
        refuse(errc::overloaded, return_time());
        return;
    case next_step::report_unknown:
        // The server's own failing answer says more than one of ours.
        if (attempt_ && attempt_->head && belongs_here() &&
            is_failure_to_repeat() && attempt_->facts.signed_by_server &&
            attempt_->answer_whole)
            deliver_answer();
        else
            refuse(errc::outcome_unknown, std::nullopt);
        return;
    case next_step::abort_answer:
        finish(errc::connection_lost);
        return;
    }
}

/// After a refusal: at once to another server; the same one gets a pause.
void gateway_call::send_elsewhere(time_point now)
{
    lack why = lack::no_server;
    const auto next = choose(now, why);
    if (next && !tried_.contains(next->server)) {
        if (!refuse_quarantined(now))
            send_or_wait(*next, now);
        return;
    }
    const auto self = shared_from_this();
    context_.timers.add(now + refusal_pause, [self] { self->dispatch(); });
}

void gateway_call::finish_stream()
{
    if (!delivering_)
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
    const auto caller = caller_;
    finish(errc::ok);
    if (caller)
        caller->send_whole(head, body);
}

} // namespace barleyfork
