#ifndef BARLEYFORK_CORE_STORE_COMPLETENESS_HPP
#define BARLEYFORK_CORE_STORE_COMPLETENESS_HPP

#include <barleyfork/base/time.hpp>

#include <cstdint>
#include <optional>

namespace barleyfork {

/// Decides whether the store contains everything that it acknowledged.
///
/// A store that was restored from a backup lacks what it acknowledged last,
/// until operators and servers have written that again. A process that has just
/// started sees an era, but not when that began. It takes the first response
/// that it gets for the moment of the restore, unless a daemon has recorded in
/// the store that it was complete in this era: no backup contains a record of
/// the era that begins with its restore. Not thread-safe.
class store_completeness
{
public:
    /// Before the first start of a deployment nothing was acknowledged.
    explicit store_completeness(bool is_first_start) noexcept
        : is_first_start_(is_first_start)
    {
    }

    /// Records the era of a response, whatever that says, or of another
    /// daemon's message, at the time of `boot_now`. 0 is the era of a store
    /// that is never restored.
    void observe(std::uint64_t era, time_point now) noexcept;

    /// Records that the store served a call in an observed era: before that
    /// nobody could write again.
    void on_served(std::uint64_t era, time_point now) noexcept;

    /// Records that a daemon found the store complete in `era`. Returns true if
    /// that was not known here.
    bool on_recorded(std::uint64_t era) noexcept;

    /// Returns whether a call that began at `began` shows everything, if what a
    /// backup lacks is written again within `rewrite_time` after a restore.
    bool is_complete(time_point began, duration rewrite_time) const noexcept;

    /// Returns the newest era in which the store was complete by `now`; 0 if
    /// none is known.
    std::uint64_t complete_era(time_point now, duration rewrite_time) noexcept;

private:
    bool is_first_start_;
    std::uint64_t era_ = 0;
    std::uint64_t complete_era_ = 0;
    /// The time as of which the store may lack something; unset if it lacks
    /// nothing.
    std::optional<time_point> restored_at_;
    /// Whether no call was served in this era yet.
    bool awaits_service_ = false;
};

} // namespace barleyfork

#endif
