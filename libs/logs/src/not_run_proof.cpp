#include "not_run_proof.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace barleyfork {

namespace {

/// Outcomes whose response promises that the request was not run.
constexpr std::array<std::string_view, 5> promising_outcomes{
    "overloaded", "no_replica", "draining", "quarantined", "store_unavailable"};

bool promises_not_run(const log_line& line)
{
    return line.event == "request_ended" &&
           std::find(promising_outcomes.begin(),
                     promising_outcomes.end(),
                     line.field("outcome")) != promising_outcomes.end();
}

/// The sends of a request, by how it is known that they did not run it.
struct send_counts
{
    int sends = 0;
    /// No byte was written.
    int unsent = 0;
    /// The server said so in an answer, by how that is tied to the request.
    int refused_by_id = 0;
    int refused_on_new_connection = 0;
};

send_counts count_sends(std::span<const log_line> lines)
{
    send_counts counts;
    for (const auto& line : lines) {
        const bool failed = line.event == "send_failed";
        const bool refused = failed && line.field("end") == "1";
        counts.sends += line.event == "request_sent" ? 1 : 0;
        counts.unsent += line.event == "send_withdrawn" ||
                                 (failed && line.field("end") == "0")
                             ? 1
                             : 0;
        counts.refused_by_id += refused && line.field("answer") == "id" ? 1 : 0;
        counts.refused_on_new_connection +=
            refused && line.field("answer") == "new_connection" ? 1 : 0;
    }
    return counts;
}

} // namespace

std::string describe_not_run_proof(std::span<const log_line> lines)
{
    if (std::none_of(lines.begin(), lines.end(), promises_not_run))
        return {};
    const auto counts = count_sends(lines);
    if (counts.sends == 0)
        return "not run: it was sent to no server";
    const int open = counts.sends - counts.unsent - counts.refused_by_id -
                     counts.refused_on_new_connection;
    return "not run: of " + std::to_string(counts.sends) + " sends " +
           std::to_string(counts.refused_by_id) +
           " were refused in an answer with its id, " +
           std::to_string(counts.refused_on_new_connection) +
           " in the first answer on a new connection, " +
           std::to_string(counts.unsent) + " wrote nothing, " +
           std::to_string(open) + " have no proof in these logs";
}

} // namespace barleyfork
