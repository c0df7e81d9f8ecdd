#include <barleyfork/core/reader_choice.hpp>

#include <algorithm>
#include <utility>

namespace barleyfork {

bool reader_rank::is_better_than(const reader_rank& other) const
{
    if (link_mbps != other.link_mbps)
        return link_mbps > other.link_mbps;
    return id < other.id;
}

reader_choice::reader_choice(reader_rank self, time_point now)
    : self_(std::move(self)), silent_since_(now)
{
}

void reader_choice::on_word(const reader_rank& speaker,
                            bool follows,
                            time_point now)
{
    if (follows)
        readers_[speaker.id] = {speaker, now};
    else
        readers_.erase(speaker.id);
    if (follows)
        silent_since_ = now + word_life;
    else if (readers_.empty())
        silent_since_ = std::min(silent_since_, now);
}

duration reader_choice::pause() const noexcept
{
    return static_cast<std::int64_t>(better_placed_) * head_start;
}

std::optional<instance_id> reader_choice::best_reader(time_point now) const
{
    const word* best = nullptr;
    for (const auto& [id, heard] : readers_)
        if (now < heard.heard_at + word_life &&
            (best == nullptr || heard.speaker.is_better_than(best->speaker)))
            best = &heard;
    return best == nullptr ? std::nullopt : std::optional(best->speaker.id);
}

bool reader_choice::decide(time_point now)
{
    std::erase_if(readers_, [now](const auto& item) {
        return now >= item.second.heard_at + word_life;
    });
    const bool left_to_another =
        std::any_of(readers_.begin(), readers_.end(), [this](const auto& item) {
            return !reading_ || item.second.speaker.is_better_than(self_);
        });
    if (left_to_another)
        reading_ = false;
    else
        reading_ = reading_ || now >= silent_since_ + pause();
    return reading_;
}

} // namespace barleyfork
