#ifndef BARLEYFORK_SCENARIO_SCRIPT_HPP
#define BARLEYFORK_SCENARIO_SCRIPT_HPP

#include <barleyfork/base/error.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace barleyfork::scenario {

/// `name=value`, or a value alone with an empty name.
struct argument
{
    std::string name;
    std::string value;
};

/// One line of a script: a verb and its arguments.
struct statement
{
    std::string verb;
    std::vector<argument> arguments;
    /// Line in the script, from 1.
    std::size_t line = 0;

    /// The first value without a name, or empty.
    std::string subject() const;

    /// A named value, or `fallback`.
    std::string text(std::string_view name, std::string_view fallback) const;

    /// A named whole number, or `fallback`.
    std::int64_t number(std::string_view name, std::int64_t fallback) const;

    bool has(std::string_view name) const;
};

/// Reads a script. Lines are `verb [value] [name=value ...]`; values with
/// spaces are quoted; `#` begins a comment. Fails with `invalid_input`, naming
/// the line.
failure parse_script(std::string_view text, std::vector<statement>& out);

} // namespace barleyfork::scenario

#endif
