#include "gateway_call.hpp"

#include <barleyfork/base/log.hpp>

#include <algorithm>
#include <random>

namespace barleyfork {

namespace {

/// A request waits for a server for at most one third of its remaining time,
/// and for at most twice its latency target.
constexpr int wait_time_divisor = 3;
constexpr int max_wait_targets = 2;
/// A caller that is rejected because of the servers' limits may find another
/// daemon that is allowed to send; it is not kept away for longer than this.
constexpr duration max_limit_delay{2000};
/// The times after which a call that waits for room decides again.
constexpr duration min_room_delay{50};
constexpr duration max_room_delay{250};

} // namespace

void gateway_call::send_or_wait(const choice& chosen, time_point now)
{
    const auto decision = decide_room(chosen, now);
    switch (decision.outcome) {
    case room_outcome::refuse:
        reject_for_room(decision, now);
        return;
    case room_outcome::wait:
        wait_for_room(decision, now);
        return;
    case room_outcome::send:
        break;
    }
    is_promoted_ = is_promoted_ || decision.is_promoted;
    const auto sent = waiting_needs(now, now);
    stop_waiting();
    context_.room.on_sent(group(), sent, now);
    start_attempt(chosen, now);
}

/// Waits until there may be room, and decides again then: what is hopeless by
/// that time is refused without further waiting.
void gateway_call::wait_for_room(const room_decision& decision, time_point now)
{
    if (!waiting_since_)
        enter_waiting_room(wait_reason::no_capacity, decision.until, now);
    context_.timers.cancel(room_timer_);
    const auto self = shared_from_this();
    room_timer_ = context_.timers.add(
        now + std::clamp(decision.room_in, min_room_delay, max_room_delay),
        [self] {
            self->room_timer_ = 0;
            self->dispatch();
        });
}

/// Rejects the request with the time at which there will be room. Callers
/// honour up to a third of the time that they have left.
void gateway_call::reject_for_room(const room_decision& decision,
                                   time_point now)
{
    const auto left = std::max(deadline_ - now, duration{0});
    const auto bound =
        std::max(left / wait_time_divisor, gateway_context::min_retry_delay);
    const auto spacing_ms = room_needs().own_ms;
    const auto delay =
        std::max(context_.room.promise_return(
                     group(),
                     decision.room_in,
                     spacing_ms,
                     bound,
                     std::generate_canonical<double, 53>(context_.random),
                     now),
                 gateway_context::min_retry_delay);
    context_.measures.count_room_refusal(decision.reason, is_returned());
    log_event(log_level::info, "room_refused")
        .with("request", facts_.client_attempt_id)
        .with("model", facts_.model.value())
        .with("reason", room_reason_name(decision.reason))
        .with("room_in_ms", decision.room_in.count())
        .with("retry_after_ms", delay.count())
        .with("waited_ms", (now - received_at_).count())
        .with("returned", is_returned() ? 1 : 0);
    reject(errc::overloaded, delay);
}

void gateway_call::wait_for_server(wait_reason reason, time_point now)
{
    if (reason == wait_reason::no_adapter) {
        context_.demand_to_report.needs.emplace(facts_.model, facts_.adapter);
        if (context_.on_adapter_needed)
            context_.on_adapter_needed();
    }
    auto max_wait = (expected_disconnect_at() - now) / wait_time_divisor;
    if (reason == wait_reason::servers_rejecting) {
        const auto earliest = earliest_acceptance(now);
        if (earliest > now + max_wait) {
            reject(errc::no_replica,
                   earliest - now + context_.draw_retry_delay());
            return;
        }
    }
    if (waiting_since_)
        return;
    if (reason == wait_reason::limited) {
        const auto earliest = earliest_within_limit(now);
        if (earliest > now + max_wait) {
            reject(errc::overloaded,
                   std::min(earliest - now, max_limit_delay) +
                       context_.draw_retry_delay());
            return;
        }
        limited_wait_ = server_group(service_, facts_.model);
        ++context_.limited_waits[*limited_wait_];
    }
    if (route_->latency_target.count() > 0)
        max_wait =
            std::min(max_wait, max_wait_targets * route_->latency_target);
    enter_waiting_room(reason, now + max_wait, now);
}

void gateway_call::enter_waiting_room(wait_reason reason,
                                      time_point until,
                                      time_point now)
{
    waiting_since_ = now;
    context_.measures.count_wait(wait_reason_name(reason));
    log_event(log_level::info, "request_waits")
        .with("request", facts_.client_attempt_id)
        .with("model", facts_.model.value())
        .with("adapter", facts_.adapter)
        .with("reason", wait_reason_name(reason))
        .with("patience_ms", (until - now).count());
    const auto self = shared_from_this();
    waiting_ticket_ = context_.room.add(group(), waiting_needs(until, now));
    context_.waiting_calls[waiting_ticket_] = [self] {
        self->dispatch();
    };
    wait_timer_ = context_.timers.add(until, [self] {
        self->wait_timer_ = 0;
        self->reject(errc::no_replica, self->context_.draw_retry_delay());
    });
}

void gateway_call::stop_waiting()
{
    context_.timers.cancel(wait_timer_);
    context_.timers.cancel(room_timer_);
    if (!waiting_since_)
        return;
    context_.waiting_calls.erase(waiting_ticket_);
    context_.room.remove(waiting_ticket_);
    if (limited_wait_ && --context_.limited_waits[*limited_wait_] == 0)
        context_.limited_waits.erase(*limited_wait_);
    limited_wait_.reset();
    context_.measures.record_wait(
        static_cast<double>((steady_now() - *waiting_since_).count()));
    waiting_since_.reset();
}

} // namespace barleyfork
