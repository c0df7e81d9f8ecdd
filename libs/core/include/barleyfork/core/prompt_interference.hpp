#ifndef BARLEYFORK_CORE_PROMPT_INTERFERENCE_HPP
#define BARLEYFORK_CORE_PROMPT_INTERFERENCE_HPP

#include <barleyfork/base/time.hpp>

#include <cstdint>
#include <span>

namespace barleyfork {

/// The order in which an engine reads a prompt, among requests of the same
/// priority.
enum class prompt_order : std::uint8_t
{
    /// By arrival.
    in_turn,
    /// After all prompts that are read in turn, including later ones.
    yields,
};

/// What is expected of a request on the server chosen for it.
struct prompt_prospects
{
    std::uint64_t prompt_tokens = 0;
    /// The engine's time to read the prompt, in milliseconds.
    double read_ms = 0.0;
    /// Expected times until the first event in either order, in milliseconds.
    double in_turn_ms = 0.0;
    double yielding_ms = 0.0;
    /// Time left until the latency target.
    duration to_target{0};
    /// Time left until the caller is expected to disconnect.
    duration to_disconnect{0};
};

/// Decides which prompts give way to shorter ones on engines of one service.
///
/// Load: one long prompt among many short ones, or many long ones, on the same
/// servers. A long prompt gives way only where that doesn't change its own
/// outcome: it still meets its target, or it can't meet it in either order
/// and its caller still gets the answer. Without effect where prompts have
/// similar sizes, or are read in a small part of the latency target. Not
/// thread-safe.
class prompt_interference
{
public:
    /// Records the size of the prompt of a received request.
    void observe_prompt(std::uint64_t tokens) noexcept;

    /// Returns true if a prompt of this size holds up others noticeably;
    /// `read_ms` is the time to read it.
    bool is_long(std::uint64_t tokens,
                 double read_ms,
                 duration latency_target) const noexcept;

    /// Returns the order for a long prompt.
    prompt_order decide(const prompt_prospects& prospects,
                        time_point now) const noexcept;

    /// Records that a request that gave way got its first event, or waited in
    /// vain, `waited_ms` after it was sent; `expected_ms` was its expected
    /// time without later prompts.
    void observe_yielded(double expected_ms,
                         double waited_ms,
                         time_point now) noexcept;

    /// Returns the factor by which later prompts prolong the wait of one that
    /// gives way; at least 1.
    double stretch(time_point now) const noexcept;

private:
    double weight_ = 0.0;
    double mean_tokens_ = 0.0;
    double mean_square_ = 0.0;
    double excess_ = 0.0;
    time_point excess_at_{};
    bool has_excess_ = false;
};

/// Returns the urgency to send to an engine, 0 to 9, where 0 is first. Keeps
/// the order of `priorities`, all priorities in use in ascending order; a
/// request that yields is behind those of its priority and before all less
/// urgent ones. If there are too many priorities for that, `order` has no
/// effect.
std::uint32_t engine_urgency(std::span<const std::uint32_t> priorities,
                             std::uint32_t priority,
                             prompt_order order) noexcept;

} // namespace barleyfork

#endif
