#ifndef BARLEYFORK_GATEWAY_SRC_TIMER_QUEUE_HPP
#define BARLEYFORK_GATEWAY_SRC_TIMER_QUEUE_HPP

#include <barleyfork/base/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace barleyfork {

/// Many deadlines on one timer of the event loop. Not thread-safe: used by one
/// worker thread only.
class timer_queue
{
public:
    /// Identifies a deadline; 0 means none.
    using timer_id = std::uint64_t;

    explicit timer_queue(const boost::asio::any_io_executor& executor);
    timer_queue(const timer_queue&) = delete;
    timer_queue& operator=(const timer_queue&) = delete;

    /// Calls `action` at `at` or shortly after.
    timer_id add(time_point at, std::function<void()> action);

    /// Removes a deadline, if it is still pending, and sets `id` to 0.
    void cancel(timer_id& id);

private:
    using key = std::pair<time_point, timer_id>;

    void arm();
    void run_due();

    boost::asio::steady_timer timer_;
    std::map<key, std::function<void()>> actions_;
    std::map<timer_id, time_point> deadlines_;
    timer_id next_id_ = 1;
    /// When the loop's timer fires; the maximum value while the timer is off.
    time_point armed_for_ = time_point::max();
};

} // namespace barleyfork

#endif
