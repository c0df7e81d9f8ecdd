#ifndef BARLEYFORK_BASE_LOG_HPP
#define BARLEYFORK_BASE_LOG_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace barleyfork {

/// Severity of an event.
enum class log_level : std::uint8_t
{
    trace,
    debug,
    info,
    warn,
    error,
};

/// Sets up log4cplus: one line an event, written by a thread of its own from
/// a bounded queue. An empty `file` writes to standard output: lines beyond
/// 500 and 150000 bytes a second are left out and counted, failures may take
/// as much again, and a reader that stalls delays nobody.
void start_log(std::string_view level,
               const std::string& file,
               const std::string& instance);

/// Waits until the lines for standard output are written, for a short time
/// at most.
void flush_log();

/// Writes what is queued and ends the log's thread.
void stop_log();

/// One event: a name and key=value pairs on one line.
///
/// The line is written when the object ends. Values with spaces, quotes or
/// line ends are quoted and escaped. Example:
/// `log_event(log_level::info, "lease_taken").with("cell", 3);`
class log_event
{
public:
    log_event(log_level level, std::string_view name);
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;
    ~log_event();

    /// Adds a pair with a text value.
    log_event& with(std::string_view key, std::string_view value);

    /// Adds a pair with a whole number.
    log_event& with(std::string_view key, std::int64_t value);

private:
    log_level level_;
    std::string line_;
};

} // namespace barleyfork

#endif
