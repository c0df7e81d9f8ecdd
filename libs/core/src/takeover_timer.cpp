#include <barleyfork/core/takeover_timer.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

duration fraction_of(duration total, double fraction)
{
    return duration(static_cast<std::int64_t>(
        fraction * static_cast<double>(total.count())));
}

} // namespace

duration takeover_timer::delay(holder_rank rank, double draw)
{
    const auto rivals = rank.handicap > 0.0 ? rank.daemons : rank.equals;
    const auto spread = std::max(
        min_spread, static_cast<std::int64_t>(rivals) * spread_per_daemon);
    return fraction_of(max_handicap_delay, rank.handicap) +
           fraction_of(spread, draw);
}

void takeover_timer::on_peer_state(bool is_holder_reachable,
                                   holder_rank rank,
                                   time_point now,
                                   double draw)
{
    if (is_holder_reachable) {
        next_check_at_.reset();
        started_ = true;
        return;
    }
    if (next_check_at_)
        return;
    const auto start_delay =
        started_ ? duration{0} : fraction_of(max_start_delay, draw);
    next_check_at_ = now + start_delay + delay(rank, draw);
    started_ = true;
}

void takeover_timer::on_row_checked(time_point expires_at,
                                    holder_rank rank,
                                    time_point now,
                                    double draw)
{
    next_check_at_ =
        std::max(now + min_check_interval, expires_at) + delay(rank, draw);
}

void takeover_timer::released(bool is_successor,
                              holder_rank rank,
                              time_point now,
                              double draw)
{
    started_ = true;
    next_check_at_ =
        is_successor ? now : now + successor_head_start + delay(rank, draw);
}

} // namespace barleyfork
