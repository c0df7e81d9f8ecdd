#ifndef BARLEYFORK_CORE_CRASH_DETECTOR_HPP
#define BARLEYFORK_CORE_CRASH_DETECTOR_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/core/crash_suspects.hpp>
#include <barleyfork/core/server_process.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace barleyfork {

/// A request whose connection broke before its response arrived.
struct broken_request
{
    crash_suspects suspects;
    time_point sent_at{};
};

/// A server process that exited or crashed, with the requests in flight on it
/// and the parts of their prompts.
struct crashed_process
{
    /// Identifies this crash; every daemon derives the same value for it.
    std::uint64_t crash = 0;
    std::vector<crash_suspect> in_flight;
};

/// Distinguishes server processes that crashed from servers that only broke a
/// connection.
///
/// A broken connection proves nothing: running servers close and reset
/// connections too. If no process listens at the address right afterwards, the
/// process has exited, and every request whose connection broke there was in
/// flight on it. A process exits only once: a request that is sent to its
/// address later reaches a successor, whose crash is reported when the
/// successor is listed.
///
/// A request that this daemon gave up, because its caller left or its time was
/// over, may still run on the server. It counts as in flight for
/// `abandoned_retention`. Not thread-safe.
class crash_detector
{
public:
    /// Time within which all connections of an exited process break.
    static constexpr duration settling_period{20};
    /// Minimum interval between two probes of one server.
    static constexpr duration min_probe_interval{500};
    /// Retention of an exited process; its successor is listed within this
    /// time.
    static constexpr duration exited_retention{60000};
    /// For how long an abandoned request counts as in flight.
    static constexpr duration abandoned_retention{2000};
    /// Time from an abandonment to the probe of its server, and the least time
    /// for which an earlier probe is waited for instead.
    static constexpr duration abandoned_probe_delay{1000};
    static constexpr duration min_abandoned_probe_delay{500};
    /// Maximum number of requests and parts recorded per server and category.
    static constexpr std::size_t max_recorded_suspects = 4096;

    /// Records that the connection of a request broke. Returns when the server
    /// is to be probed, or nothing if a probe is due already.
    std::optional<time_point> on_connection_broken(const listening_process& at,
                                                   const broken_request& broken,
                                                   time_point now);

    /// Records that this daemon closed the connection of a request that the
    /// server may still run. Returns when the server is to be probed, or
    /// nothing if no further probe is needed.
    std::optional<time_point>
    on_request_abandoned(const listening_process& at,
                         const crash_suspects& suspects,
                         time_point now);

    /// Processes the result of a probe. `is_running` is true if a process
    /// listens at the address or an older connection is still open. Returns the
    /// process if it has exited, and its successor if that has exited too while
    /// it processed requests that were addressed to the exited process.
    std::vector<crashed_process>
    on_probe(const server_id& server, bool is_running, time_point now);

    /// Processes the listing of a process. Returns that process if it took the
    /// address of an exited one and is known to have exited since.
    std::optional<crashed_process>
    on_process_listed(const listening_process& at);

private:
    struct server_record
    {
        std::uint64_t started_ms = 0;
        std::string address;
        std::uint16_t port = 0;
        std::set<crash_suspect> requests;
        /// Until when each abandoned request counts as in flight.
        std::map<crash_suspect, time_point> abandoned;
        /// When the last probe for abandoned requests is due or was.
        std::optional<time_point> abandoned_probe_at;
        /// Requests whose connections to the successor broke. If a probe finds
        /// no listener, they move from `successor_requests` to
        /// `unattributed_requests`, until the successor is listed.
        std::set<crash_suspect> successor_requests;
        std::set<crash_suspect> unattributed_requests;
        /// First process listed at the address after this one.
        std::optional<server_process> successor;
        bool probe_due = false;
        std::optional<time_point> probed_at;
        /// When the process was found to have exited.
        std::optional<time_point> exited_at;
    };

    static void reset_for(server_record& known, const listening_process& at);
    server_record& record_of(const listening_process& at);
    static void record_abandoned(server_record& known,
                                 const crash_suspects& suspects,
                                 time_point now);
    static void add_abandoned(const server_record& known,
                              time_point now,
                              std::set<crash_suspect>& requests);
    static time_point kept_until(const server_record& known);
    static void record_broken(server_record& known,
                              const broken_request& broken);
    static bool is_successor_of(const listening_process& at,
                                const server_record& known);
    void remove_expired(time_point now);

    std::map<server_id, server_record> servers_;
};

} // namespace barleyfork

#endif
