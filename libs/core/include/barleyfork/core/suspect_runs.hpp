#ifndef BARLEYFORK_CORE_SUSPECT_RUNS_HPP
#define BARLEYFORK_CORE_SUSPECT_RUNS_HPP

#include <barleyfork/base/strong_id.hpp>

#include <cstdint>
#include <map>

namespace barleyfork {

/// Separates the suspected requests of one daemon, so that a crash is
/// attributed to few of them: at most one runs on a server, and each runs at
/// most once at a time. Not thread-safe.
class suspect_runs
{
public:
    /// Records that a suspected request is sent to the server.
    void begin(std::uint64_t fingerprint, const server_id& server);

    /// Records that the request no longer runs.
    void end(std::uint64_t fingerprint);

    /// Returns whether the request runs on any server.
    bool runs(std::uint64_t fingerprint) const;

    /// Returns whether a suspected request runs on the server.
    bool is_server_occupied(const server_id& server) const;

private:
    std::map<std::uint64_t, server_id> servers_;
};

} // namespace barleyfork

#endif
