#include <barleyfork/core/placement_planner.hpp>

#include "placement_round.hpp"

#include <array>

namespace barleyfork {

const char* reason_name(step_reason reason) noexcept
{
    constexpr std::array<const char*, 10> names{"reachability",
                                                "new_version",
                                                "floor",
                                                "domain_spread",
                                                "demand",
                                                "relocation",
                                                "spare",
                                                "make_room",
                                                "not_declared",
                                                "old_version"};
    return names[static_cast<std::size_t>(reason)];
}

std::vector<planned_step> plan_placement(const planner_input& input)
{
    return placement_round(input).run();
}

} // namespace barleyfork
