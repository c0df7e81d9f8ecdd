#ifndef BARLEYFORK_BASE_TIME_HPP
#define BARLEYFORK_BASE_TIME_HPP

#include <chrono>
#include <ctime>

namespace barleyfork {

/// A span of time in whole milliseconds.
using duration = std::chrono::milliseconds;

/// Whole milliseconds of a number of seconds.
inline duration seconds(double count) noexcept
{
    constexpr double ms_per_second = 1000.0;
    return duration(static_cast<std::int64_t>(count * ms_per_second));
}

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

/// Reads the clock that also counts while the machine is suspended. Leases
/// use it: others count that time too.
inline time_point boot_now() noexcept
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec)));
}

/// Milliseconds since the Unix epoch, for logs and traces only.
inline std::int64_t wall_clock_ms() noexcept
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<duration>(now).count();
}

} // namespace barleyfork

#endif
