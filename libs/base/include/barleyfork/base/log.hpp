#ifndef BARLEYFORK_BASE_LOG_HPP
#define BARLEYFORK_BASE_LOG_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace barleyfork {

/// Severity of a log event, in ascending order.
enum class log_level : std::uint8_t
{
    trace,
    debug,
    info,
    warn,
    error,
};

/// Sets up log4cplus to write one line per event. A separate thread writes the
/// lines from a bounded queue.
///
/// If `file` is empty, the log goes to standard output. There, lines beyond
/// 500 lines or 150000 bytes per second are dropped and counted; warnings and
/// errors have twice these limits. A stalled reader does not block callers.
void start_log(std::string_view level,
               const std::string& file,
               const std::string& instance);

/// Waits until all queued lines are written to standard output, for at most
/// 300 ms.
void flush_log();

/// Writes the queued lines and stops the log's thread.
void stop_log();

/// A log event: a name and key=value pairs on one line.
///
/// The destructor writes the line. Values that contain spaces, quotes,
/// backslashes or equals signs are quoted and escaped; line ends become
/// spaces. Example:
/// `log_event(log_level::info, "lease_taken").with("cell", 3);`
class log_event
{
public:
    log_event(log_level level, std::string_view name);
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;
    ~log_event();

    /// Appends a pair with a text value.
    log_event& with(std::string_view key, std::string_view value);

    /// Appends a pair with an integer value.
    log_event& with(std::string_view key, std::int64_t value);

private:
    log_level level_;
    std::string line_;
};

} // namespace barleyfork

#endif
