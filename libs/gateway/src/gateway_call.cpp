#include "gateway_call.hpp"

#include "own_answer.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/base/text.hpp>

#include <algorithm>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

/// Where neither caller nor route gives a time.
constexpr duration default_timeout{30000};
/// Sends of one request, refused ones included.
constexpr int most_sends = 4;
/// A server that refused may be asked once more.
constexpr int most_sends_to_one = 2;
/// A request waits for a server for this share of its time at most, and not
/// for more than so many times its target.
constexpr int wait_share = 3;
constexpr int wait_targets = 2;
/// Expected times to the first event, as shares of the target, up to which a
/// request is sent and from which it is refused at once.
constexpr double queue_target_share = 2.0;
constexpr double hopeless_target_share = 6.0;
/// A caller that is told to return comes between these.
constexpr duration shortest_return{200};
constexpr duration longest_return{800};
/// A sound server answers within this many times of what is expected.
constexpr double patience_factor = 4.0;
/// What an output token costs beside a prompt token.
constexpr double output_weight = 2.5;
constexpr double ms_per_second = 1000.0;
/// A server is read on once its caller has no more than this to take.
constexpr std::size_t caller_low_water = std::size_t{64} * 1024;

asio::ip::tcp::endpoint endpoint_of(const backend_entry& entry)
{
    boost::system::error_code error;
    return {asio::ip::make_address(entry.address, error), entry.port};
}

} // namespace

gateway_call::gateway_call(gateway_context& context,
                           std::shared_ptr<caller_port> caller,
                           caller_request request)
    : context_(context), caller_(std::move(caller)),
      request_(std::move(request)), fingerprint_(request_.fingerprint())
{
    number_ = ++context_.calls_begun;
    context_.calls[number_] = [this] {
        on_daemon_ends();
    };
}

gateway_call::~gateway_call()
{
    context_.calls.erase(number_);
}

void gateway_call::begin()
{
    const auto now = steady_now();
    received_at_ = now;
    deadline_ = now + default_timeout;
    facts_ = context_.platform.codec->read_call(request_.headers);
    if (!find_route())
        return;
    if (!begins_while_draining(now)) {
        refuse(errc::draining, shortest_return);
        return;
    }
    set_deadline(now);
    count_demand();
    dispatch();
}

bool gateway_call::begins_while_draining(time_point now) const
{
    return route_->kind == call_kind::stream ? context_.drain.begins_stream(now)
                                             : context_.drain.begins_plain(now);
}

bool gateway_call::find_route()
{
    configuration_ = context_.configuration;
    if (!configuration_ || !context_.servers_known) {
        refuse(errc::store_unavailable, return_time());
        return false;
    }
    const auto host = find_header(request_.headers, "host").value_or("");
    route_ = match_route(*configuration_, host, request_.path());
    const auto* chosen = route_ == nullptr
                             ? nullptr
                             : choose_service(*route_, context_.random());
    if (chosen == nullptr) {
        refuse(errc::not_found, std::nullopt);
        return false;
    }
    service_ = *chosen;
    return true;
}

void gateway_call::set_deadline(time_point now)
{
    auto time = facts_.time_left.value_or(default_timeout);
    if (route_->timeout.count() > 0)
        time = std::min(time, route_->timeout);
    deadline_ = now + time;
    request_traits traits;
    traits.idempotent = route_->repeatable();
    traits.resumable = route_->resumable;
    traits.max_tries = most_sends;
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

bool gateway_call::for_engine() const
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
    work.uncertainty_ms = context_.unheard_work_ms();
    return work;
}

void gateway_call::count_demand()
{
    if (!for_engine())
        return;
    const double tokens =
        static_cast<double>(facts_.prompt_tokens) +
        output_weight * static_cast<double>(facts_.most_output_tokens);
    context_.wishes.work[facts_.model] +=
        tokens * work().ms_per_token / ms_per_second;
    if (!facts_.adapter.empty())
        context_.wishes.uses.emplace(facts_.model, facts_.adapter);
}

