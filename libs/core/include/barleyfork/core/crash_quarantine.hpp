#ifndef BARLEYFORK_CORE_CRASH_QUARANTINE_HPP
#define BARLEYFORK_CORE_CRASH_QUARANTINE_HPP

#include <barleyfork/base/time.hpp>
#include <barleyfork/core/crash_suspects.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace barleyfork {

/// Attributes the crash of an engine process to a request in flight on it, or
/// to a part of that request's prompt.
struct crash_blame
{
    crash_suspect fingerprint = 0;
    /// Identifies one crash of one process.
    std::uint64_t crash = 0;

    friend auto operator<=>(const crash_blame&, const crash_blame&) = default;
};

/// An attribution as one daemon sends it to another.
struct reported_blame
{
    crash_blame blame;
    /// Time since the last crash that was attributed to the request.
    duration age{0};
};

/// Which of the suspects below a refusal are meant.
enum class suspicion_scope : std::uint8_t
{
    /// Requests and parts that one more crash brings to the threshold.
    near_refusal,
    /// These, and all requests with fewer crashes.
    all_requests,
};

/// Limits that decide when a request is refused for attributed crashes.
struct quarantine_limits
{
    /// How long a request stays suspected without a new crash, and the length
    /// of its first refusal. Each further crash doubles the refusal.
    duration memory{0};
    /// Attributed crashes from which on every daemon refuses the request.
    std::size_t refusal_threshold = 2;
    /// After a complete response no crash is attributed to the request for this
    /// time, and the request is not refused.
    duration trust{60000};
    /// Time within which the peers report the other requests that were in
    /// flight at the same crash. A crash counts towards a refusal only after
    /// this time.
    duration settling_period{0};
    /// Minimum time to wait for further crashes while several requests share
    /// the same ones.
    duration doubt{0};
};

/// Finds requests that crash each backend server that runs them.
///
/// A crash is attributed to every request in flight on the server, since any of
/// them may be the cause. An innocent request gets a complete response from
/// another server, which clears it. Only a request that is in flight at
/// successive crashes, without a complete response in between, reaches
/// `refusal_threshold` and is refused. If another request with as many crashes
/// may be the cause of all but a few of them, the decision waits for up to two
/// further crashes that separate the two; after those, only a request with more
/// crashes than this one can still keep it from being refused.
/// When the refusal ends, the request may run again: a complete response clears
/// it, a crash refuses it for twice as long. The number of entries is bounded.
///
/// A part of prompts is blamed and cleared like a request. Since innocent parts
/// go along with it, it is refused only in requests that hold everything that
/// may be the cause: each suspect outside the request must leave
/// `refusal_threshold` of its crashes unexplained. So a request with the
/// innocent parts alone runs, and its response clears these.
/// Not thread-safe.
class crash_quarantine
{
public:
    /// Maximum number of stored fingerprints, for suspected and for trusted
    /// requests separately.
    static constexpr std::size_t max_fingerprints = 8192;

    explicit crash_quarantine(quarantine_limits limits);

    /// Attributes a crash to the requests of this daemon that were in flight on
    /// the server. The same crash may be reported several times. Returns the
    /// attributions that are new.
    std::vector<crash_blame> on_crash(std::span<const std::uint64_t> in_flight,
                                      std::uint64_t crash,
                                      time_point now);

    /// Clears a request or part that got a complete response, and trusts it for
    /// `quarantine_limits::trust`. Returns true if crashes were attributed to
    /// it.
    bool on_answer(crash_suspect fingerprint, time_point now);

    /// Returns whether a complete response cleared the suspect within
    /// `quarantine_limits::trust`.
    bool is_trusted(crash_suspect fingerprint, time_point now) const;

    /// Adds an attribution by a peer or by this daemon, made at `at`. Returns
    /// false if it was known already.
    bool merge(const crash_blame& blame, time_point at);

    /// Returns whether one more crash brings the request to the threshold, or
    /// whether it has reached the threshold already. No other such request
    /// should run on the server that runs this one.
    bool suspected(std::uint64_t fingerprint, time_point now) const;

    /// Returns whether the request is to be refused.
    bool refused(std::uint64_t fingerprint, time_point now) const;

    /// Returns the remaining time of the refusal if no further crash is
    /// attributed to the request.
    duration remaining_refusal(std::uint64_t fingerprint, time_point now) const;

    /// Returns whether the request is suspected, as a whole or for a part.
    bool suspected(const crash_suspects& request, time_point now) const;

    /// Returns the suspect for which the request is to be refused: itself or
    /// one of its parts. Returns nothing if it may run.
    std::optional<crash_suspect> refusal_cause(const crash_suspects& request,
                                               time_point now) const;

    /// Returns the number of crashes attributed to the request or to the one
    /// of its parts that has the most.
    std::size_t crashes(const crash_suspects& request) const;

    /// Returns the number of crashes attributed to the request.
    std::size_t crashes(std::uint64_t fingerprint) const;

    /// Returns all attributions to a request or part.
    std::vector<reported_blame> attributions(crash_suspect fingerprint,
                                             time_point now) const;

    /// Returns the attributions of all refused requests.
    std::vector<reported_blame> refusals(time_point now) const;

    /// Returns the attributions of suspects that are not refused, those of the
    /// suspects with the most crashes first; `limit` at most.
    std::vector<reported_blame>
    suspicions(suspicion_scope scope, time_point now, std::size_t limit) const;

    /// Returns a digest that is equal on daemons that refuse the same requests.
    std::uint64_t digest(time_point now) const;

    /// Removes expired entries.
    void expire(time_point now);

private:
    struct entry
    {
        crash_suspect suspect = 0;
        /// When each crash was attributed to the request.
        std::map<std::uint64_t, time_point> crashes;
        time_point last_crash_at{};
    };

    static void append_report(std::uint64_t fingerprint,
                              const entry& known,
                              time_point now,
                              std::vector<reported_blame>& reported);
    time_point refused_until(const entry& known) const;
    bool is_near_refusal(const entry& known) const;
    bool is_in(suspicion_scope scope, const entry& known) const;
    bool is_settled(time_point blamed_at, time_point now) const;
    std::size_t settled_crashes(const entry& known, time_point now) const;
    static std::size_t crashes_by(const entry& known, time_point until);
    std::size_t settled_crashes_without(const entry& known,
                                        const entry& other,
                                        time_point now) const;
    template <class Predicate>
    bool has_other_suspect(const entry& known,
                           const crash_suspects& request,
                           time_point now,
                           Predicate is_candidate) const;
    bool is_part_refused(const entry& known,
                         const crash_suspects& request,
                         time_point now) const;
    bool is_request_refused(const entry& known,
                            const crash_suspects& request,
                            time_point now) const;
    bool meets_refusal_rule(const entry& known,
                            const crash_suspects& request,
                            time_point now) const;
    bool meets_refusal_rule(const entry& known, time_point now) const;
    void make_room(time_point now);

    quarantine_limits limits_;
    std::map<std::uint64_t, entry> entries_;
    /// When the trust in each request ends, and the same ordered by that time.
    std::unordered_map<std::uint64_t, time_point> trusted_;
    std::deque<std::pair<time_point, std::uint64_t>> trust_order_;
};

} // namespace barleyfork

#endif
