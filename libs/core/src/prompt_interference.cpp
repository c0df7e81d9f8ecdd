#include <barleyfork/core/prompt_interference.hpp>

#include <algorithm>
#include <cmath>

namespace barleyfork {

namespace {

/// Number of prompts over which sizes are averaged, and below which nothing
/// is known of their spread.
constexpr double averaged_prompts = 500.0;
constexpr double min_prompts = 20.0;
/// Standard deviation relative to the mean from which sizes differ.
constexpr double min_relative_spread = 0.5;
/// A prompt is long from this multiple of the mean size on.
constexpr double long_prompt_ratio = 1.5;
/// Part of the latency target that the reading of a long prompt takes at
/// least.
constexpr double min_target_part = 0.05;
/// Parts of the time left that a request that gives way may be expected to
/// take: until its target, and until its caller disconnects.
constexpr double max_target_part = 0.4;
constexpr double max_disconnect_part = 0.5;
/// The excess of the wait of requests that gave way, relative to what was
/// expected: assumed at first, its bound, the weight of an observation and
/// its half-life.
constexpr double assumed_excess = 0.5;
constexpr double max_excess = 8.0;
constexpr double excess_weight = 0.1;
constexpr double excess_half_life_ms = 5000.0;

constexpr std::uint32_t urgency_levels = 10;

double milliseconds(duration time)
{
    return static_cast<double>(time.count());
}

} // namespace

void prompt_interference::observe_prompt(std::uint64_t tokens) noexcept
{
    const auto size = static_cast<double>(tokens);
    weight_ = std::min(weight_ + 1.0, averaged_prompts);
    mean_tokens_ += (size - mean_tokens_) / weight_;
    mean_square_ += (size * size - mean_square_) / weight_;
}

bool prompt_interference::is_long(std::uint64_t tokens,
                                  double read_ms,
                                  duration latency_target) const noexcept
{
    const double variance =
        std::max(mean_square_ - mean_tokens_ * mean_tokens_, 0.0);
    return weight_ >= min_prompts &&
           std::sqrt(variance) >= min_relative_spread * mean_tokens_ &&
           static_cast<double>(tokens) >= long_prompt_ratio * mean_tokens_ &&
           read_ms >= min_target_part * milliseconds(latency_target);
}

prompt_order prompt_interference::decide(const prompt_prospects& prospects,
                                         time_point now) const noexcept
{
    const double expected_ms = prospects.yielding_ms * stretch(now);
    const bool still_meets_target =
        expected_ms <= max_target_part * milliseconds(prospects.to_target);
    const bool misses_target_anyway =
        prospects.in_turn_ms > milliseconds(prospects.to_target);
    const bool is_still_answered =
        expected_ms <=
        max_disconnect_part * milliseconds(prospects.to_disconnect);
    return still_meets_target || (misses_target_anyway && is_still_answered)
               ? prompt_order::yields
               : prompt_order::in_turn;
}

void prompt_interference::observe_yielded(double expected_ms,
                                          double waited_ms,
                                          time_point now) noexcept
{
    if (expected_ms <= 0.0)
        return;
    const double sample =
        std::clamp(waited_ms / expected_ms - 1.0, 0.0, max_excess);
    const double before = stretch(now) - 1.0;
    excess_ = before + excess_weight * (sample - before);
    excess_at_ = now;
    has_excess_ = true;
}

double prompt_interference::stretch(time_point now) const noexcept
{
    if (!has_excess_)
        return 1.0 + assumed_excess;
    const double age_ms = milliseconds(now - excess_at_);
    const double kept = std::exp2(-age_ms / excess_half_life_ms);
    return 1.0 + assumed_excess + kept * (excess_ - assumed_excess);
}

std::uint32_t engine_urgency(std::span<const std::uint32_t> priorities,
                             std::uint32_t priority,
                             prompt_order order) noexcept
{
    constexpr std::uint32_t levels_to_yield = 2;
    const auto rank = static_cast<std::uint32_t>(
        std::lower_bound(priorities.begin(), priorities.end(), priority) -
        priorities.begin());
    const auto count = static_cast<std::uint32_t>(priorities.size());
    if (levels_to_yield * count > urgency_levels)
        return std::min(rank, urgency_levels - 1);
    const std::uint32_t yielding = order == prompt_order::yields ? 1 : 0;
    return std::min(levels_to_yield * rank + yielding, urgency_levels - 1);
}

} // namespace barleyfork
