#ifndef BARLEYFORK_LOGS_LOG_LINE_HPP
#define BARLEYFORK_LOGS_LOG_LINE_HPP

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace barleyfork {

/// One line of a daemon's log, taken apart.
struct log_line
{
    /// Sorts in the order of time.
    std::string time;
    std::string instance;
    std::string event;
    /// All pairs, values without their quotes.
    std::map<std::string, std::string> fields;
    /// The line as it stood, from its time on.
    std::string text;

    /// A field's value; empty where it is absent.
    std::string_view field(const std::string& name) const;
};

/// Takes a line apart; nothing where it is no event of a daemon. What stands
/// before the time, such as a collector's prefix, is passed over.
std::optional<log_line> parse_log_line(std::string_view text);

} // namespace barleyfork

#endif
