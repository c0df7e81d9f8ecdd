#ifndef BARLEYFORK_CORE_DRAIN_PLAN_HPP
#define BARLEYFORK_CORE_DRAIN_PLAN_HPP

#include <barleyfork/base/time.hpp>

namespace barleyfork {

/// Decides which requests a daemon still accepts after it was asked to stop.
///
/// The daemon accepts requests while their responses can complete before it
/// exits: if all daemons of a failure domain stop one after the other, the load
/// balancer has no better destination. How long a response takes is not known,
/// but its caller's deadline is, so a plain request is accepted late if its
/// deadline is before the exit. A stream may go on past its deadline, so
/// streams are not accepted late.
class drain_plan
{
public:
    /// Time within which the load balancer stops sending requests to the
    /// daemon.
    static constexpr duration rotation_exit_delay{2600};
    /// Time between the exit of the daemon and the end of the grace period,
    /// when it would be killed.
    static constexpr duration stop_margin{500};

    /// The plan of a daemon that was not asked to stop.
    drain_plan() = default;

    /// The plan of a daemon that was asked to stop at `drain_started_at` and is
    /// killed after `grace`.
    drain_plan(time_point drain_started_at, duration grace);

    /// Returns true if the daemon was asked to stop.
    bool draining() const noexcept
    {
        return is_draining_;
    }

    /// Returns true once the load balancer no longer uses the daemon, so that
    /// idle connections can be closed. Meaningful only while draining.
    bool has_left_rotation(time_point now) const noexcept
    {
        return now >= drain_started_at_ + rotation_exit_delay;
    }

    /// Rejects all further requests, so that the exit of the process truncates
    /// none. Called once no request is in flight or the time is over.
    void close() noexcept
    {
        is_closed_ = true;
    }

    /// Returns true if all further requests are rejected.
    bool closed() const noexcept
    {
        return is_closed_;
    }

    /// Returns the latest time at which the daemon exits.
    time_point exits_at() const noexcept
    {
        return exits_at_;
    }

    /// Returns true if a plain request with this deadline is still accepted.
    bool accepts_plain(time_point now, time_point deadline) const noexcept;

    /// Returns true if streams are still accepted.
    bool accepts_streams(time_point now) const noexcept;

private:
    bool is_draining_ = false;
    bool is_closed_ = false;
    time_point drain_started_at_{};
    time_point exits_at_ = time_point::max();
};

} // namespace barleyfork

#endif
