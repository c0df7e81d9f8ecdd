#ifndef BARLEYFORK_CORE_LEASE_HPP
#define BARLEYFORK_CORE_LEASE_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/core/store_version.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace barleyfork {

/// Row of a lease in the table.
struct lease_row
{
    instance_id holder;
    /// Grows with every change of holder; serves as the fencing number.
    std::uint64_t epoch = 0;
    /// Identifies the write, so that a writer recognizes its own row after a
    /// lost response.
    std::string write_id;
};

/// Limits of a lease.
struct lease_options
{
    /// Other daemons acquire the lease once the row has not changed for this
    /// long.
    duration term{6000};
    /// The holder stops acting this long before the term ends.
    duration margin{1500};
    /// The holder renews the lease once this much of the term has passed.
    duration renewal_interval{2000};
};

/// Where a lease row that was read comes from.
enum class row_origin : std::uint8_t
{
    /// Written since the store was last restored.
    current,
    /// Part of the backup from which the store was restored: later holders may
    /// be missing from it.
    backup,
};

/// State of one lease in one daemon. Needs no synchronized clocks.
///
/// The holder's term starts before it sent the write that took effect. For
/// other daemons the term starts when they first read the row's version. The
/// holder's term therefore ends first. Not thread-safe.
class lease
{
public:
    lease(instance_id self, lease_options options);

    /// Processes the row as read, with its version (number 0 where the row is
    /// absent). `age` is the minimum age of the row, where that is known. A row
    /// of a backup says nothing of the present holder, so this daemon keeps a
    /// lease that it holds, and otherwise waits for a full term.
    void observe(const lease_row& row,
                 store_version version,
                 time_point now,
                 duration age = duration{0},
                 row_origin origin = row_origin::current);

    /// Returns the row to write now, or nothing. `candidate` is true where
    /// this daemon should acquire a free lease. A write whose outcome is
    /// unknown needs no call: the next `observe` determines the outcome.
    std::optional<lease_row>
    next_write(bool candidate, std::string write_id, time_point now);

    /// Records that the write of `row` took effect as `version`.
    void written(const lease_row& row, store_version version, time_point now);

    /// Releases the lease: returns the row to write, or nothing where this
    /// daemon does not hold the lease.
    std::optional<lease_row> release(std::string write_id, time_point now);

    /// Returns true while this daemon may act under the lease.
    bool held(time_point now) const noexcept;

    /// Returns when another daemon may acquire the lease, according to the row
    /// last observed.
    time_point expires_at() const noexcept;

    /// Returns the epoch under which this daemon acts.
    std::uint64_t epoch() const noexcept
    {
        return row_.epoch;
    }

    /// Returns the row's last known version, for the conditional write.
    store_version version() const noexcept
    {
        return version_;
    }

    /// Returns the holder in the row last observed.
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

    std::uint64_t next_epoch() const noexcept;
    lease_row begin_write(lease_row row, time_point now);

    instance_id self_;
    lease_options options_;
    lease_row row_;
    store_version version_;
    bool observed_ = false;
    time_point seen_at_{};
    /// The largest epoch observed, which a restored row may lack.
    std::uint64_t largest_epoch_ = 0;
    /// True if the row is of a backup, so that the present holder is unknown.
    bool is_holder_unknown_ = false;
    /// True if this daemon holds the lease and the restored row does not say
    /// so.
    bool must_write_again_ = false;
    /// When this daemon stops acting as holder by its own clock: the end of
    /// its term less the margin.
    time_point held_until_{};
    /// Writes whose outcome is not known; at most one of them can take
    /// effect, since all expect the same version.
    std::vector<pending_write> pending_;
};

} // namespace barleyfork

#endif
