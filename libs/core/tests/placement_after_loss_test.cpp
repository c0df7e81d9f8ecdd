/// Planning after a third of the servers has left: the servers that remain hold
/// the last replicas of many models that hardly anyone asks for.

#include <barleyfork/core/placement_planner.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace barleyfork {

namespace {

constexpr std::uint32_t large_mib = 73;
constexpr std::uint32_t small_mib = 43;
constexpr std::uint64_t server_mib = 200;
/// Four rounds a second, and the duration of a load or unload in rounds.
constexpr int rounds_per_second = 4;
constexpr int order_rounds = 6;
constexpr double store_loads_per_second = 8.5;
constexpr double rare_demand = 0.01;

/// Servers and orders that take time. Independent of how the planner decides.
class loss_world
{
public:
    loss_world()
    {
        input_.options.horizon_seconds = 15.0;
        input_.options.unload_seconds = 2.0;
        input_.options.target_utilisation = 0.35;
        input_.options.spread_domains = false;
    }

    void add_model(const std::string& name, std::uint32_t mib, double demand)
    {
        planner_model model;
        model.id = model_id(name);
        model.memory_mib = mib;
        model.demand = demand;
        model.peak_demand = demand;
        model.load_seconds = 1.6;
        input_.models.push_back(model);
    }

    void add_server(const std::vector<std::string>& models)
    {
        planner_server server;
        server.id = server_id("s" + std::to_string(input_.servers.size()));
        server.memory_mib = server_mib;
        for (const auto& name : models) {
            planner_replica replica;
            replica.model = model_id(name);
            replica.version = 1;
            replica.memory_mib = find_model(replica.model).memory_mib;
            replica.ready = true;
            server.committed_mib += replica.memory_mib;
            server.replicas.push_back(replica);
        }
        input_.servers.push_back(server);
        busy_rounds_.push_back(0);
        reserved_.push_back(false);
    }

    /// Plans for the given time. Checks with each step that no model loses its
    /// last ready replica and that memory is not exceeded.
    void run(int seconds)
    {
        for (int i = 0; i < seconds * rounds_per_second; ++i) {
            finish_orders();
            plan();
        }
    }

    /// Work past the capacity of servers, in server-seconds per second.
    double excess_work() const
    {
        double excess = 0.0;
        for (const double load : estimate_load(input_).server_load)
            excess += std::max(load - 1.0, 0.0);
        return excess;
    }

    std::size_t ready_replicas(const model_id& model) const
    {
        std::size_t count = 0;
        for (const auto& server : input_.servers)
            for (const auto& replica : server.replicas)
                count += replica.ready && replica.model == model ? 1 : 0;
        return count;
    }

    const planner_input& input() const
    {
        return input_;
    }

    std::size_t loads() const noexcept
    {
        return loads_;
    }

private:
    const planner_model& find_model(const model_id& id) const
    {
        return *std::find_if(input_.models.begin(),
                             input_.models.end(),
                             [&id](const auto& m) { return m.id == id; });
    }

    /// Ends the orders of each server whose time is over. What was unloaded to
    /// make room frees its memory; a later round plans the load.
    void finish_orders()
    {
        for (std::size_t s = 0; s < input_.servers.size(); ++s) {
            auto& server = input_.servers[s];
            server.accepts_orders = busy_rounds_[s] <= 1;
            if (busy_rounds_[s] == 0 || --busy_rounds_[s] > 0)
                continue;
            std::erase_if(server.replicas, [&server](const auto& replica) {
                if (replica.unloading)
                    server.committed_mib -= replica.memory_mib;
                return replica.unloading;
            });
            if (reserved_[s]) {
                reserved_[s] = false;
                start_load(s);
                continue;
            }
            for (auto& replica : server.replicas) {
                replica.ready = true;
                replica.changing = false;
            }
        }
    }

    void start_load(std::size_t server)
    {
        CPPUNIT_ASSERT(input_.servers[server].committed_mib <= server_mib);
        busy_rounds_[server] = order_rounds;
        store_credit_ -= 1.0;
        ++loads_;
    }

    /// Adds a replica that is to be ready once the server's orders end.
    void add_loading(std::size_t server, const model_id& model)
    {
        const auto& declared = find_model(model);
        auto& target = input_.servers[server];
        target.committed_mib += declared.memory_mib;
        target.replicas.push_back(
            {model, 1, declared.memory_mib, false, true, false, 0.0});
    }

    void plan()
    {
        store_credit_ =
            std::min(store_credit_ + store_loads_per_second / rounds_per_second,
                     store_loads_per_second);
        input_.options.max_loads =
            static_cast<std::uint32_t>(input_.servers.size());
        input_.options.max_store_loads =
            static_cast<std::uint32_t>(store_credit_);
        for (const auto& step : plan_placement(input_))
            apply(step);
    }