std::vector<server_candidate> gateway_call::candidates(time_point now,
                                                       lack& why) const
{
    std::vector<server_candidate> found;
    const bool suspected = is_suspected(now);
    bool kept_apart = false;
    bool turned_away = false;
    why = lack::no_server;
    if (suspected && context_.suspects.runs(fingerprint_)) {
        why = lack::kept_apart;
        return found;
    }
    for (const auto& [id, state] : context_.directory.servers()) {
        if (state.entry.service != service_ || !state.usable())
            continue;
        const auto tried = tried_.find(id);
        const int sends = tried == tried_.end() ? 0 : tried->second;
        if (sends >= most_sends_to_one)
            continue;
        const auto holds = held_by(state, now);
        if (holds == holding::model_only)
            why = lack::no_adapter;
        if (holds != holding::all)
            continue;
        if (state.wants_nothing(now)) {
            turned_away = true;
            continue;
        }
        if (suspected && context_.suspects.runs_on(id)) {
            kept_apart = true;
            continue;
        }
        server_candidate candidate;
        candidate.server = id;
        candidate.load = context_.loads.view(id, route_->priority, now);
        candidate.away = context_.distance_to(state.entry.failure_domain);
        candidate.slots = state.entry.slots;
        candidate.tried = sends > 0;
        candidate.connected = context_.pool.has_idle(
            endpoint_of(state.entry), route_->repeatable(), now);
        found.push_back(std::move(candidate));
    }
    if (kept_apart && found.empty())
        why = lack::kept_apart;
    else if (turned_away && found.empty())
        why = lack::turned_away;
    return found;
}

/// What the server holds of what the request needs; a plain service has all.
holding gateway_call::held_by(const backend_state& state, time_point now) const
{
    return for_engine() ? backend_directory::holds(
                              state, facts_.model, facts_.adapter, now)
                        : holding::all;
}

/// When the first server that turned requests away, and that could serve this
/// one, wants some again.
time_point gateway_call::soonest_server(time_point now) const
{
    auto soonest = time_point::max();
    for (const auto& [id, state] : context_.directory.servers())
        if (state.entry.service == service_ && state.usable() &&
            state.wants_nothing(now) && held_by(state, now) == holding::all)
            soonest = std::min(soonest, state.wants_nothing_until);
    return soonest;
}

double gateway_call::expected_ms(const server_candidate& candidate) const
{
    if (for_engine())
        return expected_first_event_ms(candidate, work());
    const auto found = context_.service_times.find(service_);
    return expected_answer_ms(candidate,
                              found == context_.service_times.end()
                                  ? assumed_service_ms
                                  : found->second);
}

std::optional<gateway_call::choice> gateway_call::choose(time_point now,
                                                         lack& why)
{
    const auto found = candidates(now, why);
    const auto draw = context_.random();
    const auto times = context_.service_times.find(service_);
    const auto index =
        for_engine() ? choose_engine(found, work(), draw)
                     : choose_plain_server(found,
                                           times == context_.service_times.end()
                                               ? assumed_service_ms
                                               : times->second,
                                           draw);
    if (!index)
        return std::nullopt;
    const auto& picked = found[*index];
    choice chosen;
    chosen.server = picked.server;
    const auto& entry = context_.directory.find(picked.server)->entry;
    chosen.started_ms = entry.held.started_ms;
    chosen.target = endpoint_of(entry);
    chosen.expected_ms = expected_ms(picked);
    chosen.candidates = found.size();
    return chosen;
}

/// When the caller is expected to leave if no answer has begun by then.
time_point gateway_call::leaves_at() const
{
    if (route_->kind != call_kind::stream)
        return deadline_;
    return std::min(deadline_, received_at_ + route_->caller_patience());
}

/// An engine's queue is kept short enough that what is in it can still meet
/// its target; what would be late there waits here, where it may still go
/// elsewhere, or is refused while its caller has time to come back.
gateway_call::outlook gateway_call::judge(const choice& chosen,
                                          time_point now) const
{
    const bool begun = delivering_ || progress_->may_have_run();
    const auto left = static_cast<double>((leaves_at() - now).count());
    if (begun)
        return outlook::send;
    if (chosen.expected_ms >= left)
        return outlook::hopeless;
    const auto target = static_cast<double>(route_->queue_target.count());
    if (!for_engine() || target <= 0.0 ||
        chosen.expected_ms <= queue_target_share * target)
        return outlook::send;
    return chosen.expected_ms > hopeless_target_share * target
               ? outlook::hopeless
               : outlook::wait;
}

