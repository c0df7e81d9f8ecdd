#include "decision_cost.hpp"

#include "sized_deployment.hpp"
#include "view_builder.hpp"

#include <barleyfork/base/digest.hpp>
#include <barleyfork/core/catalog.hpp>
#include <barleyfork/core/placement_planner.hpp>
#include <barleyfork/core/replica_picker.hpp>
#include <barleyfork/schema/deployment_delta.hpp>
#include <barleyfork/schema/toml_reader.hpp>
#include <barleyfork/store/row_codec.hpp>

#include <ctime>
#include <malloc.h>
#include <pcg_random.hpp>

namespace barleyfork {

namespace {

constexpr double microseconds_per_second = 1e6;
constexpr double milliseconds_per_second = 1e3;
constexpr double bytes_per_kib = 1024.0;
constexpr int planning_rounds = 20;
constexpr int picks = 200000;
constexpr std::uint32_t model_mib = 32768;
constexpr std::uint64_t server_mib = 73728;

double cpu_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Two models on each server; one model in five in a tenfold burst.
planner_input busy_cell(std::size_t servers, std::size_t models)
{
    planner_input input;
    for (std::size_t m = 0; m < models; ++m) {
        planner_model model;
        model.id = model_id("o/m" + std::to_string(m));
        model.memory_mib = model_mib;
        model.demand = m % 5 == 0 ? 1.5 : 0.15;
        model.peak_demand = model.demand;
        input.models.push_back(model);
    }
    for (std::size_t s = 0; s < servers; ++s) {
        planner_server server;
        server.id = server_id("s" + std::to_string(s));
        server.failure_domain = failure_domain_id("d" + std::to_string(s % 15));
        server.memory_mib = server_mib;
        for (std::size_t i = 0; i < 2; ++i) {
            const auto& model = input.models[(2 * s + i) % models];
            server.replicas.push_back({model.id, 1, model_mib, true});
            server.committed_mib += model_mib;
        }
        input.servers.push_back(server);
    }
    return input;
}

} // namespace

double planning_ms(std::size_t servers, std::size_t models)
{
    const auto input = busy_cell(servers, models);
    const double before = cpu_seconds();
    std::size_t steps = 0;
    for (int i = 0; i < planning_rounds; ++i)
        steps += plan_placement(input).size();
    const double took = cpu_seconds() - before;
    return steps == 0 ? -1.0 : took * milliseconds_per_second / planning_rounds;
}

declaration_cost measure_declaration(std::size_t models, std::size_t servers)
{
    declaration_cost cost;
    const auto bytes = encode_deployment(make_deployment(
        {.organisations = 100, .models = models, .servers = servers}));
    cost.bytes = static_cast<double>(bytes.size());
    const double heap = static_cast<double>(mallinfo2().uordblks);
    const double before = cpu_seconds();
    std::shared_ptr<const catalog> built;
    {
        schema::deployment_record decoded;
        decode_deployment(bytes, decoded);
        catalog::build(decoded, built);
    }
    cost.index_ms = (cpu_seconds() - before) * milliseconds_per_second;
    cost.heap_kib =
        (static_cast<double>(mallinfo2().uordblks) - heap) / bytes_per_kib;
    return cost;
}

change_cost measure_change(std::size_t models, std::size_t servers)
{
    const deployment_size size{100, models, servers};
    auto base = make_deployment(size);
    auto next = make_deployment(size);
    sort_entries(base);
    sort_entries(next);
    next.models.front()->version = 2;
    const auto base_bytes = encode_deployment(base);
    const auto digest = content_digest(base_bytes);
    const auto change = encode_delta(base, digest, next);
    change_cost cost;
    cost.bytes = static_cast<double>(change.size());
    const double before = cpu_seconds();
    schema::deployment_record decoded;
    decode_deployment(base_bytes, decoded);
    const auto error = apply_delta(decoded, digest, change);
    const auto result = content_digest(encode_deployment(decoded));
    cost.apply_ms = (cpu_seconds() - before) * milliseconds_per_second;
    const bool same = result == content_digest(encode_deployment(next));
    return error || !same ? change_cost{} : cost;
}

double view_ms(std::size_t models, std::size_t servers)
{
    std::shared_ptr<const catalog> built;
    catalog::build(make_deployment({100, models, servers}), built);
    std::map<server_id, ledger_row> rows;
    std::size_t next = 0;
    for (const auto& server : built->servers()) {
        ledger_row row;
        row.server = server.id;
        for (int i = 0; i < 2; ++i)
            row.residents.push_back(
                {built->models()[next++ % models].id, 1, model_mib, 1});
        rows[server.id] = std::move(row);
    }
    const server_reports reports;
    const std::set<server_id> leaving;
    view_builder builder;
    builder.set_catalog(built);
    const double before = cpu_seconds();
    for (int i = 0; i < planning_rounds; ++i) {
        serving_view view;
        builder.fill(view, {rows, reports, leaving}, time_point(duration(1)));
    }
    return (cpu_seconds() - before) * milliseconds_per_second / planning_rounds;
}

double ledger_row_bytes(std::size_t residents)
{
    ledger_row row;
    row.server = server_id("server-1234");
    row.write_id = "entry-123-45/12/345";
    for (std::size_t i = 0; i < residents; ++i)
        row.residents.push_back(
            {model_id("organisation-12/model-123"), 1, model_mib, 123456});
    return static_cast<double>(encode(row).size());
}

double pick_us(std::size_t replicas)
{
    const auto picker = make_replica_picker("power_of_two");
    std::vector<replica_candidate> candidates(replicas);
    for (std::size_t i = 0; i < replicas; ++i)
        candidates[i].server = server_id("s" + std::to_string(i));
    pcg64 random(1);
    std::size_t sum = 0;
    const double before = cpu_seconds();
    for (int i = 0; i < picks; ++i)
        sum += *picker->pick(
            candidates, {random() | 1, random()}, time_point(duration(i)));
    const double took = cpu_seconds() - before;
    return sum == 0 ? 0.0 : took * microseconds_per_second / picks;
}

} // namespace barleyfork
