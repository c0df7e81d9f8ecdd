#include <barleyfork/core/reader_election.hpp>

#include <algorithm>
#include <utility>

namespace barleyfork {

bool reader_rank::is_better_than(const reader_rank& other) const
{
    if (link_mbps != other.link_mbps)
        return link_mbps > other.link_mbps;
    return id < other.id;
}

reader_election::reader_election(reader_rank self, time_point now)
    : self_(std::move(self)), readerless_since_(now)
{
}

void reader_election::on_reader_announcement(const reader_rank& announcer,
                                             bool follows,
                                             time_point now)
{
    if (follows)
        readers_[announcer.id] = {announcer, now};
    else
        readers_.erase(announcer.id);
    if (follows)
        readerless_since_ = now + announcement_lifetime;
    else if (readers_.empty())
        readerless_since_ = std::min(readerless_since_, now);
}

duration reader_election::start_delay() const noexcept
{
    return static_cast<std::int64_t>(better_placed_) * head_start;
}

std::optional<instance_id> reader_election::best_reader(time_point now) const
{
    const announcement* best = nullptr;
    for (const auto& [id, entry] : readers_)
        if (now < entry.received_at + announcement_lifetime &&
            (best == nullptr ||
             entry.announcer.is_better_than(best->announcer)))
            best = &entry;
    return best == nullptr ? std::nullopt : std::optional(best->announcer.id);
}

bool reader_election::decide(time_point now)
{
    std::erase_if(readers_, [now](const auto& item) {
        return now >= item.second.received_at + announcement_lifetime;
    });
    const bool has_other_reader =
        std::any_of(readers_.begin(), readers_.end(), [this](const auto& item) {
            return !reading_ || item.second.announcer.is_better_than(self_);
        });
    if (has_other_reader)
        reading_ = false;
    else
        reading_ = reading_ || now >= readerless_since_ + start_delay();
    return reading_;
}

} // namespace barleyfork
