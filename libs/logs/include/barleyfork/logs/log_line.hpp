#ifndef BARLEYFORK_LOGS_LOG_LINE_HPP
#define BARLEYFORK_LOGS_LOG_LINE_HPP

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace barleyfork {

/// A parsed line of a daemon's log.
struct log_line
{
    /// Timestamp; its lexicographic order is chronological.
    std::string time;
    std::string instance;
    std::string event;
    /// All key=value pairs, with the values unquoted.
    std::map<std::string, std::string> fields;
    /// The original line, starting at its timestamp.
    std::string text;

    /// Returns the value of a field; empty if the field is absent.
    std::string_view field(const std::string& name) const;
};

/// Parses a line; returns nullopt if it is not a daemon's log event. Text
/// before the timestamp, such as a log collector's prefix, is skipped.
std::optional<log_line> parse_log_line(std::string_view text);

} // namespace barleyfork

#endif
