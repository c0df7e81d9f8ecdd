#ifndef BARLEYFORK_TOOLS_POLICY_DRIVER_DEMAND_TRACE_HPP
#define BARLEYFORK_TOOLS_POLICY_DRIVER_DEMAND_TRACE_HPP

#include <cstdint>
#include <vector>

namespace barleyfork {

/// How demand moves over the trace.
struct trace_options
{
    std::uint64_t seed = 1;
    std::size_t models = 20;
    /// Length in seconds.
    std::size_t seconds = 6 * 3600;
    /// Work of a quiet model, in server-seconds a second.
    double quiet_work = 0.15;
    /// A burst multiplies the demand by up to this.
    double burst_factor = 10.0;
    /// Mean time from the end of a model's burst to its next, in seconds.
    double quiet_seconds = 5400.0;
    /// Bounds of a burst's length and of its ramp, in seconds.
    double shortest_burst = 300.0;
    double longest_burst = 2400.0;
    double shortest_ramp = 5.0;
    double longest_ramp = 300.0;
    /// Chance that a burst takes its neighbours with it, as a storm does.
    double storm_chance = 0.2;
    std::size_t storm_models = 4;
};

/// Work asked of each model in each second: `[second][model]`.
using demand_trace = std::vector<std::vector<double>>;

/// Makes a trace; the same options give the same trace.
demand_trace make_trace(const trace_options& options);

} // namespace barleyfork

#endif
