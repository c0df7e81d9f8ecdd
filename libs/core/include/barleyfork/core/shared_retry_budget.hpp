#ifndef BARLEYFORK_CORE_SHARED_RETRY_BUDGET_HPP
#define BARLEYFORK_CORE_SHARED_RETRY_BUDGET_HPP

#include <barleyfork/base/time.hpp>

#include <cstdint>
#include <deque>

namespace barleyfork {

/// The bound on second sends to a service that all daemons keep together.
struct shared_retry_limits
{
    /// Second sends allowed for each first one.
    double ratio = 0.2;
    duration window{10000};
    /// Second sends allowed in a window beside that, over all daemons.
    double slack = 50.0;
};

/// One daemon's part of a bound that holds over all daemons, for one service.
///
/// In every sliding window this daemon's second sends stay within `ratio` of
/// its own first ones and its share of the slack. A daemon that restarts has
/// forgotten what it used, so it takes half of an even share. Not thread-safe.
class shared_retry_budget
{
public:
    explicit shared_retry_budget(shared_retry_limits limits);

    /// How many daemons share the slack.
    void set_daemons(std::size_t count) noexcept;

    void on_first_send(time_point now);

    /// True where one more second send is within the bound.
    bool available(time_point now);

    /// Counts a second send.
    void on_repeat(time_point now);

private:
    void forget(time_point now);

    shared_retry_limits limits_;
    double share_;
    std::deque<time_point> first_sends_;
    std::deque<time_point> repeats_;
};

} // namespace barleyfork

#endif
