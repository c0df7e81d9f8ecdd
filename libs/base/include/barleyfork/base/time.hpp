#ifndef BARLEYFORK_BASE_TIME_HPP
#define BARLEYFORK_BASE_TIME_HPP

#include <chrono>

namespace barleyfork {

/// A span of time in whole milliseconds.
using duration = std::chrono::milliseconds;

/// A point on one process's monotonic clock; never compared across
/// processes.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Reads the monotonic clock. Only duties call it; decisions take the time
/// as an argument.
inline time_point steady_now() noexcept
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
}

/// Milliseconds since the Unix epoch, for logs and traces only.
inline std::int64_t wall_clock_ms() noexcept
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<duration>(now).count();
}

} // namespace barleyfork

#endif
