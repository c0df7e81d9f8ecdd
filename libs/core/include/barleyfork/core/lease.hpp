#ifndef BARLEYFORK_CORE_LEASE_HPP
#define BARLEYFORK_CORE_LEASE_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace barleyfork {

/// The row of a lease in the table.
struct lease_row
{
    instance_id holder;
    /// Grows with every change of holder; serves as the fencing number.
    std::uint64_t epoch = 0;
    /// Tells a writer its own write from another's after a lost answer.
    std::string write_id;
};

/// Limits of a lease.
struct lease_options
{
    /// Others wait this long without a change of the row before they take it.
    duration term{6000};
    /// The holder stops this long before the term ends.
    duration margin{1500};
    /// The holder renews when this much time has passed.
    duration renewal{2000};
};

/// One daemon's side of one lease; clocks are never compared.
///
/// The holder counts its term from before it sent the write that took
/// effect. Another daemon counts from when it first saw the row's version.
/// The holder's term therefore ends first. Not thread-safe.
class lease
{
public:
    lease(instance_id self, lease_options options);

    /// Takes in the row as read, with its version (0 where it is absent).
    /// `age` is how long ago it was written at least, where that is known.
    void observe(const lease_row& row,
                 std::uint64_t version,
                 time_point now,
                 duration age = duration{0});

    /// The row to write now, or nothing. `candidate` says whether this daemon
    /// is the one that should take a free lease. A write whose outcome is
    /// unknown needs no call: the next `observe` tells.
    std::optional<lease_row>
    next_write(bool candidate, std::string write_id, time_point now);

    /// The write of `row` took effect as `version`.
    void written(const lease_row& row, std::uint64_t version, time_point now);

    /// The row to write to give the lease up, where it is held.
    std::optional<lease_row> release(std::string write_id, time_point now);

    /// True while this daemon may act under the lease.
    bool held(time_point now) const noexcept;

    /// When another daemon may take the lease, by what was last observed.
    time_point expires_at() const noexcept
    {
        return seen_at_ + options_.term;
    }

    /// The epoch under which this daemon acts.
    std::uint64_t epoch() const noexcept
    {
        return row_.epoch;
    }

    /// The row's version as last known, for the conditional write.
    std::uint64_t version() const noexcept
    {
        return version_;
    }

    /// The holder as last seen.
    const instance_id& holder() const noexcept
    {
        return row_.holder;
    }

private:
    struct pending_write
    {
        lease_row row;
        time_point sent_at{};
    };

    bool expired(time_point now) const noexcept;
    lease_row begin_write(lease_row row, time_point now);

    instance_id self_;
    lease_options options_;
    lease_row row_;
    std::uint64_t version_ = 0;
    bool observed_ = false;
    time_point seen_at_{};
    /// When the holder's term ends by its own clock, margin taken off.
    time_point held_until_{};
    /// Writes whose outcome is not known; at most one of them can take
    /// effect, since all expect the same version.
    std::vector<pending_write> pending_;
};

} // namespace barleyfork

#endif
