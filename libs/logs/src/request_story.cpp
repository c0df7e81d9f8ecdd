#include <barleyfork/logs/request_story.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace barleyfork {

namespace {

/// Events that can explain what happened to a request on a server or daemon.
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

/// How a send failed, by the number in its line (`attempt_end`).
constexpr std::array<std::pair<std::string_view, std::string_view>, 4>
    failed_sends{{{"0", "could not be reached"},
                  {"1", "refused it as not run"},
                  {"2", "gave no good answer"},
                  {"3", "broke its answer off"}}};

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
        std::find_if(failed_sends.begin(),
                     failed_sends.end(),
                     [end](const auto& entry) { return entry.first == end; });
    text += known == failed_sends.end() ? "failed" : known->second;
    if (failed.field("status") != "0" && !failed.field("status").empty())
        text += " (status " + std::string(failed.field("status")) + ")";
    return text;
}

const log_line* last_of(std::span<const log_line> lines, std::string_view event)
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
        return "no server was fit to take it";
    const auto reason = wait->field("reason");
    const std::string model(wait->field("model"));
    if (reason == "no_adapter")
        return "no server had adapter " + std::string(wait->field("adapter")) +
               " of model " + model + " in time";
    if (reason == "turned_away")
        return "all servers wanted nothing for a while";
    if (reason == "no_room")
        return "the queues of all servers with model " + model +
               " were too long";
    return "no usable server held model " + model;
}

std::string describe_lost(const log_line* sent, const log_line* failed)
{
    if (failed != nullptr)
        return describe_failure(*failed);
    if (sent != nullptr)
        return "its caller left while server " +
               std::string(sent->field("server")) + " worked on it";
    return "its caller left before it was sent";
}

std::string describe_quarantine(const log_line* refused)
{
    if (refused == nullptr)
        return "servers ended under it";
    return std::string(refused->field("crashes")) +
           " servers ended under it or its repeats";
}

std::string describe_end(std::span<const log_line> lines)
{
    const auto* ended = last_of(lines, "request_ended");
    const auto* sent = last_of(lines, "request_sent");
    const auto* wait = last_of(lines, "request_waits");
    const auto* failed = last_of(lines, "send_failed");
    if (ended == nullptr)
        return "it has not ended in these logs";
    const auto outcome = ended->field("outcome");
    if (outcome == "ok")
        return "answered with status " + std::string(ended->field("status"));
    const std::string head = std::string(outcome) + ": ";
    if (outcome == "connection_lost")
        return head + describe_lost(sent, failed);
    if (outcome == "timeout")
        return head + "the time was over while it was at server " +
               std::string(sent == nullptr ? "" : sent->field("server"));
    if (outcome == "draining")
        return head + "the daemon was shutting down";
    if (outcome == "quarantined")
        return head +
               describe_quarantine(last_of(lines, "request_quarantined"));
    if (outcome == "store_unavailable")
        return head + "the daemon had no configuration or server list yet";
    if (outcome == "not_found")
        return head + "no route of the configuration takes it";
    if (outcome == "outcome_unknown" && failed != nullptr)
        return head + describe_failure(*failed);
    if (failed != nullptr && wait == nullptr)
        return head + describe_failure(*failed) + ", and no other was left";
    if (wait == nullptr && sent == nullptr)
        return head + "no server would have begun it in time";
    return head + describe_wait(wait);
}

/// True for a line about the request's own daemon or servers.
bool stands_beside(const log_line& line,
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

/// A cause without identifiers, so that equal ones can be counted.
std::string general_cause(const std::string& cause)
{
    std::string general;
    bool may_be_name = false;
    std::size_t at = 0;
    while (at < cause.size()) {
        const auto end = std::min(cause.find(' ', at), cause.size());
        const auto word = cause.substr(at, end - at);
        const bool is_name = may_be_name && word.find_first_of("0123456789") !=
                                                std::string::npos;
        if (!is_name)
            general += (general.empty() ? "" : " ") + word;
        may_be_name = word == "server" || word == "model" || word == "adapter";
        at = end + 1;
    }
    return general;
}

} // namespace

request_story tell_story(std::span<const log_line> log, std::string_view id)
{
    request_story story;
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
    for (const auto& line : log)
        if (line.field("request") != id &&
            stands_beside(line, instances, servers))
            story.lines.push_back(line);
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
        ++causes[general_cause(describe_end(lines))];
    }
    return causes;
}

} // namespace barleyfork
