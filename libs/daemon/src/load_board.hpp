#ifndef BARLEYFORK_DAEMON_SRC_LOAD_BOARD_HPP
#define BARLEYFORK_DAEMON_SRC_LOAD_BOARD_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/core/replica_picker.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace barleyfork {

/// What the caller duty knows of each backend server's load; not thread-safe.
class load_board
{
public:
    /// A try begins on a server.
    void begin(const server_id& server, std::uint64_t fingerprint);

    /// A try ended.
    void end(const server_id& server, std::uint64_t fingerprint);

    /// Load from a report or carried on an answer, in requests.
    void reported(const server_id& server, std::uint32_t load, time_point now);

    /// A time to first token that was seen, in milliseconds.
    void first_token(const server_id& server, double milliseconds);

    /// A try was lost: others go first until `until`.
    void suspect(const server_id& server, time_point until);

    /// Fills in what is known of a candidate.
    void fill(replica_candidate& candidate, time_point now) const;

    /// Tries that this daemon has on a server.
    std::uint32_t outstanding(const server_id& server) const;

    /// Fingerprints of the requests that this daemon has on a server.
    std::vector<std::uint64_t> in_flight(const server_id& server) const;

private:
    struct server_load
    {
        std::vector<std::uint64_t> fingerprints;
        std::uint32_t reported = 0;
        time_point reported_at{};
        double first_token_ms = 0.0;
        time_point suspect_until{};
    };

    std::unordered_map<server_id, server_load> loads_;
};

} // namespace barleyfork

#endif
