#include <barleyfork/logs/request_timeline.hpp>

#include "not_run_proof.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace barleyfork {

namespace {

/// Events of a server or daemon that can explain a request's outcome.
constexpr std::array<std::string_view, 6> server_events{"server_draining",
                                                        "server_unlisted",
                                                        "server_gone",
                                                        "server_listed",
                                                        "server_too_slow",
                                                        "order_answered"};
constexpr std::array<std::string_view, 7> daemon_events{
    "drain_started",
    "drain_ended",
    "store_lost",
    "store_back",
    "configuration_in_force",
    "log_lines_left_out",
    "gateway_started"};

/// Descriptions of failed attempts by the `end` value of the log line, which
/// is a numeric `attempt_outcome`.
constexpr std::array<std::pair<std::string_view, std::string_view>, 4>
    attempt_failures{{{"0", "could not be reached"},
                      {"1", "rejected it without running it"},
                      {"2", "gave no valid response"},
                      {"3", "broke off its response"}}};

template <std::size_t Size>
bool contains(const std::array<std::string_view, Size>& names,
              std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::string describe_failure(const log_line& failed)
{
    std::string text = "server " + std::string(failed.field("server")) + " ";
    const auto end = failed.field("end");
    const auto known =
        std::find_if(attempt_failures.begin(),
                     attempt_failures.end(),
                     [end](const auto& entry) { return entry.first == end; });
    text += known == attempt_failures.end() ? "failed" : known->second;
    if (failed.field("status") != "0" && !failed.field("status").empty())
        text += " (status " + std::string(failed.field("status")) + ")";
    return text;
}

const log_line* find_last(std::span<const log_line> lines,
                          std::string_view event)
{
    const log_line* found = nullptr;
    for (const auto& line : lines)
        if (line.event == event)
            found = &line;
    return found;
}

std::string describe_wait(const log_line* wait)
{
    if (wait == nullptr)
        return "no server was eligible for it";
    const auto reason = wait->field("reason");
    const std::string model(wait->field("model"));
    if (reason == "no_adapter")
        return "no server had adapter " + std::string(wait->field("adapter")) +
               " of model " + model + " in time";
    if (reason == "turned_away")
        return "all servers rejected requests until their Retry-After";
    if (reason == "no_room")
        return "the queues of all servers with model " + model +
               " were too long";
    return "no usable server had a resident replica of model " + model;
}

std::string describe_lost_connection(const log_line* sent,
                                     const log_line* failed)
{
    if (failed != nullptr)
        return describe_failure(*failed);
    if (sent != nullptr)
        return "its caller disconnected while server " +
               std::string(sent->field("server")) + " was processing it";
    return "its caller disconnected before it was sent";
}

std::string describe_quarantine(const log_line* refused)
{
    if (refused == nullptr)
        return "servers crashed while running it";
    const bool is_part = refused->field("cause") == "prompt_part";
    return std::string(refused->field("crashes")) +
           (is_part ? " servers crashed while running requests that share a "
                      "part of its prompt"
                    : " servers crashed while running it or its retries");
}

/// Describes a refusal because of the caller's key.
std::string describe_refused_key(const log_line& refused)
{
    const auto reason = refused.field("reason");
    if (reason == "unconfirmed")
        return "store_unavailable: nothing had confirmed for " +
               std::string(refused.field("age_ms")) +
               " ms that the keys known to the daemon still hold";
    return reason == "missing"
               ? "unauthorized: it had no usable key"
               : "unauthorized: its key belongs to no organisation";
}

std::string describe_end(std::span<const log_line> lines)
{
    const auto* ended = find_last(lines, "request_ended");
    const auto* sent = find_last(lines, "request_sent");
    const auto* wait = find_last(lines, "request_waits");
    const auto* failed = find_last(lines, "send_failed");
    if (const auto* refused = find_last(lines, "request_unauthorized"))
        return describe_refused_key(*refused);
    if (ended == nullptr)
        return "it has not ended in these logs";
    const auto outcome = ended->field("outcome");
    if (outcome == "ok")
        return "answered with status " + std::string(ended->field("status"));
    const std::string head = std::string(outcome) + ": ";
    if (outcome == "connection_lost")
        return head + describe_lost_connection(sent, failed);
    if (outcome == "timeout")
        return head +
               "its time limit expired while it was in flight on server " +
               std::string(sent == nullptr ? "" : sent->field("server"));
    if (outcome == "draining")
        return head + "the daemon was shutting down";
    if (outcome == "quarantined")
        return head +
               describe_quarantine(find_last(lines, "request_quarantined"));
    if (outcome == "store_unavailable")
        return head + "the daemon had no configuration or server list yet";
    if (outcome == "not_found")
        return head + "no route of the configuration matches it";
    if (outcome == "outcome_unknown" && failed != nullptr)
        return head + describe_failure(*failed);
    if (failed != nullptr && wait == nullptr)
        return head + describe_failure(*failed) +
               ", and no other server was left";
    if (wait == nullptr && sent == nullptr)
        return head + "no server could have started it in time";
    return head + describe_wait(wait);
}

/// Returns true if a line is an event of one of the request's daemons or
/// servers.
bool is_related(const log_line& line,
                const std::set<std::string, std::less<>>& instances,
                const std::set<std::string, std::less<>>& servers)
{
    if (contains(server_events, line.event))
        return servers.contains(line.field("server"));
    return contains(daemon_events, line.event) &&
           instances.contains(line.instance);
}

void sort_by_time(std::vector<log_line>& lines)
{
    std::stable_sort(
        lines.begin(), lines.end(), [](const auto& a, const auto& b) {
            return a.time < b.time;
        });
}

/// Removes the identifiers from a cause, so that equal causes can be counted.
std::string remove_identifiers(const std::string& cause)
{
    std::string general;
    bool may_be_identifier = false;
    std::size_t at = 0;
    while (at < cause.size()) {
        const auto end = std::min(cause.find(' ', at), cause.size());
        const auto word = cause.substr(at, end - at);
        const bool is_identifier =
            may_be_identifier &&
            word.find_first_of("0123456789") != std::string::npos;
        if (!is_identifier)
            general += (general.empty() ? "" : " ") + word;
        may_be_identifier =
            word == "server" || word == "model" || word == "adapter";
        at = end + 1;
    }
    return general;
}

} // namespace

request_timeline build_request_timeline(std::span<const log_line> log,
                                        std::string_view id)
{
    request_timeline story;
    std::set<std::string, std::less<>> instances;
    std::set<std::string, std::less<>> servers;
    for (const auto& line : log) {
        if (line.field("request") != id)
            continue;
        story.lines.push_back(line);
        instances.insert(line.instance);
        if (!line.field("server").empty())
            servers.emplace(line.field("server"));
    }
    if (story.lines.empty())
        return story;
    sort_by_time(story.lines);
    story.cause = describe_end(story.lines);
    story.not_run_proof = describe_not_run_proof(story.lines);
    for (const auto& line : log) {
        // Its answer came again, on a connection that another request used.
        const bool is_stray_answer = line.field("belongs_to") == id;
        if (line.field("request") != id &&
            (is_stray_answer || is_related(line, instances, servers)))
            story.lines.push_back(line);
    }
    sort_by_time(story.lines);
    return story;
}

std::map<std::string, std::size_t> count_causes(std::span<const log_line> log)
{
    std::map<std::string, std::vector<log_line>, std::less<>> requests;
    for (const auto& line : log)
        if (const auto id = line.field("request"); !id.empty())
            requests[std::string(id)].push_back(line);
    std::map<std::string, std::size_t> causes;
    for (auto& [id, lines] : requests) {
        sort_by_time(lines);
        ++causes[remove_identifiers(describe_end(lines))];
    }
    return causes;
}

} // namespace barleyfork
