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

/// What the caller duty knows of each backend server's load; not thread-safe.
class load_board
{
public:
    /// `largest_limit` bounds the tries on one server.
    explicit load_board(std::uint32_t largest_limit);

    /// A try begins on a server.
    void begin(const server_id& server, std::uint64_t fingerprint);

    /// A try ended.
    void end(const server_id& server, std::uint64_t fingerprint);

    /// Load from a report or carried on an answer, in requests.
    void reported(const server_id& server, std::uint32_t load, time_point now);

    /// A time to first token that was seen, and its target, in milliseconds.
    void first_token(const server_id& server,
                     double milliseconds,
                     double target_ms,
                     time_point now);

    /// A try was lost: others go first until `until`.
    void suspect(const server_id& server, time_point until);

    /// Fills in what is known of a candidate.
    void fill(replica_candidate& candidate, time_point now) const;

    /// Tries that this daemon has on a server.
    std::uint32_t outstanding(const server_id& server) const;

    /// Streams that this daemon may have on a server within their target.
    std::uint32_t limit(const server_id& server) const;

    /// Fingerprints of the requests that this daemon has on a server.
    std::vector<std::uint64_t> in_flight(const server_id& server) const;

private:
    struct server_load
    {
        explicit server_load(std::uint32_t largest) : limit(largest) {}

        std::vector<std::uint64_t> fingerprints;
        std::uint32_t reported = 0;
        time_point reported_at{};
        double first_token_ms = 0.0;
        time_point suspect_until{};
        concurrency_limit limit;
    };

    server_load& at(const server_id& server);

    std::uint32_t largest_limit_;
    std::unordered_map<server_id, server_load> loads_;
};

} // namespace barleyfork

#endif
