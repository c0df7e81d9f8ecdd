// The part of gateway_call that chooses a server.

#include "gateway_call.hpp"

#include <algorithm>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

/// A server that rejected a request gets at most one retry.
constexpr int max_sends_per_server = 2;
constexpr double ms_per_second = 1000.0;
/// Of the calls that go before a new one, at most this many are offered room
/// first, so that the cost of an arrival is bounded.
constexpr std::size_t max_calls_ahead = 4;

asio::ip::tcp::endpoint endpoint_of(const backend_entry& entry)
{
    boost::system::error_code error;
    return {asio::ip::make_address(entry.address, error), entry.port};
}

} // namespace

std::vector<server_candidate> gateway_call::candidates(
    prompt_order order, time_point now, wait_reason& reason) const
{
    std::vector<server_candidate> found;
    const bool suspected = is_suspected(now);
    const auto priority = load_priority(order);
    const auto* engine = service() != nullptr && service()->engine
                             ? &*service()->engine
                             : nullptr;
    bool any_isolated = false;
    bool any_rejecting = false;
    bool any_limited = false;
    reason = wait_reason::no_server;
    if (suspected && context_.suspects.runs(suspects_.request)) {
        reason = wait_reason::isolated;
        return found;
    }
    for (const auto& [id, state] : context_.directory.servers()) {
        if (state.entry.service != service_ || !state.usable())
            continue;
        const auto sent = sends_per_server_.find(id);
        const int sends = sent == sends_per_server_.end() ? 0 : sent->second;
        if (sends >= max_sends_per_server)
            continue;
        const auto resident = residency_on(state, now);
        if (resident == holding::model_only)
            reason = wait_reason::no_adapter;
        if (resident != holding::all)
            continue;
        if (state.rejects_requests(now)) {
            any_rejecting = true;
            continue;
        }
        if (!is_within_limit(id, state, now)) {
            any_limited = true;
            continue;
        }
        if (suspected && context_.suspects.is_server_occupied(id)) {
            any_isolated = true;
            continue;
        }
        server_candidate candidate;
        candidate.server = id;
        candidate.load = context_.loads.view(id, priority, now);
        candidate.away = context_.distance_to(state.entry.failure_domain);
        candidate.slots = state.entry.slots;
        candidate.cache_tokens = engine == nullptr ? 0 : engine->cache_tokens;
        candidate.tried = sends > 0;
        candidate.connected = context_.pool.has_idle(
            endpoint_of(state.entry), route_->is_retryable(), now);
        found.push_back(std::move(candidate));
    }
    if (any_isolated && found.empty())
        reason = wait_reason::isolated;
    else if (any_limited && found.empty())
        reason = wait_reason::limited;
    else if (any_rejecting && found.empty())
        reason = wait_reason::servers_rejecting;
    return found;
}

/// Returns how much of the needed model and adapter is resident on the server.
/// A plain service needs neither.
holding gateway_call::residency_on(const backend_state& state,
                                   time_point now) const
{
    return is_for_engine() ? backend_directory::holds(
                                 state, facts_.model, facts_.adapter, now)
                           : holding::all;
}

/// Returns whether the server can run the request, apart from what it takes
/// now.
bool gateway_call::is_eligible(const backend_state& state, time_point now) const
{
    return state.entry.service == service_ && state.usable() &&
           residency_on(state, now) == holding::all;
}

/// Returns the earliest time at which an eligible server that rejects requests
/// will accept them again.
time_point gateway_call::earliest_acceptance(time_point now) const
{
    auto earliest = time_point::max();
    for (const auto& [id, state] : context_.directory.servers())
        if (state.rejects_requests(now) && is_eligible(state, now))
            earliest = std::min(earliest, state.rejects_until);
    return earliest;
}

bool gateway_call::is_within_limit(const server_id& id,
                                   const backend_state& state,
                                   time_point now) const
{
    if (context_.limits.empty())
        return true;
    const auto allowed =
        context_.limits.next_allowed_at({id, state.entry.held.started_ms});
    return !allowed || *allowed <= now;
}

/// Returns when this request can be sent at the earliest, after the calls that
/// wait for the same servers already, by the limits of these.
time_point gateway_call::earliest_within_limit(time_point now) const
{
    auto earliest = time_point::max();
    double per_second = 0.0;
    for (const auto& [id, state] : context_.directory.servers()) {
        if (!is_eligible(state, now))
            continue;
        const server_process process{id, state.entry.held.started_ms};
        const auto allowed = context_.limits.next_allowed_at(process);
        if (!allowed || *allowed == time_point::max())
            continue;
        earliest = std::min(earliest, std::max(*allowed, now));
        per_second += context_.limits.own_rate(process).value_or(0.0);
    }
    const auto ahead = context_.limited_waits.find({service_, facts_.model});
    if (per_second <= 0.0 || ahead == context_.limited_waits.end())
        return earliest;
    return earliest + duration(static_cast<std::int64_t>(
                          ms_per_second * static_cast<double>(ahead->second) /
                          per_second));
}

double gateway_call::expected_ms(const server_candidate& candidate) const
{
    if (is_for_engine())
        return expected_first_event_ms(candidate, work());
    const auto found = context_.service_times_ms.find(service_);
    return expected_answer_ms(candidate,
                              found == context_.service_times_ms.end()
                                  ? default_service_ms
                                  : found->second);
}

