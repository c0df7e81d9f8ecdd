/// Compares placement policies on demand traces of both deployments: prints
/// a table and writes a CSV.

#include "demand_trace.hpp"
#include "policies.hpp"
#include "policy_world.hpp"

#include <barleyfork/schema/toml_reader.hpp>

#include <algorithm>
#include <fstream>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <numeric>

DEFINE_uint64(seed, 20261204, "seed of the demand traces");
DEFINE_uint32(seeds, 3, "traces for each deployment");
DEFINE_uint32(hours, 6, "length of a trace");
DEFINE_double(move_price, -1.0, "in place of the deployments' own price");
DEFINE_double(horizon, 60.0, "seconds a shortfall is expected to last");
DEFINE_string(deployment, "", "only this one: electrica or gosbrunnur");
DEFINE_uint32(sight, 20, "seconds that the clairvoyant sees ahead");
DEFINE_string(samples, "samples", "folder of the example deployments");
DEFINE_string(csv, "run/policy.csv", "where the table goes as CSV");

namespace {

using namespace barleyfork;

constexpr std::size_t warm_up_seconds = 600;
constexpr std::size_t seconds_per_hour = 3600;

struct table_row
{
    std::string deployment;
    std::string policy;
    policy_result result;
};

std::shared_ptr<const catalog> load_deployment(const std::string& name)
{
    const auto path = FLAGS_samples + "/" + name + ".toml";
    std::string text;
    schema::deployment_record record;
    std::shared_ptr<const catalog> result;
    auto error = read_file(path, text);
    if (!error)
        error = parse_deployment(text, path, record);
    if (!error)
        error = catalog::build(record, result);
    if (error)
        std::cerr << "policy_driver: " << error.message() << "\n";
    return result;
}

trade_off_options trade_off()
{
    trade_off_options options;
    if (FLAGS_move_price >= 0.0)
        options.move_price = FLAGS_move_price;
    options.horizon_seconds = FLAGS_horizon;
    return options;
}

/// The most that any placement could attain: servers that hold every model.
policy_result fluid_bound(const catalog& deployment, const demand_trace& trace)
{
    const auto servers = static_cast<double>(std::count_if(
        deployment.servers().begin(),
        deployment.servers().end(),
        [](const auto& server) { return server.service.empty(); }));
    double asked = 0.0;
    double served = 0.0;
    for (std::size_t t = warm_up_seconds; t < trace.size(); ++t) {
        const double work =
            std::accumulate(trace[t].begin(), trace[t].end(), 0.0);
        asked += work;
        served += std::min(work, servers);
    }
    policy_result result;
    result.attainment = served / asked;
    result.accelerators_used = servers;
    return result;
}

void add(policy_result& sum, const policy_result& one)
{
    sum.attainment += one.attainment / FLAGS_seeds;
    sum.accelerators_used += one.accelerators_used / FLAGS_seeds;
    sum.loads += one.loads;
    sum.unloads += one.unloads;
}

void run_deployment(const std::string& name, std::vector<table_row>& rows)
{
    const auto deployment = load_deployment(name);
    if (!deployment)
        std::exit(2);
    const auto models = deployment->models().size();
    const std::vector<std::string> names{
        "planner", "static", "least_recent", "clairvoyant", "fluid_bound"};
    std::vector<policy_result> sums(names.size());
    for (std::uint32_t i = 0; i < FLAGS_seeds; ++i) {
        trace_options options;
        options.seed = FLAGS_seed + i;
        options.models = models;
        options.seconds = FLAGS_hours * seconds_per_hour;
        const auto trace = make_trace(options);
        std::vector<std::unique_ptr<placement_policy>> policies;
        policies.push_back(make_planner_policy(models));
        policies.push_back(make_static_policy());
        policies.push_back(make_recency_policy(models));
        policies.push_back(make_clairvoyant_policy(trace, FLAGS_sight));
        for (std::size_t p = 0; p < policies.size(); ++p)
            add(sums[p],
                policy_world(*deployment, warm_up_seconds, trade_off())
                    .run(*policies[p], trace));
        add(sums.back(), fluid_bound(*deployment, trace));
    }
    for (std::size_t p = 0; p < names.size(); ++p)
        rows.push_back({name, names[p], sums[p]});
}

void print(const std::vector<table_row>& rows)
{
    std::ofstream csv(FLAGS_csv);
    csv << "deployment,policy,attainment,accelerators_used,"
           "attainment_per_accelerator,loads,unloads,moves\n";
    std::cout << std::left << std::setw(14) << "deployment" << std::setw(14)
              << "policy" << std::setw(12) << "attainment" << std::setw(10)
              << "used" << std::setw(16) << "per_accelerator"
              << "moves\n";
    for (const auto& row : rows) {
        const auto& result = row.result;
        const double each = result.attainment / result.accelerators_used;
        std::cout << std::setw(14) << row.deployment << std::setw(14)
                  << row.policy << std::setw(12) << std::fixed
                  << std::setprecision(4) << result.attainment << std::setw(10)
                  << std::setprecision(2) << result.accelerators_used
                  << std::setw(16) << std::setprecision(5) << each
                  << result.moves() << "\n";
        csv << row.deployment << ',' << row.policy << ',' << result.attainment
            << ',' << result.accelerators_used << ',' << each << ','
            << result.loads << ',' << result.unloads << ',' << result.moves()
            << "\n";
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::vector<table_row> rows;
    for (const auto* name : {"electrica", "gosbrunnur"})
        if (FLAGS_deployment.empty() || FLAGS_deployment == name)
            run_deployment(name, rows);
    print(rows);
    return 0;
}