    void apply(const planned_step& step)
    {
        const auto found =
            std::find_if(input_.servers.begin(),
                         input_.servers.end(),
                         [&](const auto& s) { return s.id == step.server; });
        const auto index =
            static_cast<std::size_t>(found - input_.servers.begin());
        CPPUNIT_ASSERT(found->accepts_orders);
        if (step.kind == order_kind::load) {
            add_loading(index, step.model);
            start_load(index);
            return;
        }
        busy_rounds_[index] = order_rounds;
        CPPUNIT_ASSERT(ready_replicas(step.model) > 1);
        for (auto& replica : found->replicas)
            if (replica.model == step.model) {
                replica.ready = false;
                replica.changing = true;
                replica.unloading = true;
            }
        if (step.room_for.empty() || reserved_[index])
            return;
        reserved_[index] = true;
        add_loading(index, step.room_for);
    }

    planner_input input_;
    std::vector<int> busy_rounds_;
    /// Whether the server is to load a model once its unloads have ended.
    std::vector<bool> reserved_;
    double store_credit_ = store_loads_per_second;
    std::size_t loads_ = 0;
};

std::string rare(std::size_t index)
{
    return "rare" + std::to_string(index);
}

/// 25 servers serve four wanted models, two each; 12 servers hold two last
/// replicas each and are nearly idle. No server has room for a third large
/// model.
loss_world make_uneven_world(double demand_of_each)
{
    constexpr std::size_t busy_servers = 25;
    constexpr std::size_t idle_servers = 12;
    loss_world world;
    for (std::size_t m = 0; m < 4; ++m)
        world.add_model(
            "wanted" + std::to_string(m), large_mib, demand_of_each);
    for (std::size_t m = 0; m < 2 * idle_servers; ++m)
        world.add_model(rare(m), large_mib, rare_demand);
    for (std::size_t s = 0; s < busy_servers; ++s)
        world.add_server({"wanted" + std::to_string(s % 4),
                          "wanted" + std::to_string((s + 1) % 4)});
    for (std::size_t s = 0; s < idle_servers; ++s)
        world.add_server({rare(2 * s), rare(2 * s + 1)});
    return world;
}

} // namespace

class placement_after_loss_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_after_loss_test);
    CPPUNIT_TEST(idle_servers_take_part_of_the_load);
    CPPUNIT_TEST(a_last_replica_moves_to_free_memory);
    CPPUNIT_TEST(a_settled_placement_stays);
    CPPUNIT_TEST_SUITE_END();

    /// A quarter of a minute, in which callers are to be served again.
    static constexpr int recovery_seconds = 15;

public:
    /// The wanted models have 1.2 times the work that their 25 servers can do,
    /// four fifths of what all 37 can do. What stays beyond the capacity of
    /// servers is worth less than the four moves by which one more takes part.
    void idle_servers_take_part_of_the_load()
    {
        constexpr double moves = 4.0;
        auto world = make_uneven_world(7.5);
        const auto& options = world.input().options;
        const double allowed =
            moves * options.move_price / options.horizon_seconds;
        CPPUNIT_ASSERT(world.excess_work() > allowed);
        world.run(recovery_seconds);
        CPPUNIT_ASSERT_LESSEQUAL(allowed, world.excess_work());
        for (const auto& model : world.input().models)
            CPPUNIT_ASSERT(world.ready_replicas(model.id) >= 1);
    }

    /// One server alone has the wanted model. The other one holds two last
    /// replicas, of which the small one fits beside the wanted model.
    void a_last_replica_moves_to_free_memory()
    {
        constexpr std::uint32_t very_large_mib = 100;
        loss_world world;
        world.add_model("wanted", large_mib, 1.6);
        world.add_model("other", large_mib, rare_demand);
        world.add_model("very_large", very_large_mib, rare_demand);
        world.add_model("small", small_mib, rare_demand);
        world.add_server({"wanted", "other"});
        world.add_server({"very_large", "small"});
        world.run(recovery_seconds);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             world.ready_replicas(model_id("wanted")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             world.ready_replicas(model_id("small")));
    }

    /// Once the load is spread nothing is moved again, though last replicas
    /// still stand on servers with different loads.
    void a_settled_placement_stays()
    {
        auto world = make_uneven_world(5.0);
        world.run(2 * recovery_seconds);
        const auto loads = world.loads();
        world.run(2 * recovery_seconds);
        CPPUNIT_ASSERT_EQUAL(loads, world.loads());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_after_loss_test);

} // namespace barleyfork
