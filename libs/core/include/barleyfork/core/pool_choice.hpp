#ifndef BARLEYFORK_CORE_POOL_CHOICE_HPP
#define BARLEYFORK_CORE_POOL_CHOICE_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>

#include <map>
#include <optional>
#include <vector>

namespace barleyfork {

/// A daemon that may pool tokens.
struct pool_candidate
{
    instance_id instance;
    double link_mbps = 0.0;
};

/// Chooses the daemon to which this one transfers its tokens: the first in an
/// order that is the same everywhere, among those that answer. Not thread-safe.
class pool_choice
{
public:
    /// Sets the candidates, in any order. The widest link comes first, since a
    /// pool exchanges messages with all daemons, then a hash of the id.
    void set_candidates(std::vector<pool_candidate> candidates);

    /// Returns the chosen daemon; empty without candidates.
    const instance_id& current() const noexcept
    {
        return current_;
    }

    /// Records that a daemon left a request unanswered.
    void on_silent(const instance_id& instance, time_point now);

    /// Records an answer. A daemon that answers again is chosen again.
    void on_answer(const instance_id& instance);

    /// Returns a daemon that was silent and comes before the chosen one, if it
    /// is time to ask it again.
    std::optional<instance_id> next_probe(time_point now);

private:
    void choose();

    std::vector<instance_id> ranked_;
    /// When each silent daemon is asked again.
    std::map<instance_id, time_point> silent_;
    instance_id current_;
};

} // namespace barleyfork

#endif
