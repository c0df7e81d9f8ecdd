#include <barleyfork/core/room_policy.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

/// Share of the room that is open to requests that are late already, and to
/// organisations that are over their share.
constexpr double yielding_share = 0.5;
/// The part of a caller's time that a request waits at most, as a divisor.
constexpr int wait_divisor = 2;

double ms(duration time)
{
    return static_cast<double>(time.count());
}

duration to_duration(double milliseconds)
{
    return duration(static_cast<std::int64_t>(milliseconds));
}

bool yields(const room_request& request,
            const room_state& state,
            time_point now)
{
    const auto in_time = ms(request.received_at + request.latency_target - now);
    const bool is_late = !request.is_returned && state.expected_ms > in_time &&
                         now > request.received_at;
    return is_late || state.is_over_share;
}

/// Returns the longest expected time to the first event, in milliseconds, with
/// which the request is sent.
double
send_limit(const room_request& request, const room_state& state, time_point now)
{
    const double room = ms(state.room_target);
    if (state.is_its_turn)
        return std::max(room,
                        ms(request.received_at + request.latency_target - now));
    const double open =
        yields(request, state, now) ? yielding_share * room : room;
    // A long prompt does not wait for its own processing time to shrink.
    return std::max(open, request.own_ms + yielding_share * open);
}

} // namespace

const char* room_reason_name(room_reason reason) noexcept
{
    constexpr const char* names[] = {"none", "caller_leaves", "queue", "share"};
    return names[static_cast<std::size_t>(reason)];
}

room_decision decide_room(const room_request& request,
                          const room_state& state,
                          time_point now)
{
    room_decision decision;
    const bool has_target =
        request.latency_target.count() > 0 && state.room_target.count() > 0;
    const double limit = has_target ? send_limit(request, state, now) : 0.0;
    const bool has_room = !has_target || state.expected_ms <= limit;
    const bool is_heard = state.expected_ms < ms(request.leaves_at - now);
    if (has_room && is_heard) {
        decision.is_promoted = state.is_its_turn;
        return decision;
    }
    const double room_in =
        std::max(0.0, state.expected_ms - limit) + state.ahead_ms;
    decision.room_in = to_duration(has_target ? room_in : state.expected_ms);
    decision.reason = !is_heard             ? room_reason::caller_leaves
                      : state.is_over_share ? room_reason::share
                                            : room_reason::queue;
    decision.until =
        std::min({request.received_at +
                      std::max(request.latency_target, request.max_wait),
                  request.received_at +
                      (request.leaves_at - request.received_at) / wait_divisor,
                  request.leaves_at - to_duration(request.own_ms)});
    const bool is_hopeless =
        has_room || now + decision.room_in >= decision.until;
    decision.outcome = is_hopeless ? room_outcome::refuse : room_outcome::wait;
    return decision;
}

} // namespace barleyfork
