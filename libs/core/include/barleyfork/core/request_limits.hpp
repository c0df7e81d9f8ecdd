#ifndef BARLEYFORK_CORE_REQUEST_LIMITS_HPP
#define BARLEYFORK_CORE_REQUEST_LIMITS_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/core/server_process.hpp>

#include <map>
#include <optional>
#include <vector>

namespace barleyfork {

/// What a server process said of the requests that it takes.
struct limit_observation
{
    server_process process;
    /// Requests per second from all daemons together; nothing if the process
    /// named no limit.
    std::optional<double> per_second;
    time_point observed_at{};
};

/// One daemon's share of the request limits that servers name for all daemons
/// together.
///
/// Daemons send without asking each other, so that a limit holds also while
/// they are disconnected. A limit is shared evenly among a few of the listed
/// daemons, which every daemon picks alike for each server. Each of these
/// leaves a fixed gap between two requests, and a part of it before the first
/// one, so that in any `window` all daemons together send no more than the
/// limit and one request for each of them. Not thread-safe.
class request_limits
{
public:
    explicit request_limits(instance_id self);

    /// Sets the daemons that share the limits. This one belongs to them if
    /// `is_counted`: a daemon that the others do not list yet would add a share
    /// to theirs, so it sends nothing to a process with a limit.
    void set_daemons(std::vector<instance_id> listed, bool is_counted);

    /// Records an observation of this daemon or of another one. Older ones than
    /// the last are ignored. `draw` is a random number from 0 to 1, by which
    /// the first requests of several daemons are spread.
    void
    observe(const limit_observation& observation, double draw, time_point now);

    /// Returns when this daemon may send the next request to the process:
    /// `time_point::max()` if other daemons share its limit, and nothing if the
    /// process has no limit.
    std::optional<time_point>
    next_allowed_at(const server_process& process) const;

    /// Returns how many requests per second the process takes from all daemons;
    /// nothing if it has no limit.
    std::optional<double> rate(const server_process& process) const;

    /// Returns how many requests per second this daemon may send to the
    /// process; nothing if the process has no limit.
    std::optional<double> own_rate(const server_process& process) const;

    /// Returns whether no process has named a limit lately.
    bool empty() const noexcept
    {
        return entries_.empty();
    }

    /// Records a request to the process.
    void on_sent(const server_process& process, time_point now);

    /// Returns the observations of the last `max_age`.
    std::vector<limit_observation> recent(duration max_age,
                                          time_point now) const;

    /// Removes old observations of processes that `is_listed` rejects, and of
    /// those that no longer name a limit.
    template <class Predicate>
    void expire(time_point now, Predicate is_listed)
    {
        std::erase_if(entries_, [&](const auto& item) {
            const auto& [process, known] = item;
            return now >= known.observed_at + retention &&
                   (!known.per_second || !is_listed(process));
        });
    }

private:
    /// How long an observation is retained that no longer matters.
    static constexpr duration retention{30000};

    struct entry
    {
        std::optional<double> per_second;
        time_point observed_at{};
        /// The gap between two requests of this daemon; nothing if other
        /// daemons share the limit.
        std::optional<duration> gap;
        time_point next_allowed_at{};
    };

    std::optional<duration> gap_for(const server_id& server,
                                    double per_second) const;

    instance_id self_;
    std::vector<instance_id> others_;
    bool is_counted_ = false;
    std::map<server_process, entry> entries_;
};

} // namespace barleyfork

#endif