std::optional<gateway_call::choice> gateway_call::choose(time_point now,
                                                         wait_reason& reason)
{
    const bool yields = may_yield();
    const auto found = candidates(
        yields ? prompt_order::yields : prompt_order::in_turn, now, reason);
    const auto draw = context_.random();
    const auto times = context_.service_times_ms.find(service_);
    const auto index =
        is_for_engine()
            ? choose_engine(found, work(), draw)
            : choose_plain_server(found,
                                  times == context_.service_times_ms.end()
                                      ? default_service_ms
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
    if (yields)
        choose_order(chosen, picked, now);
    return chosen;
}

/// Returns true if the prompt is so long that it may give way to shorter ones.
/// A stream that has begun is resumed in its turn.
bool gateway_call::may_yield() const
{
    const auto found = context_.interference.find(service_);
    if (!is_for_engine() || is_delivering_ ||
        found == context_.interference.end())
        return false;
    const double read_ms =
        static_cast<double>(facts_.prompt_tokens) * work().ms_per_token;
    return found->second.is_long(
        facts_.prompt_tokens, read_ms, route_->latency_target);
}

/// Returns the priority at which the request counts in the load of a server: a
/// prompt that gives way is read among those of the next priority.
std::uint32_t gateway_call::load_priority(prompt_order order) const
{
    return urgency() + (order == prompt_order::yields ? 1U : 0U);
}

/// Sets the order and the expected time of a long prompt. `yielding` is the
/// chosen server with the load ahead of a prompt that gives way.
void gateway_call::choose_order(choice& chosen,
                                const server_candidate& yielding,
                                time_point now) const
{
    auto in_turn = yielding;
    in_turn.load = context_.loads.view(chosen.server, urgency(), now);
    const auto own = work();
    prompt_prospects prospects;
    prospects.prompt_tokens = facts_.prompt_tokens;
    prospects.read_ms =
        static_cast<double>(own.prompt_tokens) * own.ms_per_token;
    prospects.in_turn_ms = expected_first_event_ms(in_turn, own);
    prospects.yielding_ms = chosen.expected_ms;
    prospects.to_target = received_at_ + route_->latency_target - now;
    prospects.to_disconnect = expected_disconnect_at() - now;
    chosen.order = context_.interference.at(service_).decide(prospects, now);
    if (chosen.order == prompt_order::in_turn)
        chosen.expected_ms = prospects.in_turn_ms;
}

/// Returns when the caller is expected to disconnect if no response has begun
/// by then.
time_point gateway_call::expected_disconnect_at() const
{
    if (route_->kind != call_kind::stream)
        return deadline_;
    return std::min(deadline_, received_at_ + route_->caller_timeout());
}

server_group gateway_call::group() const
{
    return {service_, is_for_engine() ? facts_.model : model_id()};
}

/// Returns whether the caller seems to have been rejected before: it has less
/// time left than the route gives a new request.
bool gateway_call::is_returned() const
{
    if (!facts_.time_left || route_->timeout.count() <= 0)
        return false;
    return *facts_.time_left <
           route_->timeout - gateway_context::min_retry_delay / 2;
}

room_request gateway_call::room_needs() const
{
    room_request needs;
    needs.latency_target = route_->latency_target;
    needs.max_wait = route_->queue_target;
    needs.received_at = received_at_;
    needs.leaves_at = expected_disconnect_at();
    const auto own = work();
    needs.own_ms =
        own.base_ms + static_cast<double>(own.prompt_tokens) * own.ms_per_token;
    needs.is_returned = is_returned();
    return needs;
}

waiting_request gateway_call::waiting_needs(time_point until,
                                            time_point now) const
{
    const auto needs = room_needs();
    waiting_request request;
    request.priority = priority();
    if (organisation_ != nullptr) {
        request.organisation = organisation_->id;
        request.weight = organisation_->share_weight;
    }
    request.crashes =
        is_suspected(now) ? context_.quarantine.crashes(suspects_) : 0;
    request.since = waiting_since_.value_or(now);
    request.until = until;
    request.due_at = received_at_ + needs.latency_target;
    request.own_ms = needs.own_ms;
    request.is_returned = needs.is_returned;
    return request;
}

/// Returns the urgency with which servers queue the request.
std::uint32_t gateway_call::urgency() const
{
    return is_promoted_ ? 0 : priority();
}

/// Decides whether the request is sent to the best eligible server. One that
/// has run already is not held up.
room_decision gateway_call::decide_room(const choice& chosen,
                                        time_point now) const
{
    if (is_delivering_ || progress_->may_have_run())
        return {};
    const auto needs = room_needs();
    room_state state;
    state.room_target = is_for_engine() ? route_->room_target : duration{0};
    state.expected_ms = chosen.expected_ms;
    const auto waiting = waiting_needs(needs.leaves_at, now);
    state.ahead_ms = context_.room.work_ahead_ms(group(), waiting) /
                     static_cast<double>(chosen.candidates);
    state.is_over_share = context_.room.is_over_share(service_, waiting, now);
    state.is_its_turn = context_.room.has_turn(group(), waiting);
    return barleyfork::decide_room(needs, state, now);
}

/// Offers room to the calls that have waited for the same servers and go before
/// this one.
void gateway_call::wake_calls_ahead(time_point now)
{
    auto ahead = context_.room.ahead_of(
        group(), waiting_needs(expected_disconnect_at(), now), now);
    ahead.resize(std::min(ahead.size(), max_calls_ahead));
    context_.wake(ahead);
}

} // namespace barleyfork
