#include "timer_queue.hpp"

#include <algorithm>

namespace barleyfork {

timer_queue::timer_queue(const boost::asio::any_io_executor& executor)
    : timer_(executor)
{
}

timer_queue::timer_id timer_queue::add(time_point at,
                                       std::function<void()> action)
{
    const auto id = next_id_++;
    actions_.emplace(key{at, id}, std::move(action));
    deadlines_.emplace(id, at);
    if (at < armed_for_)
        arm();
    return id;
}

/// Does not rearm the loop's timer: one needless wake-up costs less than
/// rearming the timer at each change.
void timer_queue::cancel(timer_id& id)
{
    const auto found = deadlines_.find(id);
    if (found != deadlines_.end()) {
        actions_.erase(key{found->second, id});
        deadlines_.erase(found);
    }
    id = 0;
}

void timer_queue::arm()
{
    if (actions_.empty()) {
        armed_for_ = time_point::max();
        return;
    }
    armed_for_ = actions_.begin()->first.first;
    const auto wait = std::max(armed_for_ - steady_now(), duration{0});
    timer_.expires_after(wait);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            run_due();
    });
}

void timer_queue::run_due()
{
    const auto now = steady_now();
    while (!actions_.empty() && actions_.begin()->first.first <= now) {
        const auto first = actions_.begin();
        const auto action = std::move(first->second);
        deadlines_.erase(first->first.second);
        actions_.erase(first);
        try {
            action();
        }
        catch (...) {
            // The timers after it still run.
            arm();
            throw;
        }
    }
    arm();
}

} // namespace barleyfork
