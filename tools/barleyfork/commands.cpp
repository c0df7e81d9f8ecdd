#include "commands.hpp"

#include "check_command.hpp"
#include "tables.hpp"

#include <barleyfork/base/digest.hpp>
#include <barleyfork/logs/prompt_bands.hpp>
#include <barleyfork/logs/request_timeline.hpp>
#include <barleyfork/net/url.hpp>
#include <barleyfork/schema/toml_reader.hpp>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <fstream>
#include <iostream>

namespace barleyfork {

namespace json = boost::json;

namespace {

using words = std::span<const std::string>;
using command_function = tool_exit (*)(operator_client&,
                                       words,
                                       const command_options&);

struct command
{
    std::string_view name;
    std::size_t arguments;
    command_function run;
    /// Any number of further words may follow.
    bool takes_more = false;
};

tool_exit report(const failure& error)
{
    std::cerr << "barleyfork: " << error.detail;
    // A refusal's text came from the daemon and names the remedy already.
    if (error.detail.find(error.code.message()) == std::string::npos)
        std::cerr << ": " << error.code.message();
    std::cerr << "\n";
    const auto kind = kind_of(error.code);
    const bool silent = kind == errc::connection_lost || kind == errc::timeout;
    if (silent)
        std::cerr << "barleyfork: no daemon answered; pass --address of a "
                     "live one\n";
    return silent ? tool_exit::unreachable : tool_exit::refused;
}

/// Calls and prints the JSON, or hands the body to `print`.
template <typename Print>
tool_exit show(operator_client& client,
               const std::string& target,
               const command_options& options,
               Print print)
{
    const auto answer = client.call("GET", target);
    if (answer.error)
        return report(answer.error);
    if (options.json_output)
        std::cout << json::serialize(answer.body) << "\n";
    else
        print(answer.body);
    return tool_exit::ok;
}

tool_exit
apply(operator_client& client, words args, const command_options& options)
{
    std::string text;
    if (auto error = read_file(args[0], text)) {
        std::cerr << "barleyfork: " << error.message() << "\n";
        return tool_exit::usage;
    }
    schema::deployment_record checked;
    if (auto error = parse_deployment(text, args[0], checked)) {
        std::cerr << "barleyfork: " << error.message() << "\n";
        return tool_exit::usage;
    }
    std::string target = "/v1/apply?wait=";
    target += options.wait ? "true" : "false";
    if (options.dry_run)
        target += "&dry_run=true";
    if (options.expect_revision >= 0)
        target += "&expect_revision=" + std::to_string(options.expect_revision);
    const auto answer = client.call("POST", target, text);
    if (answer.error)
        return report(answer.error);
    if (options.json_output) {
        std::cout << json::serialize(answer.body) << "\n";
        return tool_exit::ok;
    }
    for (const auto& line : answer.body.at("differences").as_array())
        std::cout << json::value_to<std::string>(line) << "\n";
    if (options.dry_run) {
        std::cout << "dry run: nothing was applied\n";
        return tool_exit::ok;
    }
    std::cout << "revision " << answer.body.at("revision") << " is accepted\n";
    if (!options.wait)
        return tool_exit::ok;
    const bool everywhere = answer.body.at("in_force_everywhere").as_bool();
    if (everywhere) {
        std::cout << "in force on every listed daemon\n";
        return tool_exit::ok;
    }
    std::cerr << "barleyfork: not yet in force on "
              << answer.body.at("unconfirmed") << "; see: barleyfork status\n";
    return tool_exit::refused;
}

tool_exit get(operator_client& client, words, const command_options& options)
{
    return show(client, "/v1/configuration", options, [](const auto& body) {
        std::cout << "revision " << body.at("revision") << "\n";
        if (!body.as_object().contains("models"))
            return;
        print_table(std::cout,
                    "models",
                    body.at("models"),
                    {"model", "version", "memory_mib", "min_replicas"});
        print_table(std::cout,
                    "routes",
                    body.at("routes"),
                    {"organisation", "path", "service", "idempotent"});
    });
}

tool_exit
history(operator_client& client, words, const command_options& options)
{
    return show(client, "/v1/history", options, [](const auto& body) {
        print_table(std::cout,
                    "history",
                    body.at("history"),
                    {"revision", "applied_by", "coordinator", "at_ms"});
    });
}

tool_exit status(operator_client& client, words, const command_options& options)
{
    return show(client, "/v1/status", options, [](const auto& body) {
        std::cout << "revision " << body.at("revision") << "\n";
        print_table(std::cout,
                    "daemons",
                    body.at("daemons"),
                    {"instance", "state", "failure_domain", "revision"});
        print_table(std::cout,
                    "backend servers",
                    body.at("backend_servers"),
                    {"server",
                     "failure_domain",
                     "reporting",
                     "leaving",
                     "committed_mib",
                     "capacity_mib",
                     "orders",
                     "residents"});
        std::cout << "leases " << body.at("leases") << "\n";
    });
}

tool_exit
explain(operator_client& client, words args, const command_options& options)
{
    const auto target = "/v1/explain?model=" + percent_encode(args[0]);
    return show(client, target, options, [](const auto& body) {
        std::cout << "model " << body.at("model") << " demand "
                  << body.at("demand") << "\n";
        print_table(std::cout,
                    "replicas",
                    body.at("replicas"),
                    {"server", "version", "state", "reporting"});
    });
}

tool_exit drain(operator_client& client, words args, const command_options&)
{
    const auto answer =
        client.call("POST", "/v1/drain?instance=" + percent_encode(args[0]));
    if (answer.error)
        return report(answer.error);
    std::cout << "instance " << args[0] << " is draining\n";
    return tool_exit::ok;
}

tool_exit
trace(operator_client& client, words args, const command_options& options)
{
    const auto target = "/v1/trace?id=" + percent_encode(args[0]);
    return show(client, target, options, [](const auto& body) {
        print_trace(std::cout, body);
    });
}

/// The lines of the named logs, or of standard input where none is named.
bool read_logs(words paths, std::vector<log_line>& out)
{
    const auto read = [&out](std::istream& in) {
        for (std::string text; std::getline(in, text);)
            if (auto line = parse_log_line(text))
                out.push_back(std::move(*line));
    };
    if (paths.empty())
        read(std::cin);
    for (const auto& path : paths) {
        std::ifstream in(path);
        if (!in) {
            std::cerr << "barleyfork: " << path
                      << " can't be read; name a daemon's log\n";
            return false;
        }
        read(in);
    }
    return true;
}

tool_exit why(operator_client&, words args, const command_options&)
{
    std::vector<log_line> log;
    if (!read_logs(args.subspan(1), log))
        return tool_exit::usage;
    const auto story = build_request_timeline(log, args[0]);
    if (story.lines.empty()) {
        std::cerr << "barleyfork: no line of request " << args[0]
                  << "; give the logs of all daemons of that time\n";
        return tool_exit::refused;
    }
    std::cout << story.cause << "\n";
    if (!story.not_run_proof.empty())
        std::cout << story.not_run_proof << "\n";
    for (const auto& line : story.lines)
        std::cout << line.text << "\n";
    return tool_exit::ok;
}

tool_exit causes(operator_client&, words args, const command_options&)
{
    std::vector<log_line> log;
    if (!read_logs(args, log))
        return tool_exit::usage;
    for (const auto& [cause, count] : count_causes(log))
        std::cout << count << "\t" << cause << "\n";
    return tool_exit::ok;
}

/// Shows whether long prompts hold up short ones: what became of requests by
/// the size of their prompts.
tool_exit prompts(operator_client&, words args, const command_options&)
{
    std::vector<log_line> log;
    if (!read_logs(args, log))
        return tool_exit::usage;
    boost::json::array rows;
    const auto share = [](std::size_t part, const prompt_band& band) {
        constexpr double hundred = 100.0;
        const auto all = std::max<std::size_t>(band.requests, 1);
        return std::llround(hundred * static_cast<double>(part) /
                            static_cast<double>(all));
    };
    for (const auto& band : count_prompt_bands(log))
        rows.push_back({{"TOKENS",
                         std::to_string(band.min_tokens) + "-" +
                             std::to_string(band.max_tokens)},
                        {"REQUESTS", band.requests},
                        {"IN_TARGET_%", share(band.in_target, band)},
                        {"LATE_%", share(band.late, band)},
                        {"REFUSED_%", share(band.refused, band)},
                        {"CALLER_LEFT_%", share(band.caller_left, band)},
                        {"FAILED_%", share(band.failed, band)},
                        {"MEDIAN_MS", band.median_ms},
                        {"P95_MS", band.p95_ms}});
    print_table(std::cout,
                "prompts by size",
                rows,
                {"TOKENS",
                 "REQUESTS",
                 "IN_TARGET_%",
                 "LATE_%",
                 "REFUSED_%",
                 "CALLER_LEFT_%",
                 "FAILED_%",
                 "MEDIAN_MS",
                 "P95_MS"});
    return tool_exit::ok;
}

tool_exit digest(operator_client&, words args, const command_options&)
{
    std::cout << content_digest(args[0]) << "\n";
    return tool_exit::ok;
}

tool_exit check(operator_client&, words args, const command_options&)
{
    if (args.size() > 2) {
        std::cerr << "barleyfork: check takes the next configuration and the "
                     "one in force\n";
        return tool_exit::usage;
    }
    return check_stored_configuration(
        args[0], args.size() > 1 ? args[1] : std::string());
}

constexpr std::array<command, 12> commands{{
    {"apply", 1, apply},
    {"get", 0, get},
    {"history", 0, history},
    {"status", 0, status},
    {"explain", 1, explain},
    {"drain", 1, drain},
    {"trace", 1, trace},
    {"digest", 1, digest},
    {"why", 1, why, true},
    {"causes", 0, causes, true},
    {"prompts", 0, prompts, true},
    {"check", 1, check, true},
}};

} // namespace

tool_exit
run_command(operator_client& client, words all, const command_options& options)
{
    const auto found = std::find_if(
        commands.begin(), commands.end(), [&all](const command& entry) {
            return !all.empty() && entry.name == all[0] &&
                   (entry.arguments + 1 == all.size() ||
                    (entry.takes_more && entry.arguments < all.size()));
        });
    if (found == commands.end()) {
        std::cerr << "barleyfork: commands are apply FILE, get, history, "
                     "status, explain MODEL, drain INSTANCE, trace ID, "
                     "digest KEY, why REQUEST_ID [LOG...], causes [LOG...], "
                     "prompts [LOG...], check NEXT [IN_FORCE]\n";
        return tool_exit::usage;
    }
    return found->run(client, all.subspan(1), options);
}

} // namespace barleyfork
