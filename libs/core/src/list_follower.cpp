#include <barleyfork/core/list_follower.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

/// From a read's end to the last request that did not heed it.
constexpr duration way_slack{150};
/// A word comes this much later than it should.
constexpr duration word_slack{100};
constexpr duration shortest_interval{200};

} // namespace

list_intervals
within_bound(list_intervals intervals, duration bound, duration call_timeout)
{
    const auto longest = bound - call_timeout - longest_first_pause - way_slack;
    intervals.reader =
        std::max(shortest_interval, std::min(intervals.reader, longest));
    intervals.holder = std::min(intervals.holder, intervals.reader);
    intervals.neighbour = intervals.reader + reader_word_interval + word_slack;
    return intervals;
}

bool list_follower::hear(const list_claim& claim)
{
    if (!known_ || claim.since > position_) {
        wanted_ = true;
        return false;
    }
    if (claim.position < position_)
        return true;
    wanted_ = false;
    position_ = claim.position;
    known_at_ = std::max(known_at_, claim.known_at);
    return true;
}

void list_follower::on_read(std::uint64_t position, time_point began)
{
    known_ = true;
    wanted_ = false;
    position_ = std::max(position_, position);
    known_at_ = std::max(known_at_, began);
    read_at_ = began;
}

list_step list_follower::next(list_role role, bool reader_heard, time_point now)
{
    const auto is_older = [this, now](duration age) {
        return now >= known_at_ + age;
    };
    switch (role) {
    case list_role::holder:
        return now >= read_at_ + intervals_.holder ? list_step::read_store
                                                   : list_step::nothing;
    case list_role::reader:
        return wanted_ || is_older(intervals_.reader) ||
                       now >= read_at_ + intervals_.floor
                   ? list_step::read_store
                   : list_step::nothing;
    case list_role::neighbour:
        break;
    }
    if (is_older(intervals_.neighbour) || (wanted_ && !reader_heard))
        return list_step::read_store;
    if (!wanted_ || now < asked_at_ + ask_interval)
        return list_step::nothing;
    asked_at_ = now;
    return list_step::ask_reader;
}

} // namespace barleyfork
