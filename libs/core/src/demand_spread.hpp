#ifndef BARLEYFORK_CORE_SRC_DEMAND_SPREAD_HPP
#define BARLEYFORK_CORE_SRC_DEMAND_SPREAD_HPP

#include <barleyfork/core/placement_planner.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace barleyfork {

/// Which servers serve each model: indices of servers, by model.
using serving_servers = std::vector<std::vector<std::size_t>>;

/// The servers on which each model serves or is being loaded.
serving_servers collect_serving(const planner_input& input);

/// Spreads each model's demand over its servers, evening out their load.
load_estimate spread_demand(const planner_input& input,
                            const serving_servers& serving);

} // namespace barleyfork

#endif
