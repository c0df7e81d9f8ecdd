#ifndef BARLEYFORK_DAEMON_DAEMON_HPP
#define BARLEYFORK_DAEMON_DAEMON_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/schema/settings_generated.h>

#include <chrono>
#include <cstdint>
#include <memory>

namespace barleyfork {

/// One barleyforkd: every duty between callers and backend servers.
///
/// Threads: caller I/O, backend I/O, control (all decisions about membership,
/// configuration and placement), store (table, objects, instance list), peer
/// I/O, operator I/O, traces; the log has one of its own. They share nothing
/// but bounded rings and immutable views. Example:
/// `daemon d(settings); if (auto error = d.start()) ...; d.drain();`
class daemon
{
public:
    explicit daemon(schema::daemon_settings_record settings);
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Stops at once, like a killed process: nothing is given up.
    ~daemon();

    /// Listens and starts the duties; fails with `invalid_input` where an
    /// address can't be taken.
    failure start();

    /// Graceful shutdown: not ready, no new connections, requests in flight
    /// run to their end, leases given up. Blocks until done or until the
    /// settings' drain timeout; true where nothing was cut.
    bool drain();

    /// Holds every duty still for `time`, as a paused process would be.
    void stall(std::chrono::milliseconds time);

    /// True once an operator asked for a graceful shutdown.
    bool drain_asked() const noexcept;

    /// The ports taken, for settings that say 0.
    std::uint16_t caller_port() const noexcept;
    std::uint16_t operator_port() const noexcept;
    std::uint16_t peer_port() const noexcept;

private:
    struct state;

    std::unique_ptr<state> state_;
};

} // namespace barleyfork

#endif
