#ifndef BARLEYFORK_TOOLS_POLICY_DRIVER_POLICIES_HPP
#define BARLEYFORK_TOOLS_POLICY_DRIVER_POLICIES_HPP

#include "demand_trace.hpp"

#include <barleyfork/core/placement_planner.hpp>

#include <memory>
#include <string>
#include <vector>

namespace barleyfork {

/// Decides on loads and unloads once a second.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /// `input` has the placement; the policy fills in what it believes of the
    /// demand. `seen` is the demand of the second that just ended.
    virtual std::vector<planned_step> decide(planner_input input,
                                             const std::vector<double>& seen,
                                             std::size_t second) = 0;
};

/// The daemon's own planner on the daemon's own estimates.
std::unique_ptr<placement_policy> make_planner_policy(std::size_t models);

/// Baseline: fills the memory once, evenly, and never moves.
std::unique_ptr<placement_policy> make_static_policy();

/// Baseline: loads a model that is short of capacity, in place of the least
/// recently used ones.
std::unique_ptr<placement_policy> make_recency_policy(std::size_t models);

/// The planner with the true demand of the `sight` seconds to come.
std::unique_ptr<placement_policy>
make_clairvoyant_policy(const demand_trace& trace, std::size_t sight);

} // namespace barleyfork

#endif
