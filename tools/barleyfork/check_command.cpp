#include "check_command.hpp"

#include <barleyfork/core/configuration_changes.hpp>
#include <barleyfork/core/configuration_check.hpp>
#include <barleyfork/platform/platform.hpp>
#include <barleyfork/schema/toml_reader.hpp>

#include <iostream>

namespace barleyfork {

namespace {

/// Returns false where the file can't be read or decoded, and says why.
bool read_configuration(const std::string& path, gateway_configuration& out)
{
    std::string text;
    auto error = read_file(path, text);
    if (!error)
        error = decode_stored_configuration(text, out);
    if (error)
        std::cout << "error\t" << path << "\t" << error.message() << "\n";
    return !error;
}

/// Prints the changes. Returns false if the next version would be ignored.
bool print_changes(const gateway_configuration& in_force,
                   const gateway_configuration& next)
{
    for (const auto& line : describe_changes(in_force, next))
        std::cout << line << "\n";
    if (next.version > in_force.version)
        return true;
    std::cout << "error\tversion\tversion " << next.version
              << " is not above the one in force, " << in_force.version
              << "; raise it\n";
    return false;
}

} // namespace

tool_exit check_stored_configuration(const std::string& next,
                                     const std::string& in_force)
{
    gateway_configuration checked;
    if (!read_configuration(next, checked))
        return tool_exit::refused;
    for (const auto& fault : checked.faults)
        std::cout << "error\t" << fault.place << "\t" << fault.reason << "\n";
    const auto found = check_configuration(checked);
    for (const auto& finding : found)
        std::cout << finding_kind_name(finding.kind) << "\t" << finding.place
                  << "\t" << finding.text << "\n";
    bool is_sound = found.empty() && checked.faults.empty();
    if (!in_force.empty()) {
        gateway_configuration before;
        if (!read_configuration(in_force, before))
            return tool_exit::usage;
        is_sound &= print_changes(before, checked);
    }
    return is_sound ? tool_exit::ok : tool_exit::refused;
}

} // namespace barleyfork
