#ifndef BARLEYFORK_LOGS_REQUEST_TIMELINE_HPP
#define BARLEYFORK_LOGS_REQUEST_TIMELINE_HPP

#include <barleyfork/logs/log_line.hpp>

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace barleyfork {

/// The cause of one request's outcome and the log lines that show it.
struct request_timeline
{
    /// The outcome and its cause in one sentence; empty if the log has no
    /// line of the request.
    std::string cause;
    /// For a request that was refused with a promise: why it was held not to
    /// have run; else empty.
    std::string not_run_proof;
    /// The request's own lines and the related events of its servers and its
    /// daemons, in chronological order.
    std::vector<log_line> lines;
};

/// Collects the lines of the request `id` and derives the cause of its outcome.
request_timeline build_request_timeline(std::span<const log_line> log,
                                        std::string_view id);

/// Counts the requests by the cause of their outcome. Identifiers are removed
/// from the causes, so that equal causes are counted together.
std::map<std::string, std::size_t> count_causes(std::span<const log_line> log);

} // namespace barleyfork

#endif
