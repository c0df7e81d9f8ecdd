#ifndef BARLEYFORK_TOOLS_POLICY_DRIVER_ATTAINMENT_HPP
#define BARLEYFORK_TOOLS_POLICY_DRIVER_ATTAINMENT_HPP

#include <barleyfork/core/placement_planner.hpp>

#include <vector>

namespace barleyfork {

/// The most work that ready replicas can serve in one second, whatever the
/// router does: a maximum flow from models to servers.
double served_work(const std::vector<planner_server>& servers,
                   const std::vector<planner_model>& models,
                   const std::vector<double>& demand);

} // namespace barleyfork

#endif
