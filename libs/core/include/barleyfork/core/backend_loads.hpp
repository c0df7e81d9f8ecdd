#ifndef BARLEYFORK_CORE_BACKEND_LOADS_HPP
#define BARLEYFORK_CORE_BACKEND_LOADS_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/core/slowness_estimate.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace barleyfork {

/// Identifies one request of this daemon on a backend server.
enum class load_ticket : std::uint64_t
{
};

/// How a request on a backend server ended, for the server's failure rate.
enum class load_outcome : std::uint8_t
{
    /// A complete response, or one whose caller left after it had begun.
    good,
    /// The model is not resident on the server. Not counted in the failure
    /// rate.
    refused,
    /// An error response, a lack of room, a broken connection, a timeout, or
    /// silence for much longer than expected until the caller left.
    failed,
    /// The request was given up too early to tell. Not counted in the failure
    /// rate.
    unknown,
};

/// The known load of one backend server.
struct load_view
{
    /// Requests of this daemon whose response has not begun.
    std::uint32_t own_waiting = 0;
    /// All requests of this daemon in flight on the server.
    std::uint32_t own_outstanding = 0;
    /// Prompt tokens of this daemon's waiting requests that are at least as
    /// urgent as the request.
    std::uint64_t own_waiting_tokens = 0;
    /// The time that the oldest of these requests has waited.
    duration oldest_wait{0};
    /// Requests of peers in flight, according to their updates.
    std::uint32_t peer_outstanding = 0;
    /// Waiting prompt tokens of peers that are at least as urgent as the
    /// request.
    std::uint64_t peer_tokens = 0;
    /// Share of the known waiting tokens that is at least as urgent as the
    /// request, 0 to 1.
    double urgent_share = 1.0;
    /// The load in the server's last report and the age of that report; valid
    /// only if `reported` is true.
    std::uint32_t reported_running = 0;
    std::uint32_t reported_waiting = 0;
    duration report_age{0};
    bool reported = false;
    /// Share of recent requests that failed, 0 to 1.
    double failure_rate = 0.0;
    /// Tokens that this daemon's requests in flight may hold in the memory of
    /// the engine.
    std::uint64_t own_memory_tokens = 0;
    /// How long work takes on the server's machine, relative to usual.
    double slowness = 1.0;
};

/// Waiting prompt tokens on a server in three classes: priority 0, priority 1,
/// and all less urgent priorities.
struct waiting_tokens
{
    static constexpr std::size_t classes = 3;

    std::array<std::uint64_t, classes> by_class{};

    void add(std::uint32_t priority, std::uint64_t tokens) noexcept;
    void remove(std::uint32_t priority, std::uint64_t tokens) noexcept;

    /// Returns the tokens that are at least as urgent as `priority`; a request
    /// of this priority does not overtake them.
    std::uint64_t up_to(std::uint32_t priority) const noexcept;

    std::uint64_t all() const noexcept
    {
        return up_to(classes);
    }

    waiting_tokens& operator+=(const waiting_tokens& other) noexcept;

    /// Subtracts, with zero as the minimum of each class, since the operands
    /// may have been taken at different times.
    waiting_tokens& operator-=(const waiting_tokens& other) noexcept;
};

/// Work of a peer in flight on one backend server.
struct peer_work
{
    /// `server_hash` of the server.
    std::uint32_t server = 0;
    std::uint32_t requests = 0;
    waiting_tokens tokens;
};

/// Returns the hash that identifies a server in messages between daemons. A
/// collision only makes two servers count each other's load.
std::uint32_t server_hash(const server_id& server) noexcept;

/// Tracks the load of backend servers from this daemon's requests, the load
/// reported in responses, and peers' updates. Not thread-safe.
class backend_loads
{
public:
    /// Records that a request is being sent. `output_tokens` is the maximum of
    /// its response.
    load_ticket begin(const server_id& server,
                      std::uint64_t prompt_tokens,
                      std::uint32_t priority,
                      time_point now,
                      std::uint64_t output_tokens = 0);

    /// Records that the response to the request began.
    void on_answer_started(const server_id& server, load_ticket ticket);

    /// Records the end of the request.
    void end(const server_id& server,
             load_ticket ticket,
             load_outcome end,
             time_point now);

    /// Records the load that the server reported in a response.
    void reported(const server_id& server,
                  std::uint32_t running,
                  std::uint32_t waiting,
                  time_point now);

    /// Records how long work takes on the server's machine, relative to usual.
    void
    reported_slowness(const server_id& server, double slowness, time_point now);

    /// Replaces the work of `peer` in flight.
    void on_peer_work(const instance_id& peer,
                      std::span<const peer_work> work,
                      time_point now);

    /// Returns this daemon's work in flight, for its updates to peers.
    std::vector<peer_work> own_work() const;

    /// Returns whether this daemon has a request in flight on the server.
    bool has_own_work(const server_id& server) const;

    /// Returns the load that delays a request of `priority`: less urgent
    /// waiting requests are left out, since the request overtakes them.
    load_view
    view(const server_id& server, std::uint32_t priority, time_point now) const;

    /// Returns the work in flight of this daemon and, according to their
    /// updates, of its peers.
    std::vector<peer_work> all_work(time_point now) const;

    /// Returns the other daemons' part of the work of all daemons.
    std::vector<peer_work>
    subtract_own_work(std::span<const peer_work> all) const;

    /// Removes the record of a server that was removed.
    void forget(const server_id& server);

private:
    struct waiting_request
    {
        time_point sent_at{};
        std::uint64_t tokens = 0;
        std::uint32_t priority = 0;
    };

    struct server_load
    {
        std::map<load_ticket, waiting_request> waiting;
        std::uint32_t outstanding = 0;
        waiting_tokens tokens;
        /// Tokens in the memory of the engine, by request in flight.
        std::map<load_ticket, std::uint64_t> memory;
        std::uint64_t memory_tokens = 0;
        slowness_estimate slowness;
        std::uint32_t reported_running = 0;
        std::uint32_t reported_waiting = 0;
        time_point reported_at{};
        bool reported = false;
        double failure_rate = 0.0;
        time_point failure_rate_at{};
    };

    struct peer_load
    {
        time_point received_at{};
        std::map<std::uint32_t, peer_work> work;
    };

    void stop_waiting(server_load& load, load_ticket ticket);
    static double decayed_failure_rate(const server_load& load, time_point now);

    std::uint64_t next_ticket_ = 1;
    std::unordered_map<server_id, server_load> loads_;
    std::map<instance_id, peer_load> peers_;
};

} // namespace barleyfork

#endif
