/// Measures one daemon against the same client straight to an engine, and the
/// routing strategies against each other. Started by `./build.sh bench`.

#include "process_usage.hpp"
#include "routing_trial.hpp"

#include <barleyfork/scenario/caller.hpp>

#include <algorithm>
#include <csignal>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

DEFINE_int32(daemon_pid, 0, "process of the daemon");
DEFINE_uint32(caller_port, 7300, "caller port of the daemon");
DEFINE_uint32(engine_port, 7200, "port of an engine that has the model");
DEFINE_string(model, "drafter-0", "the model");
DEFINE_string(owner, "outage-desk", "its organisation");
DEFINE_uint32(requests, 400, "requests of the latency trial");
DEFINE_uint32(streams, 200, "open streams of the stream trial");
DEFINE_uint32(stream_tokens, 400, "tokens of each");
DEFINE_uint64(seed, 20261204, "seed of the routing trial");
DEFINE_double(quiet_rate, 18.0, "requests a second before the burst");

namespace {

using namespace barleyfork;
using scenario::caller;
using scenario::caller_call;

constexpr double microseconds_per_ms = 1000.0;

caller_call make_call(bool direct, unsigned tokens, unsigned number)
{
    caller_call call;
    call.port = static_cast<std::uint16_t>(direct ? FLAGS_engine_port
                                                  : FLAGS_caller_port);
    call.path = "/v1/completions";
    call.headers = {{"Authorization", "Bearer key-of-" + FLAGS_owner}};
    if (direct)
        call.headers = {{"X-Model", FLAGS_owner + "/" + FLAGS_model},
                        {"X-Model-Version", "1"}};
    call.body = R"({"model":")" + FLAGS_model +
                R"(","stream":true,"prompt":")" + std::to_string(number) +
                R"(","max_tokens":)" + std::to_string(tokens) + "}";
    return call;
}

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    return values[index];
}

/// Time to the first token of requests sent one after the other, in ms.
std::vector<double> first_tokens(bool direct, std::size_t& failed)
{
    std::vector<double> times;
    for (unsigned i = 0; i < FLAGS_requests; ++i) {
        caller one(make_call(direct, 1, i));
        const auto& answer = one.wait();
        failed += answer.whole ? 0 : 1;
        times.push_back(static_cast<double>(answer.first_part_us) /
                        microseconds_per_ms);
    }
    return times;
}

void print(const std::string& name, double value, const std::string& unit)
{
    std::cout << std::left << std::setw(44) << name << std::fixed
              << std::setprecision(3) << value << " " << unit << "\n";
}

void latency_trial()
{
    std::size_t failed = 0;
    const auto straight = first_tokens(true, failed);
    const auto before = read_usage(FLAGS_daemon_pid);
    const auto through = first_tokens(false, failed);
    const auto after = read_usage(FLAGS_daemon_pid);
    print("failed requests", static_cast<double>(failed), "");
    for (const double share : {0.5, 0.99})
        print("added first-token time at " + std::to_string(share),
              percentile(through, share) - percentile(straight, share),
              "ms");
    const double cpu = after.cpu_seconds - before.cpu_seconds;
    print(
        "requests a second and core", FLAGS_requests / std::max(cpu, 1e-9), "");
}

void stream_trial()
{
    const auto before = read_usage(FLAGS_daemon_pid);
    const auto begin = std::chrono::steady_clock::now();
    std::vector<std::unique_ptr<caller>> open;
    for (unsigned i = 0; i < FLAGS_streams; ++i)
        open.push_back(
            std::make_unique<caller>(make_call(false, FLAGS_stream_tokens, i)));
    double most_kib = 0.0;
    for (int i = 0; i < 20; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        most_kib =
            std::max(most_kib, read_usage(FLAGS_daemon_pid).resident_kib);
    }
    std::size_t whole = 0;
    for (auto& each : open)
        whole += each->wait().whole ? 1 : 0;
    const std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - begin;
    const auto after = read_usage(FLAGS_daemon_pid);
    const double tokens = static_cast<double>(whole) * FLAGS_stream_tokens;
    const double cpu = after.cpu_seconds - before.cpu_seconds;
    print("whole streams", static_cast<double>(whole), "");
    print("tokens a second", tokens / took.count(), "");
    print("share of a core", 100.0 * cpu / took.count(), "%");
    print("core share at 10000 tokens a second",
          100.0 * cpu / tokens * 10000.0,
          "%");
    print("memory for each open stream",
          (most_kib - before.resident_kib) / FLAGS_streams,
          "KiB");
}

void routing_trial()
{
    routing_options options;
    options.seed = FLAGS_seed;
    options.quiet_rate = FLAGS_quiet_rate;
    for (const auto* name : {"power_of_two", "random", "least_reported"})
        print(std::string("attainment with ") + name,
              routing_attainment(name, options),
              "");
    options.limited = true;
    print("attainment with power_of_two and limits",
          routing_attainment("power_of_two", options),
          "");
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    routing_trial();
    if (FLAGS_daemon_pid == 0) {
        std::cerr << "benchmark: no --daemon_pid; only routing was tried\n";
        return 0;
    }
    latency_trial();
    stream_trial();
    return 0;
}
