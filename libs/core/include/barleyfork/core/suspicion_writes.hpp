#ifndef BARLEYFORK_CORE_SUSPICION_WRITES_HPP
#define BARLEYFORK_CORE_SUSPICION_WRITES_HPP

#include <barleyfork/base/time.hpp>
#include <barleyfork/core/crash_quarantine.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>

namespace barleyfork {

/// In which role a daemon stores the attributions that it knows.
enum class suspicion_writer : std::uint8_t
{
    /// It holds the placement's lease and knows what all daemons report.
    lease_holder,
    /// It hears no lease holder, and stores what it knows for the others of
    /// its kind.
    cut_off,
};

/// Decides when a daemon writes its row of attributions in the store.
///
/// Any number of daemons may be cut off, and each of them reads the others'
/// rows, so all of them together are bounded: beyond a first write each, they
/// start `max_cut_off_writes_per_second` writes a second at most, and
/// one of them writes only what no row that it read has. Not thread-safe.
class suspicion_writes
{
public:
    /// Minimum time between two writes of one daemon; crashes within it share
    /// one write.
    static constexpr duration min_interval{1000};
    static constexpr std::int64_t max_cut_off_writes_per_second = 4;
    /// Maximum number of attributions in a row, of 97 bytes each at most.
    static constexpr std::size_t max_blames_of_holder = 64;
    static constexpr std::size_t max_blames_of_cut_off = 16;
    /// Maximum number of attributions of other rows that are remembered.
    static constexpr std::size_t max_read_blames = 4096;

    /// Returns the maximum number of attributions in the row.
    static std::size_t max_blames(suspicion_writer writer);

    /// Returns the time between two writes of one daemon, one of `daemons`.
    static duration interval(suspicion_writer writer, std::size_t daemons);

    /// Returns whether the row is to be written now because it lacks some of
    /// the attributions in `known`. The caller then writes all of them.
    bool is_due(suspicion_writer writer,
                std::span<const reported_blame> known,
                std::size_t daemons,
                time_point now) const;

    /// Records that a write has started.
    void on_started(time_point now);

    /// Records what this daemon's row contains.
    void on_written(std::span<const reported_blame> blames);

    /// Records what rows in the store contain.
    void on_read(std::span<const reported_blame> blames);

    /// Forgets what is stored, since the store was restored from a backup that
    /// may lack it.
    void on_store_restored();

private:
    bool is_stored(suspicion_writer writer, const crash_blame& blame) const;

    std::set<crash_blame> written_;
    std::set<crash_blame> read_;
    bool has_started_ = false;
    time_point started_at_{};
};

} // namespace barleyfork

#endif
