#ifndef BARLEYFORK_TOOLS_CHECK_COMMAND_HPP
#define BARLEYFORK_TOOLS_CHECK_COMMAND_HPP

#include "commands.hpp"

#include <string>

namespace barleyfork {

/// Checks the configuration in the file `next` before it is sent, and prints
/// what differs from the one in the file `in_force`, if that is not empty.
/// Returns `refused` if something is wrong with it.
tool_exit check_stored_configuration(const std::string& next,
                                     const std::string& in_force);

} // namespace barleyfork

#endif
