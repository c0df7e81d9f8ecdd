#ifndef BARLEYFORK_GATEWAY_GATEWAY_HPP
#define BARLEYFORK_GATEWAY_GATEWAY_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/gateway/platform_port.hpp>
#include <barleyfork/schema/gateway_generated.h>

#include <memory>
#include <string>

namespace barleyfork {

/// A process between callers and the backend servers of a platform: forwards
/// plain HTTP requests and event streams, and takes its turn in placing
/// models on engines.
class gateway
{
public:
    /// `settings_file` is read again on SIGHUP and when it changes.
    gateway(schema::gateway_settings_record settings,
            std::string settings_file,
            platform_port platform);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway();

    /// Listens and begins to serve; `invalid_input` where an address can't be
    /// had.
    failure start();

    /// Waits for SIGTERM or SIGINT and for the drain that follows; true where
    /// no request was cut.
    bool wait();

private:
    struct state;

    std::unique_ptr<state> state_;
};

} // namespace barleyfork

#endif
