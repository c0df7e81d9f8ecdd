#ifndef BARLEYFORK_DAEMON_SRC_DAEMON_CONTEXT_HPP
#define BARLEYFORK_DAEMON_SRC_DAEMON_CONTEXT_HPP

#include "metrics.hpp"
#include "tracer.hpp"

#include <barleyfork/base/digest.hpp>
#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/net/duty.hpp>
#include <barleyfork/schema/settings_generated.h>

#include <atomic>
#include <string>

namespace barleyfork {

/// What all duties of one daemon share: settings, measures, traces and the
/// duties themselves. Outlives every part that refers to it.
struct daemon_context
{
    /// Tasks that a duty's ring holds.
    static constexpr std::size_t ring_capacity = 16384;

    explicit daemon_context(schema::daemon_settings_record given)
        : settings(std::move(given)), self(settings.instance),
          traces(settings.log->trace_file)
    {
    }

    /// An id that no other write or order has.
    std::string next_id()
    {
        return self.value() + "-" + run_id + "-" + std::to_string(++ids);
    }

    schema::daemon_settings_record settings;
    instance_id self;
    /// Tells the runs of one instance apart.
    std::string run_id = random_identifier().substr(0, 8);
    std::atomic<std::uint64_t> ids{0};
    std::atomic<bool> draining{false};
    /// Set by an operator; the process ends by a graceful shutdown.
    std::atomic<bool> drain_asked{false};
    metrics measures;
    tracer traces;
    duty caller{"caller", ring_capacity};
    duty backend{"backend", ring_capacity};
    duty control{"control", ring_capacity};
    duty store{"store", ring_capacity};
    duty peer{"peer", ring_capacity};
    duty operators{"operator", ring_capacity};
};

} // namespace barleyfork

#endif
