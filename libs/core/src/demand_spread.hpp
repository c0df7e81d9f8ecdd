#ifndef BARLEYFORK_CORE_SRC_DEMAND_SPREAD_HPP
#define BARLEYFORK_CORE_SRC_DEMAND_SPREAD_HPP

#include <barleyfork/core/placement_planner.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace barleyfork {

/// The indices of the servers that serve each model, by index of the model.
using serving_servers = std::vector<std::vector<std::size_t>>;

/// Returns the servers on which each model is ready or being loaded.
serving_servers collect_serving(const planner_input& input);

/// Distributes each model's demand over its servers so that their load is
/// balanced.
load_estimate spread_demand(const planner_input& input,
                            const serving_servers& serving);

} // namespace barleyfork

#endif
