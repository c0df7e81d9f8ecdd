// The part of gateway_call that sends the request to a chosen server.

#include "gateway_call.hpp"

#include <barleyfork/base/log.hpp>

#include <algorithm>
#include <cmath>

namespace barleyfork {

namespace {

/// A healthy server responds within this multiple of the expected time.
constexpr double attempt_timeout_factor = 4.0;
constexpr double hundred = 100.0;

} // namespace

header_list gateway_call::forward_headers(const server_id& server,
                                          time_point now) const
{
    forwarding_metadata facts;
    facts.expected = server;
    facts.time_left = std::max(deadline_ - now, duration{1});
    if (is_for_engine())
        facts.urgency = engine_urgency(
            configuration_->priorities, urgency(), attempt_->order);
    facts.organisation = request_.organisation;
    if (is_delivering_)
        facts.resume_after = last_event_;
    return context_.platform.codec->make_forwarding_headers(facts);
}

void gateway_call::start_attempt(const choice& chosen, time_point now)
{
    attempt_.emplace(chosen, context_.answer_memory);
    attempt_->memory.on_reclaimed([this] { give_up_answer(); });
    if (!facts_.adapter.empty())
        attempt_->adapter_in_use.emplace(
            context_.adapters,
            make_adapter_use(chosen.server, facts_.model, facts_.adapter));
    attempt_->suspected = is_suspected(now);
    if (attempt_->suspected)
        context_.suspects.begin(suspects_.request, chosen.server);
    const auto priority = load_priority(chosen.order);
    const auto load = context_.loads.view(chosen.server, priority, now);
    attempt_->tokens_ahead = load.own_waiting_tokens + facts_.prompt_tokens;
    context_.count_against_limit({chosen.server, chosen.started_ms}, now);
    attempt_->ticket = context_.loads.begin(chosen.server,
                                            facts_.prompt_tokens,
                                            priority,
                                            now,
                                            facts_.max_output_tokens);
    if (chosen.order == prompt_order::yields)
        context_.measures.count_yielded_prompt();
    attempt_->connection = context_.pool.acquire(
        chosen.target, facts_.client_attempt_id, route_->is_retryable(), now);
    ++sends_per_server_[chosen.server];
    log_event(log_level::info, "request_sent")
        .with("request", facts_.client_attempt_id)
        .with("caller", request_.caller_address)
        .with("organisation", request_.organisation.value())
        .with("server", chosen.server.value())
        .with("fingerprint", fingerprint_text())
        .with("prompt_parts", prompt_parts_text())
        .with("model", facts_.model.value())
        .with("adapter", facts_.adapter)
        .with("send", send_count_ + 1)
        .with("candidates", static_cast<std::int64_t>(chosen.candidates))
        .with("prompt_tokens", static_cast<std::int64_t>(facts_.prompt_tokens))
        .with("tokens_ahead", static_cast<std::int64_t>(attempt_->tokens_ahead))
        .with("yields", chosen.order == prompt_order::yields ? 1 : 0)
        .with("slowness_percent", std::llround(hundred * load.slowness))
        .with("expected_ms", static_cast<std::int64_t>(chosen.expected_ms))
        .with("load_age_ms", load.reported ? load.report_age.count() : -1)
        .with("configuration",
              static_cast<std::int64_t>(configuration_->version))
        .with("connection",
              static_cast<std::int64_t>(attempt_->connection->number()))
        .with("exchange_number",
              static_cast<std::int64_t>(attempt_->connection->exchange_count() +
                                        1));
    start_attempt_timer(chosen, now);
    attempt_->connection->exchange(facts_.client_attempt_id,
                                   request_.method == "HEAD",
                                   shared_from_this());
}

outgoing_request gateway_call::on_send_started()
{
    const auto now = steady_now();
    if (!may_still_send(now)) {
        withdraw_attempt(now);
        return {};
    }
    attempt_->has_begun_sending = true;
    attempt_->sent_at = now;
    if (send_count_ == 0) {
        context_.budget(service_).record_first_attempt(now);
    }
    else {
        if (retry_)
            retry_->spend(now);
        retry_.reset();
        context_.measures.count_retry();
    }
    ++send_count_;
    ++uncertain_sends_;
    return write_request(request_,
                         *context_.platform.codec,
                         forward_headers(attempt_->server, now));
}

/// Connecting can take long. Meanwhile the server may have rejected another
/// request, or this request may have been quarantined for crashing servers.
bool gateway_call::may_still_send(time_point now) const
{
    const auto* state = context_.directory.find(attempt_->server);
    const bool is_rejecting = state != nullptr && state->rejects_requests(now);
    return !is_rejecting && !context_.quarantine.refusal_cause(suspects_, now);
}

/// Records how long a prompt that gave way has waited so far.
void gateway_call::observe_yielded(time_point now)
{
    context_.interference[service_].observe_yielded(
        attempt_->expected_ms,
        static_cast<double>((now - attempt_->sent_at).count()),
        now);
}

/// Ends an attempt of which no byte was sent. The request is sent to another
/// server or rejected.
void gateway_call::withdraw_attempt(time_point now)
{
    log_event(log_level::info, "send_withdrawn")
        .with("request", facts_.client_attempt_id)
        .with("server", attempt_->server.value())
        .with("fingerprint", fingerprint_text());
    abandon_attempt(load_outcome::unknown, now);
    after_attempt(attempt_outcome::not_sent, now);
}

/// Bounds how long a repeatable request waits for a server that is much slower
/// than expected while another server could respond.
void gateway_call::start_attempt_timer(const choice& chosen, time_point now)
{
    if (!route_->is_retryable() || is_delivering_)
        return;
    const auto self = shared_from_this();
    attempt_timer_ = context_.timers.add(now + patience(chosen), [self] {
        self->attempt_timer_ = 0;
        self->on_attempt_timeout();
    });
}

/// Returns how long a sound server may take until its response begins.
duration gateway_call::patience(const choice& chosen) const
{
    const auto expected =
        static_cast<std::int64_t>(attempt_timeout_factor * chosen.expected_ms);
    return std::max(duration(expected), route_->latency_target);
}

void gateway_call::on_attempt_timeout()
{
    if (is_finished_ || !attempt_ || attempt_->head || is_delivering_)
        return;
    const auto now = steady_now();
    wait_reason reason = wait_reason::no_server;
    const auto alternatives = candidates(attempt_->order, now, reason);
    const bool has_untried =
        std::any_of(alternatives.begin(),
                    alternatives.end(),
                    [](const auto& c) { return !c.tried; });
    const bool may_run_again =
        run_count_ + 1 < static_cast<int>(route_->max_runs);
    if (!has_untried || !may_run_again ||
        !context_.budget(service_).allows_retry(now))
        return;
    log_event(log_level::warn, "server_too_slow")
        .with("request", facts_.client_attempt_id)
        .with("server", attempt_->server.value())
        .with("waited_ms", (now - attempt_->sent_at).count());
    abandon_attempt(load_outcome::failed, now);
    after_attempt(attempt_outcome::lost_before_answer, now);
}

} // namespace barleyfork
