#ifndef BARLEYFORK_TOOLS_BARLEYFORK_COMMANDS_HPP
#define BARLEYFORK_TOOLS_BARLEYFORK_COMMANDS_HPP

#include "operator_client.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace barleyfork {

/// How the tool ends; documented in docs/OPERATIONS.md.
enum class tool_exit : std::uint8_t
{
    ok = 0,
    /// The daemon refused; the message says why and what to do.
    refused = 1,
    /// The command line or a file is wrong.
    usage = 2,
    /// No daemon answered.
    unreachable = 3,
};

/// What the flags say, in one place.
struct command_options
{
    bool json_output = false;
    bool dry_run = false;
    bool wait = false;
    std::int64_t expect_revision = -1;
};

/// Runs one command with its arguments; prints to standard output and error.
tool_exit run_command(operator_client& client,
                      std::span<const std::string> words,
                      const command_options& options);

} // namespace barleyfork

#endif
