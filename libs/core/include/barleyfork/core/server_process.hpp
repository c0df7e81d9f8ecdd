#ifndef BARLEYFORK_CORE_SERVER_PROCESS_HPP
#define BARLEYFORK_CORE_SERVER_PROCESS_HPP

#include <barleyfork/base/strong_id.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace barleyfork {

/// A process of a backend server.
struct server_process
{
    server_id server;
    /// Start time of the process in Unix milliseconds.
    std::uint64_t started_ms = 0;

    friend auto operator<=>(const server_process&,
                            const server_process&) = default;
};

/// A process with the address at which it listens; its successor may use the
/// same address.
struct listening_process
{
    server_process process;
    std::string address;
    std::uint16_t port = 0;
};

} // namespace barleyfork

#endif
