#include <barleyfork/core/list_follower.hpp>

#include <algorithm>

namespace barleyfork {

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
