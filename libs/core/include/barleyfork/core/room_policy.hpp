#ifndef BARLEYFORK_CORE_ROOM_POLICY_HPP
#define BARLEYFORK_CORE_ROOM_POLICY_HPP

#include <barleyfork/base/time.hpp>

#include <cstdint>

namespace barleyfork {

/// What the caller of a request that has not run yet needs.
struct room_request
{
    /// A response that begins within this time of the arrival meets its target;
    /// zero if there is no target.
    duration latency_target{0};
    /// How long the request may wait at most, also past its own target: no less
    /// urgent request waits longer; see `gateway_route::queue_target`.
    duration max_wait{0};
    time_point received_at{};
    /// When the caller is expected to leave if no response has begun.
    time_point leaves_at{};
    /// The expected time to the first event on an idle server, in milliseconds.
    double own_ms = 0.0;
    /// True if the caller was rejected before and came back.
    bool is_returned = false;
};

/// What is known of the servers that can run the request.
struct room_state
{
    /// The queue of a server is kept within this time; see
    /// `gateway_route::room_target`.
    duration room_target{0};
    /// The expected time to the first event if the request is sent now, in
    /// milliseconds.
    double expected_ms = 0.0;
    /// The time that the servers need for the requests that wait ahead, in
    /// milliseconds.
    double ahead_ms = 0.0;
    /// True if the caller's organisation has had more than its fair share of
    /// these servers lately.
    bool is_over_share = false;
    /// True if it is the turn of a request that has waited long behind more
    /// urgent ones.
    bool is_its_turn = false;
};

enum class room_outcome : std::uint8_t
{
    send,
    wait,
    refuse,
};

/// Why a request is not sent at once.
enum class room_reason : std::uint8_t
{
    none,
    /// The caller would have left before the first event.
    caller_leaves,
    /// The servers' queues are too long.
    queue,
    /// The organisation had more than its share, and others need the room.
    share,
};

const char* room_reason_name(room_reason reason) noexcept;

/// What happens to a request now.
struct room_decision
{
    room_outcome outcome = room_outcome::send;
    room_reason reason = room_reason::none;
    /// True if the request is sent in its turn: as the most urgent one, since
    /// it would starve in the server's queue otherwise.
    bool is_promoted = false;
    /// The latest time until which the request waits.
    time_point until{};
    /// The estimated time until there is room.
    duration room_in{0};
};

/// Decides whether a request is sent, waits or is refused.
///
/// A request is sent if it is expected to meet its target and the server's
/// queue stays short enough for the most urgent requests; the rest waits in the
/// daemon, where the order can still change, for as long as its own target
/// allows and half of its caller's time at most, so that a caller who is
/// refused can still come back. It is refused as soon as there will be no room
/// in that time.
room_decision decide_room(const room_request& request,
                          const room_state& state,
                          time_point now);

} // namespace barleyfork

#endif
