#include <barleyfork/core/table_follower.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

/// Time from the end of a read to the last request that ignores its result.
constexpr duration effect_delay{150};
/// Maximum delay of an announcement.
constexpr duration max_announcement_delay{100};
constexpr duration min_interval{200};

} // namespace

follower_intervals shorten_to_bound(follower_intervals intervals,
                                    duration bound,
                                    duration call_timeout)
{
    const auto max_interval =
        bound - call_timeout - max_first_retry_delay - effect_delay;
    intervals.reader =
        std::max(min_interval, std::min(intervals.reader, max_interval));
    intervals.holder = std::min(intervals.holder, intervals.reader);
    intervals.neighbour = intervals.reader + reader_announcement_interval +
                          max_announcement_delay;
    return intervals;
}

bool table_follower::on_peer_state(const table_claim& claim)
{
    // A restored store may have lost rows that are known only here.
    const bool is_later_era = claim.position.era() > position_.era();
    if (!is_known_ || claim.since > position_ || is_later_era) {
        refresh_needed_ = true;
        return false;
    }
    if (claim.position < position_)
        return true;
    refresh_needed_ = false;
    position_ = claim.position;
    known_at_ = std::max(known_at_, claim.known_at);
    return true;
}

void table_follower::on_read(store_version position, time_point began)
{
    is_known_ = true;
    refresh_needed_ = false;
    position_ = std::max(position_, position);
    known_at_ = std::max(known_at_, began);
    read_at_ = began;
}

void table_follower::on_confirmed(store_version position, time_point known_at)
{
    if (!position.is_known() || position < position_)
        return;
    // The store's history may not reach back to the position it had; others
    // know the same version, but nothing can be continued from there.
    is_known_ = is_known_ || position > position_;
    refresh_needed_ = false;
    position_ = position;
    known_at_ = std::max(known_at_, known_at);
}

follower_step
table_follower::next(follower_role role, bool reader_reachable, time_point now)
{
    const auto is_older = [this, now](duration age) {
        return now >= known_at_ + age;
    };
    switch (role) {
    case follower_role::holder:
        return now >= read_at_ + intervals_.holder ? follower_step::read_store
                                                   : follower_step::nothing;
    case follower_role::reader:
        return refresh_needed_ || is_older(intervals_.reader) ||
                       now >= read_at_ + intervals_.floor
                   ? follower_step::read_store
                   : follower_step::nothing;
    case follower_role::neighbour:
        break;
    }
    if (is_older(intervals_.neighbour) ||
        (refresh_needed_ && !reader_reachable))
        return follower_step::read_store;
    if (!refresh_needed_ || now < asked_at_ + min_ask_interval)
        return follower_step::nothing;
    asked_at_ = now;
    return follower_step::ask_reader;
}

} // namespace barleyfork
