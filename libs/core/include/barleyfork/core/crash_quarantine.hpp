#ifndef BARLEYFORK_CORE_CRASH_QUARANTINE_HPP
#define BARLEYFORK_CORE_CRASH_QUARANTINE_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace barleyfork {

/// A request that was on an engine process when it ended.
struct crash_blame
{
    std::uint64_t fingerprint = 0;
    /// Tells one end of one process from every other.
    std::uint64_t crash = 0;

    friend auto operator<=>(const crash_blame&, const crash_blame&) = default;
};

/// Finds requests that crash each backend server that runs them.
///
/// A request is blamed for a crash only if it was alone on the server, or if
/// it was there at an earlier crash too: the others of one crash stay free.
/// After `refusal_threshold` blamed crashes its fingerprint is refused. A
/// fingerprint under suspicion runs alone: `must_run_alone` says so.
/// Not thread-safe.
class crash_quarantine
{
public:
    /// Blamed crashes after which a fingerprint is refused everywhere.
    static constexpr std::size_t refusal_threshold = 2;

    /// `memory` is how long a fingerprint is remembered without news.
    explicit crash_quarantine(duration memory);

    /// A server crashed with these requests in flight on it from this daemon;
    /// the same crash may be told several times. Returns who is newly blamed.
    std::vector<crash_blame> on_crash(std::span<const std::uint64_t> in_flight,
                                      std::uint64_t crash,
                                      time_point now);

    /// The request ended with a whole answer: it is innocent.
    void on_answer(std::uint64_t fingerprint);

    /// Takes in what a peer or this daemon blames on a request.
    void merge(const crash_blame& blame, time_point now);

    /// True where the request is to be refused.
    bool refused(std::uint64_t fingerprint, time_point now) const;

    /// Crashes counted against it.
    std::size_t crashes(std::uint64_t fingerprint) const;

    /// Forgets what is older than the memory.
    void expire(time_point now);

private:
    struct entry
    {
        std::set<std::uint64_t> crashes;
        time_point changed_at{};
    };

    duration memory_;
    std::map<std::uint64_t, entry> entries_;
};

} // namespace barleyfork

#endif
