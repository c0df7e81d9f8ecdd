#ifndef BARLEYFORK_DAEMON_DAEMON_HPP
#define BARLEYFORK_DAEMON_DAEMON_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/schema/settings_generated.h>

#include <chrono>
#include <cstdint>
#include <memory>

namespace barleyfork {

/// One barleyforkd process: all workers between callers and backend servers.
///
/// Threads: caller I/O, backend I/O, control (all decisions about membership,
/// configuration and placement), store (table, objects, instance list), peer
/// I/O, operator I/O, traces; the log has its own thread. The threads share
/// only bounded rings and immutable views. Example: `daemon d(settings); if
/// (auto error = d.start()) ...; d.drain();`
class daemon
{
public:
    explicit daemon(schema::daemon_settings_record settings);
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Stops at once, as a killed process would: releases no lease and
    /// announces no shutdown.
    ~daemon();

    /// Opens the listening sockets and starts the workers; fails with
    /// `invalid_input` where an address cannot be bound.
    failure start();

    /// Shuts down gracefully: reports not ready, accepts no new connections,
    /// lets the requests in flight finish and releases the leases. Blocks
    /// until that is done or the drain timeout of the settings has expired.
    /// Returns true where no request was cut off.
    bool drain();

    /// Blocks the caller, backend, control, store and peer workers for `time`,
    /// to simulate a paused process.
    void stall(std::chrono::milliseconds time);

    /// Returns true once an operator has requested a graceful shutdown.
    bool drain_asked() const noexcept;

    /// Return the bound ports, for settings with port 0.
    std::uint16_t caller_port() const noexcept;
    std::uint16_t operator_port() const noexcept;
    std::uint16_t peer_port() const noexcept;

private:
    struct state;

    std::unique_ptr<state> state_;
};

} // namespace barleyfork

#endif
