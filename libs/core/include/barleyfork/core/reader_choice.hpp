#ifndef BARLEYFORK_CORE_READER_CHOICE_HPP
#define BARLEYFORK_CORE_READER_CHOICE_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>

namespace barleyfork {

/// How well a daemon suits to read the store for its neighbours, the daemons
/// of its failure domain: a wide link first, then the smaller id.
struct reader_rank
{
    double link_mbps = 0.0;
    instance_id id;

    bool is_better_than(const reader_rank& other) const;
};

/// Decides whether this daemon follows the configuration in the store itself
/// or leaves that to a neighbour, which passes on what it reads.
///
/// The store may lie behind a narrow link and a configuration may be large,
/// so one reader a failure domain is enough. A daemon reads while it hears
/// no reader; of several readers the best one stays. Not thread-safe.
class reader_choice
{
public:
    /// A reader's word stands for this long: three words fit into it.
    static constexpr duration word_life{1200};
    /// How long each better placed neighbour is given to begin first.
    static constexpr duration head_start{150};
    /// No daemon lets more neighbours than this go first.
    static constexpr std::size_t most_head_starts = 6;
    /// A daemon that does not know its neighbours yet waits for a word as if
    /// so many were better placed.
    static constexpr std::size_t unknown_head_starts = 10;

    reader_choice(reader_rank self, time_point now);

    /// How many neighbours are better placed than this daemon.
    void set_better_placed(std::size_t count) noexcept
    {
        better_placed_ = std::min(count, most_head_starts);
    }

    /// A neighbour said whether it follows the store.
    void on_word(const reader_rank& speaker, bool follows, time_point now);

    /// True while this daemon is to follow the store itself.
    bool decide(time_point now);

    /// The best placed neighbour that is heard to follow the store.
    std::optional<instance_id> best_reader(time_point now) const;

    bool hears_reader(time_point now) const
    {
        return best_reader(now).has_value();
    }

    /// The last decision.
    bool is_reader() const noexcept
    {
        return reading_;
    }

private:
    struct word
    {
        reader_rank speaker;
        time_point heard_at{};
    };

    duration pause() const noexcept;

    reader_rank self_;
    /// The neighbours that said last that they follow the store.
    std::map<instance_id, word> readers_;
    /// Since when no reader is heard.
    time_point silent_since_;
    std::size_t better_placed_ = unknown_head_starts;
    bool reading_ = false;
};

} // namespace barleyfork

#endif
