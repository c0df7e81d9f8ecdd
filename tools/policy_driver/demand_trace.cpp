#include "demand_trace.hpp"

#include <algorithm>
#include <pcg_random.hpp>
#include <random>

namespace barleyfork {

namespace {

/// Jitter of the demand from second to second, as a share.
constexpr double jitter = 0.1;

double between(pcg64& random, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(random);
}

/// Adds one burst: a ramp up, a plateau, the same ramp down.
void add_burst(demand_trace& trace,
               std::size_t model,
               std::size_t start,
               double length,
               double ramp,
               double height)
{
    for (std::size_t t = start; t < trace.size(); ++t) {
        const auto since = static_cast<double>(t - start);
        if (since > length + 2.0 * ramp)
            return;
        const double up = since / ramp;
        const double down = (length + 2.0 * ramp - since) / ramp;
        const double share = std::clamp(std::min(up, down), 0.0, 1.0);
        trace[t][model] = std::max(trace[t][model], height * share);
    }
}

} // namespace

demand_trace make_trace(const trace_options& options)
{
    pcg64 random(options.seed);
    demand_trace trace(options.seconds,
                       std::vector<double>(options.models, options.quiet_work));
    std::exponential_distribution<double> pause(1.0 / options.quiet_seconds);
    for (std::size_t m = 0; m < options.models; ++m) {
        double at = pause(random);
        while (at < static_cast<double>(options.seconds)) {
            const double length =
                between(random, options.shortest_burst, options.longest_burst);
            const double ramp =
                between(random, options.shortest_ramp, options.longest_ramp);
            const double height =
                options.quiet_work * between(random, 4.0, options.burst_factor);
            const bool storm = between(random, 0.0, 1.0) < options.storm_chance;
            const auto taken = storm ? options.storm_models : 1;
            for (std::size_t i = 0; i < taken; ++i)
                add_burst(trace,
                          (m + i) % options.models,
                          static_cast<std::size_t>(at),
                          length,
                          ramp,
                          height);
            at += length + 2.0 * ramp + pause(random);
        }
    }
    for (auto& second : trace)
        for (auto& work : second)
            work *= between(random, 1.0 - jitter, 1.0 + jitter);
    return trace;
}

} // namespace barleyfork
