#ifndef BARLEYFORK_BASE_TIME_HPP
#define BARLEYFORK_BASE_TIME_HPP

#include <chrono>
#include <ctime>

namespace barleyfork {

/// A duration in integer milliseconds.
using duration = std::chrono::milliseconds;

/// Converts seconds to a duration, truncated to whole milliseconds.
inline duration seconds(double count) noexcept
{
    constexpr double ms_per_second = 1000.0;
    return duration(static_cast<std::int64_t>(count * ms_per_second));
}

/// A time point of one process's monotonic clock. Must not be compared across
/// processes.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Reads the monotonic clock. Only workers call this function; decision code
/// receives the time as an argument.
inline time_point steady_now() noexcept
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
}

/// Reads the clock that also advances while the machine is suspended. Leases
/// use it because the other daemons count that time too.
inline time_point boot_now() noexcept
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec)));
}

/// Returns milliseconds since the Unix epoch, for logs and traces only.
inline std::int64_t wall_clock_ms() noexcept
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<duration>(now).count();
}

} // namespace barleyfork

#endif
