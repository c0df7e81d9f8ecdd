#ifndef BARLEYFORK_CORE_READER_ELECTION_HPP
#define BARLEYFORK_CORE_READER_ELECTION_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>

namespace barleyfork {

/// Suitability of a daemon to read the store for its neighbours, the daemons of
/// its failure domain: the greater link bandwidth is better, then the smaller
/// id.
struct reader_rank
{
    double link_mbps = 0.0;
    instance_id id;

    bool is_better_than(const reader_rank& other) const;
};

/// Decides whether this daemon follows the configuration in the store itself or
/// relies on a neighbour, which forwards what it reads.
///
/// The store may be behind a slow link and a configuration may be large, so one
/// reader per failure domain is enough. A daemon becomes a reader while no
/// announcements of a reader arrive; of several readers the best one remains.
/// Not thread-safe.
class reader_election
{
public:
    /// Time for which a reader's announcement is valid: three announcement
    /// intervals.
    static constexpr duration announcement_lifetime{1200};
    /// Time that each better placed neighbour is given to start first.
    static constexpr duration head_start{150};
    /// Maximum number of neighbours that are given a head start.
    static constexpr std::size_t max_head_starts = 6;
    /// A daemon that does not know its neighbours yet waits for an announcement
    /// as if this many of them were better placed.
    static constexpr std::size_t initial_head_starts = 10;

    reader_election(reader_rank self, time_point now);

    /// Sets how many neighbours are better placed than this daemon.
    void set_better_placed(std::size_t count) noexcept
    {
        better_placed_ = std::min(count, max_head_starts);
    }

    /// Records a neighbour's announcement of whether it follows the store.
    void on_reader_announcement(const reader_rank& announcer,
                                bool follows,
                                time_point now);

    /// Returns true while this daemon must follow the store itself.
    bool decide(time_point now);

    /// Returns the best placed neighbour whose announcement to follow the store
    /// is valid.
    std::optional<instance_id> best_reader(time_point now) const;

    bool has_live_reader(time_point now) const
    {
        return best_reader(now).has_value();
    }

    /// Returns the last decision.
    bool is_reader() const noexcept
    {
        return reading_;
    }

private:
    struct announcement
    {
        reader_rank announcer;
        time_point received_at{};
    };

    duration start_delay() const noexcept;

    reader_rank self_;
    /// Neighbours whose last announcement is that they follow the store.
    std::map<instance_id, announcement> readers_;
    /// Time from which no reader's announcement is valid.
    time_point readerless_since_;
    std::size_t better_placed_ = initial_head_starts;
    bool reading_ = false;
};

} // namespace barleyfork

#endif