const char* gateway_call::lack_name(lack why) noexcept
{
    constexpr const char* names[] = {
        "no_server", "no_adapter", "no_room", "turned_away", "kept_apart"};
    return names[static_cast<std::size_t>(why)];
}

void gateway_call::dispatch()
{
    if (over_)
        return;
    const auto now = steady_now();
    if (refuse_quarantined(now))
        return;
    lack why = lack::no_server;
    const auto chosen = choose(now, why);
    if (chosen)
        send_or_wait(*chosen, now);
    else
        wait(why, now);
}

void gateway_call::send_or_wait(const choice& chosen, time_point now)
{
    switch (judge(chosen, now)) {
    case outlook::hopeless:
        refuse(errc::overloaded, return_time());
        return;
    case outlook::wait:
        wait(lack::no_room, now);
        return;
    case outlook::send:
        break;
    }
    stop_waiting();
    start_attempt(chosen, now);
}

/// A request that ends each server that runs it reaches no further one.
bool gateway_call::refuse_quarantined(time_point now)
{
    if (!context_.quarantine.refused(fingerprint_, now))
        return false;
    const auto left = context_.quarantine.refused_for(fingerprint_, now);
    log_event(log_level::warn, "request_quarantined")
        .with("request", facts_.try_id)
        .with("fingerprint", fingerprint_text())
        .with("crashes",
              static_cast<std::int64_t>(
                  context_.quarantine.crashes(fingerprint_)))
        .with("for_ms", left.count());
    refuse(errc::quarantined, left);
    return true;
}

bool gateway_call::is_suspected(time_point now) const
{
    return context_.quarantine.suspected(fingerprint_, now);
}

header_list gateway_call::forward_headers(const server_id& server,
                                          time_point now) const
{
    forward_facts facts;
    facts.expected = server;
    facts.time_left = std::max(deadline_ - now, duration{1});
    if (for_engine())
        facts.urgency = route_->priority;
    if (delivering_)
        facts.resume_after = last_event_;
    return context_.platform.codec->write_forward(facts);
}

void gateway_call::start_attempt(const choice& chosen, time_point now)
{
    attempt_.emplace(chosen, context_.answers);
    if (!facts_.adapter.empty())
        attempt_->uses_adapter.emplace(
            context_.adapters,
            make_adapter_use(chosen.server, facts_.model, facts_.adapter));
    attempt_->suspected = is_suspected(now);
    if (attempt_->suspected)
        context_.suspects.begin(fingerprint_, chosen.server);
    const auto load = context_.loads.view(chosen.server, route_->priority, now);
    attempt_->tokens_ahead = load.own_waiting_tokens + facts_.prompt_tokens;
    attempt_->ticket = context_.loads.begin(
        chosen.server, facts_.prompt_tokens, route_->priority, now);
    // A second send bears the first one's id, so that a late copy of the
    // first answer would pass for its own where it comes on one connection.
    attempt_->connection =
        tried_.contains(chosen.server)
            ? context_.pool.open(chosen.target)
            : context_.pool.acquire(chosen.target, route_->repeatable(), now);
    ++tried_[chosen.server];
    log_event(log_level::info, "request_sent")
        .with("request", facts_.try_id)
        .with("server", chosen.server.value())
        .with("fingerprint", fingerprint_text())
        .with("model", facts_.model.value())
        .with("adapter", facts_.adapter)
        .with("send", sends_ + 1)
        .with("candidates", static_cast<std::int64_t>(chosen.candidates))
        .with("expected_ms", static_cast<std::int64_t>(chosen.expected_ms))
        .with("load_age_ms", load.reported ? load.report_age.count() : -1)
        .with("configuration",
              static_cast<std::int64_t>(configuration_->version));
    set_patience(chosen, now);
    attempt_->connection->exchange(
        write_request(request_,
                      *context_.platform.codec,
                      forward_headers(chosen.server, now)),
        request_.method == "HEAD",
        shared_from_this());
}

