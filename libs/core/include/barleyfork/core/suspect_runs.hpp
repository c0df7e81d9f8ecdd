#ifndef BARLEYFORK_CORE_SUSPECT_RUNS_HPP
#define BARLEYFORK_CORE_SUSPECT_RUNS_HPP

#include <barleyfork/base/strong_id.hpp>

#include <cstdint>
#include <map>

namespace barleyfork {

/// Keeps the suspected requests of one daemon apart, so that the end of a
/// server is blamed on few of them: one to a server, and each one once at a
/// time. Not thread-safe.
class suspect_runs
{
public:
    /// A suspected request is sent to the server.
    void begin(std::uint64_t fingerprint, const server_id& server);

    /// It runs there no more.
    void end(std::uint64_t fingerprint);

    /// True where the request runs on some server.
    bool runs(std::uint64_t fingerprint) const;

    /// True where a suspected request runs on the server.
    bool runs_on(const server_id& server) const;

private:
    std::map<std::uint64_t, server_id> servers_;
};

} // namespace barleyfork

#endif
