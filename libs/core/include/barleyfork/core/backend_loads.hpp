#ifndef BARLEYFORK_CORE_BACKEND_LOADS_HPP
#define BARLEYFORK_CORE_BACKEND_LOADS_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace barleyfork {

/// Names one request of this daemon on a backend server.
enum class load_ticket : std::uint64_t
{
};

/// How a request on a backend server ended, for the server's record.
enum class load_end : std::uint8_t
{
    /// A whole answer, or one that its caller gave up.
    good,
    /// The server does not hold the model.
    refused,
    /// A failing answer, no room, a broken connection or silence.
    failed,
};

/// What is known of the load of one backend server.
struct load_view
{
    /// Requests of this daemon that have no answer yet, and all of its.
    std::uint32_t own_waiting = 0;
    std::uint32_t own_outstanding = 0;
    /// Prompt tokens of the own waiting requests.
    std::uint64_t own_waiting_tokens = 0;
    /// How long the oldest of them has waited.
    duration oldest_wait{0};
    /// What peers have outstanding, by their news.
    std::uint32_t peer_outstanding = 0;
    /// Prompt tokens that wait there for peers.
    std::uint64_t peer_tokens = 0;
    /// The share of all tokens known to wait there that is as urgent.
    double urgent_share = 1.0;
    /// What the server said of itself, and how long ago.
    std::uint32_t reported_running = 0;
    std::uint32_t reported_waiting = 0;
    duration report_age{0};
    bool reported = false;
    /// Share of late requests that failed, 0 to 1.
    double failure = 0.0;
};

/// Tokens of prompts that wait on a server, by how urgent their requests are:
/// priority 0, priority 1, and all less urgent ones.
struct waiting_tokens
{
    static constexpr std::size_t classes = 3;

    std::array<std::uint64_t, classes> by_class{};

    void add(std::uint32_t priority, std::uint64_t tokens) noexcept;
    void remove(std::uint32_t priority, std::uint64_t tokens) noexcept;

    /// Those that a request of this priority does not go before.
    std::uint64_t up_to(std::uint32_t priority) const noexcept;

    std::uint64_t all() const noexcept
    {
        return up_to(classes);
    }

    waiting_tokens& operator+=(const waiting_tokens& other) noexcept;

    /// Stops at zero: the two may come from different times.
    waiting_tokens& operator-=(const waiting_tokens& other) noexcept;
};

/// Work that a peer has outstanding on one backend server.
struct peer_work
{
    /// The server's `server_hash`.
    std::uint32_t server = 0;
    std::uint32_t requests = 0;
    waiting_tokens tokens;
};

/// A short name for a server in messages between daemons; two servers of one
/// name would only count each other's load.
std::uint32_t server_hash(const server_id& server) noexcept;

/// Follows the load of backend servers, by own requests, the load carried on
/// answers, and peers' news. Not thread-safe.
class backend_loads
{
public:
    /// Counts a request that is being sent.
    load_ticket begin(const server_id& server,
                      std::uint64_t prompt_tokens,
                      std::uint32_t priority,
                      time_point now);

    /// The server began to answer.
    void answering(const server_id& server, load_ticket ticket);

    /// The request is over.
    void end(const server_id& server,
             load_ticket ticket,
             load_end end,
             time_point now);

    /// The server told its load on an answer.
    void reported(const server_id& server,
                  std::uint32_t running,
                  std::uint32_t waiting,
                  time_point now);

    /// Replaces what `peer` has outstanding.
    void on_peer_work(const instance_id& peer,
                      std::span<const peer_work> work,
                      time_point now);

    /// What this daemon has outstanding, for its news to peers.
    std::vector<peer_work> own_work() const;

    /// The load as a request of `priority` meets it: what is less urgent and
    /// still waits makes way for it.
    load_view
    view(const server_id& server, std::uint32_t priority, time_point now) const;

    /// What all daemons have outstanding, by their news and this one's own.
    std::vector<peer_work> all_work(time_point now) const;

    /// What others have outstanding, out of the work of all daemons.
    std::vector<peer_work> without_own(std::span<const peer_work> all) const;

    /// Forgets a server that is gone.
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
        std::uint32_t running_there = 0;
        std::uint32_t waiting_there = 0;
        time_point reported_at{};
        bool reported = false;
        double failure = 0.0;
        time_point failure_at{};
    };

    struct peer_news
    {
        time_point at{};
        std::map<std::uint32_t, peer_work> work;
    };

    void stop_waiting(server_load& load, load_ticket ticket);
    static double decayed_failure(const server_load& load, time_point now);

    std::uint64_t next_ticket_ = 1;
    std::unordered_map<server_id, server_load> loads_;
    std::map<instance_id, peer_news> peers_;
};

} // namespace barleyfork

#endif
