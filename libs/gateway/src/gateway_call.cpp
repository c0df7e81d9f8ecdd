#include "gateway_call.hpp"

#include "local_answer.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/core/request_demand.hpp>

#include <algorithm>
#include <utility>

namespace barleyfork {

namespace {

/// Applies if neither the caller nor the route specifies a timeout.
constexpr duration default_timeout{30000};
/// The maximum number of attempts of one request, including rejected ones.
constexpr int max_sends = 4;
/// The weight of a new sample in the mean work of a request.
constexpr double work_smoothing = 0.02;
/// Reading from a server resumes once fewer than this many bytes are unsent to
/// the caller.
constexpr std::size_t caller_low_water = std::size_t{64} * 1024;

} // namespace

gateway_call::gateway_call(gateway_context& context,
                           std::shared_ptr<caller_port> caller,
                           caller_request request)
    : context_(context), caller_(std::move(caller)),
      request_(std::move(request))
{
    call_number_ = ++context_.call_count;
    context_.active_calls[call_number_] = [this] {
        on_shutdown();
    };
}

gateway_call::~gateway_call()
{
    context_.active_calls.erase(call_number_);
}

void gateway_call::begin()
{
    const auto now = steady_now();
    received_at_ = now;
    deadline_ = now + default_timeout;
    facts_ = context_.platform.codec->parse_request_metadata(request_.headers);
    configuration_ = context_.configuration;
    if (!identify_caller())
        return;
    suspects_ = make_suspects();
    if (!find_route())
        return;
    if (!is_accepted_while_draining(now)) {
        reject(errc::draining, gateway_context::min_retry_delay);
        return;
    }
    set_deadline(now);
    if (use_quota())
        run_admitted();
}

void gateway_call::run_admitted()
{
    count_demand();
    wake_calls_ahead(steady_now());
    dispatch();
}

bool gateway_call::is_accepted_while_draining(time_point now) const
{
    return route_->kind == call_kind::stream
               ? context_.drain.accepts_streams(now)
               : context_.drain.accepts_plain(now, deadline_of(now));
}

std::uint32_t gateway_call::priority() const
{
    return request_priority(*configuration_, *route_, organisation_);
}

bool gateway_call::find_route()
{
    if (!configuration_ || !context_.has_server_list) {
        reject(errc::store_unavailable, context_.draw_retry_delay());
        return false;
    }
    const auto host = find_header(request_.headers, "host").value_or("");
    route_ = match_route(*configuration_, host, request_.path());
    const auto* chosen = route_ == nullptr
                             ? nullptr
                             : choose_service(*route_, context_.random());
    if (chosen == nullptr) {
        log_missing_route(host);
        reject(errc::not_found, std::nullopt);
        return false;
    }
    service_ = *chosen;
    return true;
}

void gateway_call::log_missing_route(std::string_view host) const
{
    log_event(log_level::warn, "route_missing")
        .with("request", facts_.client_attempt_id)
        .with("host", host)
        .with("path", request_.path())
        .with("version", static_cast<std::int64_t>(configuration_->version))
        .with("age_ms",
              (steady_now() - context_.configuration_known_at).count());
}

time_point gateway_call::deadline_of(time_point arrived_at) const
{
    auto timeout = facts_.time_left.value_or(default_timeout);
    if (route_->timeout.count() > 0)
        timeout = std::min(timeout, route_->timeout);
    return arrived_at + timeout;
}

void gateway_call::set_deadline(time_point now)
{
    deadline_ = deadline_of(now);
    request_traits traits;
    traits.idempotent = route_->is_retryable();
    traits.resumable = route_->resumable;
    traits.max_tries = max_sends;
    traits.deadline = deadline_;
    progress_.emplace(traits);
    const auto self = shared_from_this();
    deadline_timer_ = context_.timers.add(deadline_, [self] {
        self->deadline_timer_ = 0;
        self->on_deadline();
    });
}

const gateway_service* gateway_call::service() const
{
    return configuration_->find_service(service_);
}

bool gateway_call::is_for_engine() const
{
    const auto* declared = service();
    return declared != nullptr && declared->engine && !facts_.model.empty();
}

engine_work gateway_call::work() const
{
    engine_work work;
    work.prompt_tokens = facts_.prompt_tokens;
    const auto found = context_.paces.find(facts_.model);
    const auto pace =
        found == context_.paces.end() ? pace_estimator() : found->second;
    work.ms_per_token = pace.ms_per_token();
    work.base_ms = pace.base_ms();
    work.uncertainty_ms = context_.unreported_work_ms();
    work.memory_tokens = facts_.total_tokens();
    const auto shape = context_.request_shapes.find(service_);
    if (shape != context_.request_shapes.end()) {
        work.usual_memory_tokens = shape->second.memory_tokens;
        work.usual_total_ms = shape->second.total_ms;
    }
    return work;
}

void gateway_call::count_demand()
{
    if (!is_for_engine())
        return;
    const auto found = context_.paces.find(facts_.model);
    const double work_s = demanded_work(
        facts_.prompt_tokens,
        facts_.max_output_tokens,
        found == context_.paces.end() ? pace_estimator() : found->second);
    context_.demand_to_report.work[facts_.model] += work_s;
    auto& mean_s =
        context_.request_work_s.try_emplace(service_, work_s).first->second;
    mean_s += work_smoothing * (work_s - mean_s);
    context_.interference[service_].observe_prompt(facts_.prompt_tokens);
    const auto memory_tokens = static_cast<double>(facts_.total_tokens());
    auto& usual_tokens =
        context_.request_shapes
            .try_emplace(service_, request_shape{memory_tokens, 0.0})
            .first->second.memory_tokens;
    usual_tokens += work_smoothing * (memory_tokens - usual_tokens);
    if (!facts_.adapter.empty())
        context_.demand_to_report.uses.emplace(facts_.model, facts_.adapter);
}

const char* gateway_call::wait_reason_name(wait_reason reason) noexcept
{
    constexpr const char* names[] = {"no_server",
                                     "no_adapter",
                                     "no_room",
                                     "turned_away",
                                     "kept_apart",
                                     "limit"};
    return names[static_cast<std::size_t>(reason)];
}

void gateway_call::dispatch()
{
    if (is_finished_)
        return;
    const auto now = steady_now();
    if (reject_if_quarantined(now))
        return;
    wait_reason reason = wait_reason::no_server;
    const auto chosen = choose(now, reason);
    if (chosen)
        send_or_wait(*chosen, now);
    else
        wait_for_server(reason, now);
}

void gateway_call::on_deadline()
{
    if (is_finished_)
        return;
    const auto now = steady_now();
    const bool sent = attempt_ && attempt_->has_begun_sending;
    if (attempt_)
        abandon_attempt(load_outcome::failed, now);
    if (is_delivering_)
        finish(errc::timeout);
    else if (sent || progress_->may_have_run())
        reject(errc::timeout, std::nullopt);
    else
        reject(errc::overloaded, context_.draw_retry_delay());
}

/// Ends a call whose response has not begun, as its connection would otherwise
/// be closed without a response. A response that has begun may still complete.
void gateway_call::on_shutdown()
{
    const auto self = shared_from_this();
    if (!is_delivering_)
        on_deadline();
}

void gateway_call::on_caller_disconnected()
{
    if (is_finished_)
        return;
    caller_.reset();
    if (attempt_)
        abandon_attempt(outcome_when_caller_left(steady_now()), steady_now());
    finish(errc::connection_lost);
}

/// Returns how the server of an attempt counts whose caller left. A server that
/// had begun its response did well; one that was silent for too long, before it
/// or within a stream, did not.
load_outcome gateway_call::outcome_when_caller_left(time_point now) const
{
    if (attempt_->head)
        return is_stalled(now) ? load_outcome::failed : load_outcome::good;
    const bool is_too_late = attempt_->has_begun_sending &&
                             now >= attempt_->sent_at + patience(*attempt_);
    return is_too_late ? load_outcome::failed : load_outcome::unknown;
}

/// Returns true if the server of a stream has sent no event for half of the
/// time after which callers leave, though it was not held back.
bool gateway_call::is_stalled(time_point now) const
{
    return attempt_->is_streamed && !attempt_->connection->is_paused() &&
           now >= attempt_->last_progress_at + route_->caller_timeout() / 2;
}

void gateway_call::on_answer_bytes_written()
{
    if (attempt_ && caller_ && caller_->unsent_bytes() < caller_low_water)
        attempt_->connection->resume();
}

void gateway_call::abandon_attempt(load_outcome end, time_point now)
{
    context_.timers.cancel(attempt_timer_);
    if (!attempt_)
        return;
    const auto& abandoned = *attempt_;
    if (abandoned.order == prompt_order::yields &&
        abandoned.has_begun_sending && !abandoned.has_first_event &&
        now > abandoned.sent_at +
                  duration(static_cast<std::int64_t>(abandoned.expected_ms)))
        observe_yielded(now);
    if (abandoned.has_begun_sending && !abandoned.is_answer_complete)
        context_.crashes.on_request_abandoned(
            {abandoned.server, abandoned.started_ms},
            abandoned.target,
            suspects_);
    attempt_->connection->cancel();
    release_server(end, now);
    attempt_.reset();
}

/// Removes the attempt from the load of its server.
void gateway_call::release_server(load_outcome end, time_point now)
{
    context_.loads.end(attempt_->server, attempt_->ticket, end, now);
    if (!attempt_->suspected)
        return;
    attempt_->suspected = false;
    context_.suspects.end(suspects_.request);
    context_.wake_waiting_calls_soon();
}

void gateway_call::reject(errc kind, std::optional<duration> retry_after)
{
    if (is_finished_)
        return;
    if (is_delivering_) {
        finish(errc::connection_lost);
        return;
    }
    // A status that promises "not run" is only correct for a request that was
    // not run.
    const bool may_have_run = progress_ && progress_->may_have_run();
    const auto reported_kind =
        may_have_run && kind != errc::timeout ? errc::outcome_unknown : kind;
    const auto answer =
        make_local_answer(reported_kind,
                          facts_.client_attempt_id,
                          may_have_run ? std::nullopt : retry_after);
    const auto caller = caller_;
    finish(reported_kind);
    if (caller)
        caller->send_answer(answer.head, answer.body);
}

/// Ends the call with any outcome. Aborts a response that was begun and not
/// completed.
void gateway_call::finish(errc kind)
{
    is_finished_ = true;
    retry_.reset();
    if (attempt_)
        attempt_->adapter_in_use.reset();
    stop_waiting();
    release_quota();
    context_.timers.cancel(deadline_timer_);
    context_.timers.cancel(attempt_timer_);
    context_.measures.count_outcome(kind);
    log_end(kind, attempt_ && attempt_->head ? attempt_->head->status : 0);
    const auto caller = std::move(caller_);
    caller_.reset();
    if (caller && is_delivering_ && kind != errc::ok)
        caller->abort();
}

void gateway_call::log_end(errc kind, unsigned status) const
{
    log_event(kind == errc::ok ? log_level::info : log_level::warn,
              "request_ended")
        .with("request", facts_.client_attempt_id)
        .with("route", route_ == nullptr ? "" : route_->name)
        .with("organisation", request_.organisation.value())
        .with("outcome", error_name(kind))
        .with("status", status)
        .with("sends", send_count_)
        .with("may_have_run", progress_ && progress_->may_have_run() ? 1 : 0)
        .with("first_event_ms", first_event_ms_)
        .with("target_ms",
              route_ == nullptr ? 0 : route_->latency_target.count())
        .with("prompt_tokens", static_cast<std::int64_t>(facts_.prompt_tokens))
        .with("after_ms", (steady_now() - received_at_).count());
}

} // namespace barleyfork
