/// Prints the slopes that docs/CAPACITY.md stands on, and what they give at
/// the size that is designed for.

#include "decision_cost.hpp"
#include "gossip_trial.hpp"

#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>

DEFINE_uint64(seed, 20261204, "seed of the trials");
DEFINE_int64(seconds, 60, "simulated seconds of each gossip trial");

namespace {

using namespace barleyfork;

/// The size that is designed for.
constexpr std::size_t design_daemons = 410;
constexpr std::size_t design_servers = 5800;
constexpr std::size_t design_models = 510;
constexpr std::size_t cell_servers = 50;
constexpr double changes_a_day = 7500.0;
constexpr double seconds_a_day = 86400.0;
constexpr double poll_seconds = 2.0;
constexpr double renewal_seconds = 2.0;
constexpr double plan_seconds = 0.5;
constexpr double percent = 100.0;
constexpr double ms_per_second = 1000.0;

void print_gossip()
{
    std::cout << "peer messages, with a change each 11.5 s, 1 % lost\n"
              << "nodes  bytes/s  messages/s  core_%   heap_KiB  spread_ms\n";
    for (const std::size_t nodes : {50U, 100U, 200U, 410U}) {
        gossip_options options;
        options.seed = FLAGS_seed;
        options.nodes = nodes;
        options.seconds = FLAGS_seconds;
        const auto result = run_gossip(options);
        std::cout << std::setw(5) << nodes << std::setw(9)
                  << result.bytes_per_second << std::setw(12)
                  << result.messages_per_second << std::setw(8)
                  << std::setprecision(3) << percent * result.core_share
                  << std::setprecision(1) << std::setw(11) << result.heap_kib
                  << std::setw(11) << result.slowest_spread_ms << "\n";
    }
}

void print_planning()
{
    std::cout << "planning round of a cell\nservers  models  ms      core_% "
                 "at a round each 0.5 s\n";
    for (const std::size_t servers : {10U, 25U, 50U, 128U, 256U}) {
        const auto models = servers * 3 / 2;
        const double ms = planning_ms(servers, models);
        std::cout << std::setw(7) << servers << std::setw(8) << models
                  << std::setw(8) << std::setprecision(3) << ms << std::setw(8)
                  << percent * ms / ms_per_second / plan_seconds
                  << std::setprecision(1) << "\n";
    }
}

void print_declarations()
{
    std::cout << "declaration\nmodels  servers  bytes     index_ms  "
                 "heap_KiB  change_bytes  apply_ms  view_ms\n";
    for (const std::size_t part : {16U, 4U, 1U}) {
        const auto models = design_models / part;
        const auto servers = design_servers / part;
        const auto cost = measure_declaration(models, servers);
        const auto change = measure_change(models, servers);
        std::cout << std::setw(6) << models << std::setw(9) << servers
                  << std::setw(9) << std::setprecision(0) << cost.bytes
                  << std::setprecision(2) << std::setw(10) << cost.index_ms
                  << std::setprecision(1) << std::setw(10) << cost.heap_kib
                  << std::setw(14) << change.bytes << std::setprecision(2)
                  << std::setw(10) << change.apply_ms << std::setw(9)
                  << view_ms(models, servers) << std::setprecision(1) << "\n";
    }
}

void print_small_costs()
{
    std::cout << "ledger row bytes with 1, 2, 4 residents: "
              << ledger_row_bytes(1) << " " << ledger_row_bytes(2) << " "
              << ledger_row_bytes(4) << "\n"
              << std::setprecision(3)
              << "pick among 4, 16, 64 replicas, us: " << pick_us(4) << " "
              << pick_us(16) << " " << pick_us(64) << "\n"
              << std::setprecision(1);
}

/// Reads and writes of the table, by the daemons' own intervals.
void print_table_use()
{
    const double cells = static_cast<double>(design_servers) / cell_servers;
    const double changes = changes_a_day / seconds_a_day;
    const auto daemons = static_cast<double>(design_daemons);
    std::cout << "table at the size designed for\n"
              << "  polls, reads/s            " << daemons / poll_seconds
              << "\n  lease renewals, writes/s  " << cells / renewal_seconds
              << "\n  configuration, writes/s   " << 3.0 * changes
              << "\n  bodies, object reads/s    " << daemons * changes << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::cout << std::fixed << std::setprecision(1);
    print_gossip();
    print_planning();
    print_declarations();
    print_small_costs();
    print_table_use();
    return 0;
}
