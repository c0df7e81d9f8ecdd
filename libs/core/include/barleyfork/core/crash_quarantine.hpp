#ifndef BARLEYFORK_CORE_CRASH_QUARANTINE_HPP
#define BARLEYFORK_CORE_CRASH_QUARANTINE_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <unordered_map>
#include <utility>
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

/// A blame as one daemon tells it to another.
struct told_blame
{
    crash_blame blame;
    /// Time since the last crash that is blamed on the request.
    duration age{0};
};

/// When a request is refused for the crashes it is blamed for.
struct quarantine_limits
{
    /// How long a request is suspected without a new crash, and how long it is
    /// refused at first; each further crash doubles that.
    duration memory{0};
    /// Blamed crashes after which it is refused everywhere.
    std::size_t refusal_threshold = 2;
    /// A request that was answered whole is not blamed or refused for so long.
    duration trust{60000};
    /// News of others that met the same crash arrives within this; a crash
    /// counts towards a refusal from then on.
    duration settling{0};
    /// Further crashes are waited for at least so long where several requests
    /// met the same ones.
    duration doubt{0};
};

/// Finds requests that crash each backend server that runs them.
///
/// All that was on a server when its process ended is blamed, since any of it
/// may be the cause. What is innocent is answered whole by another server,
/// which clears it; only what is there at one crash after the other, without a
/// whole answer between, reaches `refusal_threshold` and is refused. Where
/// another that met as many may be the cause of all but a few of its crashes,
/// up to two further ones tell them apart; then only one that met more is held
/// to be the cause.
/// Once that time is over it may run again: an answer clears it, a crash
/// refuses it for twice as long. Bounded in entries. Not thread-safe.
class crash_quarantine
{
public:
    /// Fingerprints that are remembered at most, blamed ones and trusted ones
    /// each.
    static constexpr std::size_t most_entries = 8192;

    explicit crash_quarantine(quarantine_limits limits);

    /// A server crashed with these requests in flight on it from this daemon;
    /// the same crash may be told several times. Returns who is newly blamed.
    std::vector<crash_blame> on_crash(std::span<const std::uint64_t> in_flight,
                                      std::uint64_t crash,
                                      time_point now);

    /// The request ended with a whole answer: it is innocent.
    void on_answer(std::uint64_t fingerprint, time_point now);

    /// Takes in what a peer or this daemon blames on a request, as of `at`.
    /// False where that was known.
    bool merge(const crash_blame& blame, time_point at);

    /// True where one more crash brings the request to the threshold, or it is
    /// past it and not refused: where it runs next, no other such request
    /// should run.
    bool suspected(std::uint64_t fingerprint, time_point now) const;

    /// True where the request is to be refused.
    bool refused(std::uint64_t fingerprint, time_point now) const;

    /// How long it is still refused if no further crash is blamed on it.
    duration refused_for(std::uint64_t fingerprint, time_point now) const;

    /// Crashes counted against it.
    std::size_t crashes(std::uint64_t fingerprint) const;

    /// What is blamed on the requests that are refused.
    std::vector<told_blame> refusals(time_point now) const;

    /// The same on daemons that refuse the same requests.
    std::uint64_t digest(time_point now) const;

    /// Forgets what is older than the memory.
    void expire(time_point now);

private:
    struct entry
    {
        /// When each crash was blamed on it.
        std::map<std::uint64_t, time_point> crashes;
        time_point changed_at{};
    };

    bool is_trusted(std::uint64_t fingerprint, time_point now) const;
    time_point refused_until(const entry& known) const;
    bool is_settled(time_point blamed_at, time_point now) const;
    std::size_t settled_crashes(const entry& known, time_point now) const;
    bool
    has_rival(const entry& known, std::size_t at_least, time_point now) const;
    bool is_condemned(const entry& known, time_point now) const;
    void make_room(time_point now);

    quarantine_limits limits_;
    std::map<std::uint64_t, entry> entries_;
    /// Until when each request is trusted, and the same in that order.
    std::unordered_map<std::uint64_t, time_point> trusted_;
    std::deque<std::pair<time_point, std::uint64_t>> trust_order_;
};

} // namespace barleyfork

#endif
