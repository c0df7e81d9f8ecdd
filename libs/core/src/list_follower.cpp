#include <barleyfork/core/list_follower.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

/// Time from the end of a read to the last request that ignores its result.
constexpr duration effect_delay{150};
/// Maximum delay of an announcement.
constexpr duration max_announcement_delay{100};
constexpr duration min_interval{200};

} // namespace

list_intervals shorten_to_bound(list_intervals intervals,
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

bool list_follower::on_peer_state(const list_claim& claim)
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

void list_follower::on_read(store_version position, time_point began)
{
    is_known_ = true;
    refresh_needed_ = false;
    position_ = std::max(position_, position);
    known_at_ = std::max(known_at_, began);
    read_at_ = began;
}

list_step
list_follower::next(list_role role, bool reader_reachable, time_point now)
{
    const auto is_older = [this, now](duration age) {
        return now >= known_at_ + age;
    };
    switch (role) {
    case list_role::holder:
        return now >= read_at_ + intervals_.holder ? list_step::read_store
                                                   : list_step::nothing;
    case list_role::reader:
        return refresh_needed_ || is_older(intervals_.reader) ||
                       now >= read_at_ + intervals_.floor
                   ? list_step::read_store
                   : list_step::nothing;
    case list_role::neighbour:
        break;
    }
    if (is_older(intervals_.neighbour) ||
        (refresh_needed_ && !reader_reachable))
        return list_step::read_store;
    if (!refresh_needed_ || now < asked_at_ + min_ask_interval)
        return list_step::nothing;
    asked_at_ = now;
    return list_step::ask_reader;
}

} // namespace barleyfork
