#ifndef BARLEYFORK_CORE_CRASH_DETECTOR_HPP
#define BARLEYFORK_CORE_CRASH_DETECTOR_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/core/server_process.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace barleyfork {

/// A request whose connection broke before its answer came.
struct broken_request
{
    std::uint64_t fingerprint = 0;
    time_point sent_at{};
};

/// A process that ended, with the requests that were on it.
struct ended_process
{
    /// Tells this end from every other, on all daemons alike.
    std::uint64_t crash = 0;
    std::vector<std::uint64_t> in_flight;
};

/// Tells servers whose process ended from those that only broke a connection.
///
/// A connection that breaks proves nothing: servers close and cut connections
/// while they live. Where nobody listens any more right after, the process
/// ended, and with it all that broke there. A process ends once: what is sent
/// to its address later reaches a successor, whose end is told when that is
/// listed. Not thread-safe.
class crash_detector
{
public:
    /// Time in which the connections of an ended process all break.
    static constexpr duration settling{20};
    /// A server is probed no more often.
    static constexpr duration probe_pause{500};
    /// The successor of a process that ended is listed within this.
    static constexpr duration ended_memory{60000};
    /// Requests remembered of one server at most.
    static constexpr std::size_t most_requests = 1024;

    /// A connection broke under a request. Returns when the server is to be
    /// probed for it, unless a probe is due already.
    std::optional<time_point> on_broken(const listening_process& at,
                                        const broken_request& broken,
                                        time_point now);

    /// What a probe found: whether something listens, or an older connection
    /// still stands. Returns the process where it ended, and its successor
    /// where requests were sent to that one by the old name and it ended too.
    std::vector<ended_process>
    on_probe(const server_id& server, bool lives, time_point now);

    /// A process was listed. Returns it where it is known to have ended since
    /// it took the address of an ended one.
    std::optional<ended_process> on_listed(const listening_process& at);

private:
    struct suspicion
    {
        std::uint64_t started_ms = 0;
        std::string address;
        std::uint16_t port = 0;
        std::set<std::uint64_t> requests;
        /// What broke at its successor, probed for and known to have ended.
        std::set<std::uint64_t> later_requests;
        std::set<std::uint64_t> nameless_requests;
        /// The first process listed at its address after it.
        std::optional<server_process> successor;
        bool probe_due = false;
        std::optional<time_point> probed_at;
        /// When the process was found to have ended.
        std::optional<time_point> ended_at;
    };

    static void restart(suspicion& known, const listening_process& at);
    static void note(suspicion& known, const broken_request& broken);
    static bool succeeds(const listening_process& at, const suspicion& known);
    void forget_old(time_point now);

    std::map<server_id, suspicion> servers_;
};

} // namespace barleyfork

#endif
