#ifndef BARLEYFORK_CORE_LIST_FOLLOWER_HPP
#define BARLEYFORK_CORE_LIST_FOLLOWER_HPP

#include <barleyfork/base/time.hpp>

#include <cstdint>

namespace barleyfork {

/// What another daemon says of the list of backend servers: that its message
/// holds all changes after version `since` of the store up to `position`, as
/// the list was at `known_at`.
struct list_claim
{
    std::uint64_t since = 0;
    std::uint64_t position = 0;
    time_point known_at{};
};

/// Who a daemon is to those that follow the list of servers.
enum class list_role : std::uint8_t
{
    /// Holds the placement's lease: reads for the whole deployment.
    holder,
    /// Reads for its failure domain where the holder is not heard.
    reader,
    neighbour,
};

/// What a daemon does to know the list.
enum class list_step : std::uint8_t
{
    nothing,
    /// A reader of the failure domain is asked for what was missed.
    ask_reader,
    read_store,
};

/// How often the list is read, at least.
struct list_intervals
{
    /// By the holder, always.
    duration holder{500};
    /// By a reader, once what it was told is this old.
    duration reader{1200};
    /// By others, once what they were told is this old: a reader's word
    /// comes within the difference.
    duration neighbour{1900};
    /// By a reader that is told all the time.
    duration floor{30000};
};

/// Time between a reader's words to its neighbours.
constexpr duration reader_word_interval{400};
/// The longest pause after a first failed call to the store.
constexpr duration longest_first_pause{450};

/// Shortens intervals where a leaving server must be known within `bound`
/// although one call to the store hangs for `call_timeout`.
list_intervals
within_bound(list_intervals intervals, duration bound, duration call_timeout);

/// Decides how a daemon follows the list of backend servers: by the word of
/// the placement's holder, by that of a reader in its failure domain, or by
/// reading the store. Not thread-safe.
class list_follower
{
public:
    /// A reader is asked for what was missed no more often than this.
    static constexpr duration ask_interval{300};

    explicit list_follower(list_intervals intervals) : intervals_(intervals) {}

    /// Takes in a claim. False where changes between what is known here and
    /// what it tells were missed; then nothing else changes.
    bool hear(const list_claim& claim);

    /// The list was read, as it was at `position`, by a call that began at
    /// `began`.
    void on_read(std::uint64_t position, time_point began);

    /// Something suggests that the list has changed.
    void want() noexcept
    {
        wanted_ = true;
    }

    /// The store's history does not reach back: the whole list is read next.
    void forget() noexcept
    {
        known_ = false;
    }

    /// The next step; `reader_heard` says that a reader of the failure domain
    /// can be asked.
    list_step next(list_role role, bool reader_heard, time_point now);

    /// All changes up to this version of the store are known; 0 before any.
    std::uint64_t position() const noexcept
    {
        return position_;
    }

    bool known() const noexcept
    {
        return known_;
    }

    /// The time as of which the list is known.
    time_point known_at() const noexcept
    {
        return known_at_;
    }

private:
    list_intervals intervals_;
    std::uint64_t position_ = 0;
    bool known_ = false;
    bool wanted_ = false;
    time_point known_at_{};
    time_point read_at_{};
    time_point asked_at_{};
};

} // namespace barleyfork

#endif
