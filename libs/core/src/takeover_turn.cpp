#include <barleyfork/core/takeover_turn.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

duration share_of(duration whole, double share)
{
    return duration(
        static_cast<std::int64_t>(share * static_cast<double>(whole.count())));
}

} // namespace

duration takeover_turn::delay(holder_rank rank, double draw)
{
    const auto rivals = rank.handicap > 0.0 ? rank.daemons : rank.equals;
    const auto spread = std::max(
        shortest_spread, static_cast<std::int64_t>(rivals) * spread_a_daemon);
    return share_of(longest_handicap, rank.handicap) + share_of(spread, draw);
}

void takeover_turn::hear(bool holder_heard,
                         holder_rank rank,
                         time_point now,
                         double draw)
{
    if (holder_heard) {
        next_look_.reset();
        started_ = true;
        return;
    }
    if (next_look_)
        return;
    const auto first = started_ ? duration{0} : share_of(first_spread, draw);
    next_look_ = now + first + delay(rank, draw);
    started_ = true;
}

void takeover_turn::looked(time_point expires_at,
                           holder_rank rank,
                           time_point now,
                           double draw)
{
    next_look_ = std::max(now + look_interval, expires_at) + delay(rank, draw);
}

void takeover_turn::released(bool named,
                             holder_rank rank,
                             time_point now,
                             double draw)
{
    started_ = true;
    next_look_ = named ? now : now + successor_head_start + delay(rank, draw);
}

} // namespace barleyfork
