#include <barleyfork/core/placement_planner.hpp>
#include <barleyfork/testing/property.hpp>

#include <algorithm>
#include <set>

namespace barleyfork::testing {

namespace {

enum class placement_action : int
{
    demand,
    plan,
    finish_orders,
    lose_domain,
    restore_domains,
    new_version,
    remove_model,
};

constexpr std::size_t server_count = 6;
constexpr std::size_t model_count = 8;
constexpr std::uint64_t server_mib = 60;
constexpr std::uint32_t model_mib = 18;

/// Simulates six servers in three failure domains, eight models and orders that
/// take time. Independent of how the planner decides.
class placement_world
{
public:
    placement_world()
    {
        for (std::size_t s = 0; s < server_count; ++s) {
            planner_server server;
            server.id = server_id("s" + std::to_string(s));
            server.failure_domain =
                failure_domain_id("d" + std::to_string(s % 3));
            server.memory_mib = server_mib;
            input_.servers.push_back(server);
        }
        for (std::size_t m = 0; m < model_count; ++m) {
            planner_model model;
            model.id = model_id("o/m" + std::to_string(m));
            model.memory_mib = model_mib;
            input_.models.push_back(model);
        }
    }

    void run(placement_action action, int first, int second)
    {
        const auto m = static_cast<std::size_t>(first) % input_.models.size();
        switch (action) {
        case placement_action::demand:
            input_.models[m].demand = second / 20.0;
            input_.models[m].peak_demand =
                std::max(input_.models[m].peak_demand, input_.models[m].demand);
            break;
        case placement_action::plan:
            plan();
            break;
        case placement_action::finish_orders:
            finish_orders();
            break;
        case placement_action::lose_domain:
            set_domain(static_cast<std::size_t>(first) % 3, false);
            break;
        case placement_action::restore_domains:
            for (std::size_t d = 0; d < 3; ++d)
                set_domain(d, true);
            break;
        case placement_action::new_version:
            ++input_.models[m].version;
            break;
        case placement_action::remove_model:
            if (input_.models.size() > model_count / 2)
                input_.models.erase(input_.models.begin() +
                                    static_cast<std::ptrdiff_t>(m));
            break;
        }
    }

    /// Runs the planner without faults for enough rounds to reach a stable
    /// placement.
    void settle()
    {
        constexpr int rounds = 40;
        for (int i = 0; i < rounds; ++i) {
            plan();
            finish_orders();
        }
    }

    std::size_t ready_replicas(const model_id& model) const
    {
        std::size_t count = 0;
        for (const auto& server : input_.servers)
            for (const auto& replica : server.replicas)
                if (server.usable && replica.ready && replica.model == model)
                    ++count;
        return count;
    }

    std::size_t ready_domains(const model_id& model) const
    {
        std::set<failure_domain_id> domains;
        for (const auto& server : input_.servers)
            for (const auto& replica : server.replicas)
                if (server.usable && replica.ready && replica.model == model)
                    domains.insert(server.failure_domain);
        return domains.size();
    }

    const std::vector<planner_model>& models() const
    {
        return input_.models;
    }

    std::size_t moves() const noexcept
    {
        return moves_;
    }

private:
    void plan()
    {
        for (const auto& step : plan_placement(input_)) {
            auto& server = find(step.server);
            RC_ASSERT(server.usable);
            if (step.kind == order_kind::load) {
                server.committed_mib += step.memory_mib;
                RC_ASSERT(server.committed_mib <= server.memory_mib);
                server.replicas.push_back({step.model,
                                           step.version,
                                           step.memory_mib,
                                           false,
                                           true,
                                           false,
                                           0.0});
            }
            else {
                check_unload(step);
                for (auto& replica : server.replicas)
                    if (replica.model == step.model &&
                        replica.version == step.version) {
                        replica.ready = false;
                        replica.changing = true;
                        replica.unloading = true;
                    }
            }
            ++moves_;
        }
    }

    /// The last ready replica of a declared model is never unloaded.
    void check_unload(const planned_step& step) const
    {
        const bool declared =
            std::any_of(input_.models.begin(),
                        input_.models.end(),
                        [&](const auto& m) { return m.id == step.model; });
        RC_ASSERT(!declared || ready_replicas(step.model) > 1);
    }

    void finish_orders()
    {
        for (auto& server : input_.servers) {
            for (auto& replica : server.replicas)
                if (replica.changing && !replica.unloading) {
                    replica.changing = false;
                    replica.ready = true;
                }
            std::erase_if(server.replicas, [&server](const auto& replica) {
                if (replica.unloading)
                    server.committed_mib -= replica.memory_mib;
                return replica.unloading;
            });
        }
    }

    void set_domain(std::size_t domain, bool usable)
    {
        for (std::size_t s = domain; s < server_count; s += 3)
            input_.servers[s].usable = usable;
    }

    planner_server& find(const server_id& id)
    {
        return *std::find_if(input_.servers.begin(),
                             input_.servers.end(),
                             [&](auto& server) { return server.id == id; });
    }

    planner_input input_;
    std::size_t moves_ = 0;
};

class placement_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_property_test);
    CPPUNIT_TEST(keeps_every_model_reachable);
    CPPUNIT_TEST(replaces_replicas_of_a_lost_domain);
    CPPUNIT_TEST(a_settled_placement_is_stable);
    CPPUNIT_TEST(spreads_over_domains);
    CPPUNIT_TEST_SUITE_END();

    using action = placement_action;

    static constexpr int case_count = 2000;
    static constexpr int max_commands = 80;
    static constexpr weighted_actions<action> actions{
        {8, action::demand},
        {12, action::plan},
        {8, action::finish_orders},
        {1, action::lose_domain},
        {2, action::restore_domains},
        {2, action::new_version},
        {1, action::remove_model}};

public:
    void keeps_every_model_reachable()
    {
        check_property("placement", case_count, [] {
            const auto commands = *gen_commands(actions, max_commands);
            placement_world world;
            for (const auto& step : commands)
                world.run(step.action, step.first, step.second);
            world.run(action::restore_domains, 0, 0);
            world.settle();
            for (const auto& model : world.models())
                RC_ASSERT(world.ready_replicas(model.id) >= 1U);
        });
    }

    /// The four remaining servers have room for 12 replicas, so the 8 models
    /// still fit.
    void replaces_replicas_of_a_lost_domain()
    {
        for (int domain = 0; domain < 3; ++domain) {
            placement_world world;
            world.settle();
            world.run(action::lose_domain, domain, 0);
            world.settle();
            for (const auto& model : world.models())
                CPPUNIT_ASSERT(world.ready_replicas(model.id) >= 1);
        }
    }

    void a_settled_placement_is_stable()
    {
        placement_world world;
        for (int i = 0; i < 8; ++i)
            world.run(action::demand, i, 6);
        world.settle();
        const auto moves = world.moves();
        world.settle();
        CPPUNIT_ASSERT_EQUAL(moves, world.moves());
    }

    void spreads_over_domains()
    {
        placement_world world;
        world.settle();
        for (const auto& model : world.models())
            CPPUNIT_ASSERT(world.ready_domains(model.id) >= 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_property_test);

} // namespace

} // namespace barleyfork::testing
