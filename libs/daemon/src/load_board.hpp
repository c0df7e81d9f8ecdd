#ifndef BARLEYFORK_DAEMON_SRC_LOAD_BOARD_HPP
#define BARLEYFORK_DAEMON_SRC_LOAD_BOARD_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/core/concurrency_limit.hpp>
#include <barleyfork/core/replica_picker.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace barleyfork {

/// The caller worker's view of each backend server's load; not thread-safe.
class load_board
{
public:
    /// `max_limit` bounds the concurrent attempts on one server.
    explicit load_board(std::uint32_t max_limit);

    /// Records that an attempt starts on a server.
    void begin(const server_id& server, std::uint64_t fingerprint);

    /// Records that an attempt ended.
    void end(const server_id& server, std::uint64_t fingerprint);

    /// Records a load from a report or a response header, in requests.
    void
    record_load(const server_id& server, std::uint32_t load, time_point now);

    /// Records an observed time to first token and its target, in
    /// milliseconds.
    void record_first_token(const server_id& server,
                            double milliseconds,
                            double target_ms,
                            time_point now);

    /// Marks a server as suspect after a lost attempt: other servers are
    /// preferred until `until`.
    void suspect(const server_id& server, time_point until);

    /// Sets the load fields of a candidate.
    void fill(replica_candidate& candidate, time_point now) const;

    /// Returns the number of this daemon's attempts in flight on a server.
    std::uint32_t outstanding(const server_id& server) const;

    /// Returns how many streams this daemon may run on a server within their
    /// target.
    std::uint32_t limit(const server_id& server) const;

    /// Returns the fingerprints of this daemon's requests in flight on a
    /// server.
    std::vector<std::uint64_t> in_flight(const server_id& server) const;

private:
    struct server_load
    {
        explicit server_load(std::uint32_t server_max_limit)
            : limit(server_max_limit)
        {
        }

        std::vector<std::uint64_t> fingerprints;
        std::uint32_t reported = 0;
        time_point reported_at{};
        double first_token_ms = 0.0;
        time_point suspect_until{};
        concurrency_limit limit;
    };

    server_load& at(const server_id& server);

    std::uint32_t max_limit_;
    std::unordered_map<server_id, server_load> loads_;
};

} // namespace barleyfork

#endif