void gateway_call::on_sending()
{
    const auto now = steady_now();
    if (!is_still_wanted(now)) {
        withdraw_attempt(now);
        return;
    }
    attempt_->sending = true;
    attempt_->sent_at = now;
    auto& budget = context_.budget(service_);
    if (sends_ == 0) {
        budget.on_first_send(now);
    }
    else {
        budget.on_repeat(now);
        context_.measures.count_repeat();
    }
    ++sends_;
}

/// A connection can take long to be made; meanwhile the server may have turned
/// another request away, or this one may be refused for ending servers.
bool gateway_call::is_still_wanted(time_point now) const
{
    const auto* state = context_.directory.find(attempt_->server);
    const bool turned_away = state != nullptr && state->wants_nothing(now);
    return !turned_away && !context_.quarantine.refused(fingerprint_, now);
}

/// Not a byte was sent: the request goes elsewhere or is refused.
void gateway_call::withdraw_attempt(time_point now)
{
    log_event(log_level::info, "send_withdrawn")
        .with("request", facts_.try_id)
        .with("server", attempt_->server.value())
        .with("fingerprint", fingerprint_text());
    give_up_attempt(load_end::good, now);
    after_attempt(attempt_end::not_sent, now);
}

/// An idempotent request does not wait for a server that is much slower than
/// expected while another one could answer.
void gateway_call::set_patience(const choice& chosen, time_point now)
{
    if (!route_->repeatable() || delivering_)
        return;
    const auto expected =
        static_cast<std::int64_t>(patience_factor * chosen.expected_ms);
    const auto patience = std::max(duration(expected), route_->latency_target);
    const auto self = shared_from_this();
    patience_timer_ = context_.timers.add(now + patience, [self] {
        self->patience_timer_ = 0;
        self->on_patience();
    });
}

void gateway_call::on_patience()
{
    if (over_ || !attempt_ || attempt_->head || delivering_)
        return;
    const auto now = steady_now();
    lack why = lack::no_server;
    const auto others = candidates(now, why);
    const bool untried = std::any_of(
        others.begin(), others.end(), [](const auto& c) { return !c.tried; });
    const bool may_run_again = runs_ + 1 < static_cast<int>(route_->max_runs);
    if (!untried || !may_run_again || !context_.budget(service_).available(now))
        return;
    log_event(log_level::warn, "server_too_slow")
        .with("request", facts_.try_id)
        .with("server", attempt_->server.value())
        .with("waited_ms", (now - attempt_->sent_at).count());
    give_up_attempt(load_end::failed, now);
    after_attempt(attempt_end::lost_before_answer, now);
}

void gateway_call::wait(lack why, time_point now)
{
    if (why == lack::no_adapter) {
        context_.wishes.needs.emplace(facts_.model, facts_.adapter);
        if (context_.on_need)
            context_.on_need();
    }
    auto patience = (leaves_at() - now) / wait_share;
    if (why == lack::turned_away) {
        const auto soonest = soonest_server(now);
        if (soonest > now + patience) {
            refuse(errc::no_replica, soonest - now + return_time());
            return;
        }
    }
    if (waiting_since_)
        return;
    waiting_since_ = now;
    if (why == lack::no_room)
        patience = std::min(patience, route_->latency_target);
    else if (route_->latency_target.count() > 0)
        patience = std::min(patience, wait_targets * route_->latency_target);
    log_event(log_level::info, "request_waits")
        .with("request", facts_.try_id)
        .with("model", facts_.model.value())
        .with("adapter", facts_.adapter)
        .with("reason", lack_name(why))
        .with("patience_ms", patience.count());
    const auto self = shared_from_this();
    waiting_key_ = {
        route_->priority,
        is_suspected(now) ? context_.quarantine.crashes(fingerprint_) : 0,
        ++context_.waits};
    context_.waiting[waiting_key_] = [self] {
        self->dispatch();
    };
    wait_timer_ = context_.timers.add(now + patience, [self] {
        self->wait_timer_ = 0;
        self->refuse(errc::no_replica, self->return_time());
    });
}

