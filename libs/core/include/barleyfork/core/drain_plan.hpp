#ifndef BARLEYFORK_CORE_DRAIN_PLAN_HPP
#define BARLEYFORK_CORE_DRAIN_PLAN_HPP

#include <barleyfork/base/time.hpp>

namespace barleyfork {

/// Which requests a daemon that is told to stop still begins.
///
/// Callers that were sent here are served while their answers can be whole
/// before the daemon ends: where all daemons of a failure domain stop one
/// after the other, the balancer has nowhere better to send them. A plain
/// request that is not answered by then gets a true answer of the daemon's
/// own, so a short time is enough. A stream that has begun would be cut, and
/// under load no estimate of its time is sure enough, so none is begun late.
class drain_plan
{
public:
    /// The balancer has noticed after this.
    static constexpr duration leave_rotation{2600};
    /// The daemon ends this long before it would be killed.
    static constexpr duration stop_margin{500};

    /// Nobody told the daemon to stop.
    drain_plan() = default;

    drain_plan(time_point began, duration grace);

    bool draining() const noexcept
    {
        return draining_;
    }

    /// The balancer has noticed: idle connections are of no use any more.
    bool left_rotation(time_point now) const noexcept
    {
        return now >= began_ + leave_rotation;
    }

    /// Nothing runs any more, or the time is up: from now on nothing is
    /// begun, so that no request is cut by the end of the process.
    void close() noexcept
    {
        closed_ = true;
    }

    bool closed() const noexcept
    {
        return closed_;
    }

    /// When the daemon ends at the latest.
    time_point ends_at() const noexcept
    {
        return ends_at_;
    }

    bool begins_plain(time_point now) const noexcept;

    bool begins_stream(time_point now) const noexcept;

private:
    bool draining_ = false;
    bool closed_ = false;
    time_point began_{};
    time_point ends_at_ = time_point::max();
};

} // namespace barleyfork

#endif
