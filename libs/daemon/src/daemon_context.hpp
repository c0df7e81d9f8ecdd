#ifndef BARLEYFORK_DAEMON_SRC_DAEMON_CONTEXT_HPP
#define BARLEYFORK_DAEMON_SRC_DAEMON_CONTEXT_HPP

#include "metrics.hpp"
#include "tracer.hpp"

#include <barleyfork/base/digest.hpp>
#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/net/io_worker.hpp>
#include <barleyfork/schema/settings_generated.h>

#include <atomic>
#include <string>

namespace barleyfork {

/// State shared by all workers of one daemon: settings, metrics, traces and the
/// workers themselves. Must outlive every object that refers to it.
struct daemon_context
{
    /// Capacity of a worker's ring, in tasks.
    static constexpr std::size_t ring_capacity = 16384;

    explicit daemon_context(schema::daemon_settings_record initial_settings)
        : settings(std::move(initial_settings)), self(settings.instance),
          traces(settings.log->trace_file)
    {
    }

    /// Returns an id that no other write or order has. Thread-safe.
    std::string next_id()
    {
        return self.value() + "-" + run_id + "-" + std::to_string(++ids);
    }

    schema::daemon_settings_record settings;
    instance_id self;
    /// Distinguishes the runs of one instance.
    std::string run_id = random_identifier().substr(0, 8);
    std::atomic<std::uint64_t> ids{0};
    std::atomic<bool> draining{false};
    /// Set at an operator's request; the process then shuts down gracefully.
    std::atomic<bool> drain_asked{false};
    metrics measures;
    tracer traces;
    io_worker caller{"caller", ring_capacity};
    io_worker backend{"backend", ring_capacity};
    io_worker control{"control", ring_capacity};
    io_worker store{"store", ring_capacity};
    io_worker peer{"peer", ring_capacity};
    io_worker operators{"operator", ring_capacity};
};

} // namespace barleyfork

#endif