void gateway_call::stop_waiting()
{
    context_.timers.cancel(wait_timer_);
    if (!waiting_since_)
        return;
    context_.waiting.erase(waiting_key_);
    context_.measures.record_wait(
        static_cast<double>((steady_now() - *waiting_since_).count()));
    waiting_since_.reset();
}

void gateway_call::on_deadline()
{
    if (over_)
        return;
    const auto now = steady_now();
    const bool sent = attempt_ && attempt_->sending;
    if (attempt_)
        give_up_attempt(load_end::failed, now);
    if (delivering_)
        finish(errc::timeout);
    else if (sent || progress_->may_have_run())
        refuse(errc::timeout, std::nullopt);
    else
        refuse(errc::overloaded, return_time());
}

/// An answer that has begun may still come to its end; any other would be
/// cut without a word.
void gateway_call::on_daemon_ends()
{
    const auto self = shared_from_this();
    if (!delivering_)
        on_deadline();
}

void gateway_call::on_caller_gone()
{
    if (over_)
        return;
    caller_.reset();
    if (attempt_)
        give_up_attempt(load_end::good, steady_now());
    finish(errc::connection_lost);
}

void gateway_call::on_caller_reads()
{
    if (attempt_ && caller_ && caller_->unsent() < caller_low_water)
        attempt_->connection->resume();
}

void gateway_call::give_up_attempt(load_end end, time_point now)
{
    context_.timers.cancel(patience_timer_);
    if (!attempt_)
        return;
    attempt_->connection->cancel();
    release_server(end, now);
    attempt_.reset();
}

/// The attempt takes no place on its server any more.
void gateway_call::release_server(load_end end, time_point now)
{
    context_.loads.end(attempt_->server, attempt_->ticket, end, now);
    if (!attempt_->suspected)
        return;
    attempt_->suspected = false;
    context_.suspects.end(fingerprint_);
    context_.wake_waiting_soon();
}

/// When to come back: spread, so that those refused together don't return
/// together.
duration gateway_call::return_time()
{
    std::uniform_int_distribution<std::int64_t> spread(shortest_return.count(),
                                                       longest_return.count());
    return duration(spread(context_.random));
}

void gateway_call::refuse(errc kind, std::optional<duration> retry_after)
{
    if (over_)
        return;
    if (delivering_) {
        finish(errc::connection_lost);
        return;
    }
    // Statuses that promise "not run" are only for what was not run.
    const bool ran = progress_ && progress_->may_have_run();
    const auto told =
        ran && kind != errc::timeout ? errc::outcome_unknown : kind;
    const auto answer =
        make_own_answer(told, facts_.try_id, ran ? std::nullopt : retry_after);
    const auto caller = caller_;
    finish(told);
    if (caller)
        caller->send_whole(answer.head, answer.body);
}

/// The end, whatever it is; an answer that was begun and not ended is cut.
void gateway_call::finish(errc kind)
{
    over_ = true;
    if (attempt_)
        attempt_->uses_adapter.reset();
    stop_waiting();
    context_.timers.cancel(deadline_timer_);
    context_.timers.cancel(patience_timer_);
    context_.measures.count_end(kind);
    log_end(kind, attempt_ && attempt_->head ? attempt_->head->status : 0);
    const auto caller = std::move(caller_);
    caller_.reset();
    if (caller && delivering_ && kind != errc::ok)
        caller->abort();
}

std::string gateway_call::fingerprint_text() const
{
    return to_hexadecimal(fingerprint_);
}

void gateway_call::log_end(errc kind, unsigned status) const
{
    log_event(kind == errc::ok ? log_level::info : log_level::warn,
              "request_ended")
        .with("request", facts_.try_id)
        .with("route", route_ == nullptr ? "" : route_->name)
        .with("outcome", error_name(kind))
        .with("status", status)
        .with("sends", sends_)
        .with("first_event_ms", first_event_ms_)
        .with("after_ms", (steady_now() - received_at_).count());
}

} // namespace barleyfork
