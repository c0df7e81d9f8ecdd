#ifndef BARLEYFORK_CORE_TABLE_FOLLOWER_HPP
#define BARLEYFORK_CORE_TABLE_FOLLOWER_HPP

#include <barleyfork/base/time.hpp>
#include <barleyfork/core/store_version.hpp>

#include <cstdint>

namespace barleyfork {

/// Another daemon's statement about a table of the store: its message contains
/// all changes after version `since` of the store up to `position`, as of
/// `known_at`.
struct table_claim
{
    store_version since;
    store_version position;
    time_point known_at{};
};

/// Role of a daemon among those that follow a table.
enum class follower_role : std::uint8_t
{
    /// Holds the placement lease: reads for the entire deployment.
    holder,
    /// Reads for its failure domain while no messages of the holder arrive.
    reader,
    neighbour,
};

/// Action by which a daemon updates its copy of a table.
enum class follower_step : std::uint8_t
{
    nothing,
    /// Ask a reader of the failure domain for the missed changes.
    ask_reader,
    read_store,
};

/// Times after which a daemon reads a table from the store.
struct follower_intervals
{
    /// By the holder, always.
    duration holder{500};
    /// By a reader, once what it knows is this old.
    duration reader{1200};
    /// By others, once what they know is this old: a reader's announcement
    /// arrives within the difference.
    duration neighbour{1900};
    /// By a reader that receives announcements all the time.
    duration floor{30000};
};

/// Time between a reader's announcements to its neighbours.
constexpr duration reader_announcement_interval{400};
/// Maximum delay after a first failed call to the store.
constexpr duration max_first_retry_delay{450};

/// Shortens intervals so that a change is known within `bound` although one
/// call to the store hangs for `call_timeout`.
follower_intervals shorten_to_bound(follower_intervals intervals,
                                    duration bound,
                                    duration call_timeout);

/// Decides how a daemon follows a table of the store: by announcements
/// of the placement's lease holder, by those of a reader in its failure
/// domain, or by reading the store. Not thread-safe.
class table_follower
{
public:
    /// Minimum time between two requests to a reader for missed changes.
    static constexpr duration min_ask_interval{300};

    explicit table_follower(follower_intervals intervals)
        : intervals_(intervals)
    {
    }

    /// Applies a claim. Returns false where changes between the position known
    /// here and the claim's start were missed, or where the claim is of a later
    /// era of the store; then the daemon only schedules a refresh.
    bool on_peer_state(const table_claim& claim);

    /// Records a read of the table at `position` by a call that began at
    /// `began`.
    void on_read(store_version position, time_point began);

    /// Records that what is known here was compared with the state of the store
    /// as of `known_at` and is complete up to `position`, which may be of a
    /// later era. Has no effect if more is known already.
    void on_confirmed(store_version position, time_point known_at);

    /// Schedules a refresh, since the table may have changed.
    void request_refresh() noexcept
    {
        refresh_needed_ = true;
    }

    /// Marks what is known as unusable, since the store's history does not
    /// reach back to its position; the complete table is read next.
    void forget() noexcept
    {
        is_known_ = false;
    }

    /// Returns the next step; `reader_reachable` is true where a reader of the
    /// failure domain can be asked.
    follower_step
    next(follower_role role, bool reader_reachable, time_point now);

    /// Returns the version of the store up to which all changes are known;
    /// unknown before the first read.
    store_version position() const noexcept
    {
        return position_;
    }

    bool known() const noexcept
    {
        return is_known_;
    }

    /// Returns the time as of which the table is known.
    time_point known_at() const noexcept
    {
        return known_at_;
    }

private:
    follower_intervals intervals_;
    store_version position_;
    bool is_known_ = false;
    bool refresh_needed_ = false;
    time_point known_at_{};
    time_point read_at_{};
    time_point asked_at_{};
};

} // namespace barleyfork

#endif
