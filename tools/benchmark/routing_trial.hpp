#ifndef BARLEYFORK_TOOLS_BENCHMARK_ROUTING_TRIAL_HPP
#define BARLEYFORK_TOOLS_BENCHMARK_ROUTING_TRIAL_HPP

#include <cstdint>
#include <string>

namespace barleyfork {

/// A model's replicas under a tenfold burst, one of them slow, with reports
/// that lag.
struct routing_options
{
    std::uint64_t seed = 1;
    std::size_t daemons = 8;
    std::size_t servers = 8;
    /// Requests a second outside the burst, over all daemons.
    double quiet_rate = 24.0;
    double burst_factor = 10.0;
    /// Requests that a server works on at full speed.
    double full_speed = 8.0;
    /// Time to the first token at full speed, and of the whole, in ms.
    double first_token_ms = 120.0;
    double whole_ms = 250.0;
    double target_ms = 400.0;
    /// The slow server takes this many times as long.
    double slow_factor = 4.0;
    /// Refuse early by a `concurrency_limit` for each server and daemon.
    bool limited = false;
    std::int64_t report_lag_ms = 1000;
    std::int64_t seconds = 120;
};

/// The share of requests whose first token came within the target.
double routing_attainment(const std::string& strategy,
                          const routing_options& options);

} // namespace barleyfork

#endif
