#ifndef BARLEYFORK_LOGS_PROMPT_BANDS_HPP
#define BARLEYFORK_LOGS_PROMPT_BANDS_HPP

#include <barleyfork/logs/log_line.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace barleyfork {

/// What became of the requests of one band of prompt sizes.
struct prompt_band
{
    /// Smallest and largest prompt of the band, in tokens.
    std::uint64_t min_tokens = 0;
    std::uint64_t max_tokens = 0;
    std::size_t requests = 0;
    /// Completed requests whose first event was within the latency target of
    /// their route, and those whose first event was later.
    std::size_t in_target = 0;
    std::size_t late = 0;
    /// Requests that were refused and have not run.
    std::size_t refused = 0;
    /// Requests whose caller left before the response was complete.
    std::size_t caller_left = 0;
    /// All others.
    std::size_t failed = 0;
    /// Times until the first event of all requests that had one, in ms.
    std::int64_t median_ms = 0;
    std::int64_t p95_ms = 0;
};

/// Requests with a prompt in four bands, each with a quarter of the requests,
/// from the shortest prompts to the longest.
using prompt_bands = std::array<prompt_band, 4>;

/// Builds the bands from the lines `request_ended` of daemons' logs. Lines
/// without prompt tokens are ignored.
prompt_bands count_prompt_bands(std::span<const log_line> log);

} // namespace barleyfork

#endif
