#ifndef BARLEYFORK_CORE_CLOCK_BOUNDS_HPP
#define BARLEYFORK_CORE_CLOCK_BOUNDS_HPP

#include <barleyfork/base/time.hpp>

#include <cstdint>
#include <optional>

namespace barleyfork {

/// Bounds on the difference between another steady clock, in milliseconds, and
/// the local one, from calls whose responses contain a reading of the other
/// clock. Readings convert in both directions so that the result is never too
/// late. Not thread-safe.
class clock_bounds
{
public:
    /// Records a reading that was made between two local times.
    void observe(std::int64_t reading_ms, time_point sent, time_point received);

    /// Returns a reading that the other clock had reached at local time `at`;
    /// nothing if there was no response yet.
    std::optional<std::int64_t> reading_reached_at(time_point at) const;

    /// Returns a local time at which the other clock had not passed the reading
    /// yet; nothing if there was no response yet.
    std::optional<time_point> time_before(std::int64_t reading_ms) const;

private:
    /// A bound on the other clock's reading less the local time.
    struct bound
    {
        std::int64_t difference_ms = 0;
        time_point observed_at{};
    };

    static std::int64_t max_drift_ms(const bound& from, time_point at);

    bool is_known_ = false;
    bound lower_;
    bound upper_;
};

} // namespace barleyfork

#endif
