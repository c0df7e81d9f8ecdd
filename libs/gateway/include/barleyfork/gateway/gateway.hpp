#ifndef BARLEYFORK_GATEWAY_GATEWAY_HPP
#define BARLEYFORK_GATEWAY_GATEWAY_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/gateway/platform_port.hpp>
#include <barleyfork/schema/gateway_generated.h>

#include <memory>
#include <string>

namespace barleyfork {

/// A proxy process between callers and the backend servers of a platform.
/// Forwards plain HTTP requests and event streams, and places models on
/// engines while it holds the placement lease.
class gateway
{
public:
    /// `settings_file` is reread on SIGHUP and when it changes.
    gateway(schema::gateway_settings_record settings,
            std::string settings_file,
            platform_port platform);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway();

    /// Listens and begins to serve. Returns `invalid_input` if an address is
    /// malformed or cannot be bound.
    failure start();

    /// Waits for SIGTERM or SIGINT and for the drain that follows. Returns true
    /// if no request was aborted.
    bool wait();

private:
    struct state;

    std::unique_ptr<state> state_;
};

} // namespace barleyfork

#endif
