/// Planning when every server has more work than its target, with load patterns
/// from simulated days.

#include <barleyfork/core/placement_planner.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace barleyfork {

namespace {

constexpr std::uint32_t model_mib = 25;
constexpr std::uint64_t server_mib = 80;

planner_model make_model(const std::string& name, double demand)
{
    planner_model model;
    model.id = model_id(name);
    model.memory_mib = model_mib;
    model.demand = demand;
    model.peak_demand = demand;
    model.load_seconds = 3.0;
    return model;
}

/// Returns a server where exactly the given models are resident.
planner_server make_server(std::size_t index,
                           const std::vector<std::string>& models)
{
    planner_server server;
    server.id = server_id("s" + std::to_string(index));
    server.memory_mib = server_mib;
    for (const auto& model : models) {
        planner_replica replica;
        replica.model = model_id(model);
        replica.version = 1;
        replica.memory_mib = model_mib;
        replica.ready = true;
        server.replicas.push_back(replica);
        server.committed_mib += model_mib;
    }
    return server;
}

planner_options make_options()
{
    planner_options options;
    options.move_price = 1.0;
    options.horizon_seconds = 15.0;
    options.unload_seconds = 2.0;
    options.target_utilisation = 0.35;
    options.max_loads = 18;
    options.max_store_loads = 8;
    options.spread_domains = false;
    return options;
}

bool has_step_for(const std::vector<planned_step>& steps, const char* model)
{
    return std::any_of(steps.begin(), steps.end(), [model](const auto& step) {
        const auto& target_model =
            step.kind == order_kind::load ? step.model : step.room_for;
        return target_model == model_id(model);
    });
}

} // namespace

class placement_overload_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_overload_test);
    CPPUNIT_TEST(a_saturated_model_gets_servers_of_a_busy_model);
    CPPUNIT_TEST(equally_busy_servers_get_no_moves);
    CPPUNIT_TEST(a_server_that_accepts_no_orders_is_skipped);
    CPPUNIT_TEST(large_deployments_use_the_store_rate);
    CPPUNIT_TEST(no_more_room_is_made_than_needed);
    CPPUNIT_TEST_SUITE_END();

public:
    /// One model has about twice the work that its two servers can do. All
    /// other servers are past their target, but far below their capacity.
    void a_saturated_model_gets_servers_of_a_busy_model()
    {
        planner_input input;
        input.options = make_options();
        input.models = {make_model("busy", 8.0),
                        make_model("quiet", 0.05),
                        make_model("saturated", 3.8)};
        for (std::size_t s = 0; s < 14; ++s)
            input.servers.push_back(make_server(s, {"busy", "quiet"}));
        for (std::size_t s = 14; s < 16; ++s)
            input.servers.push_back(make_server(s, {"saturated", "quiet"}));
        for (auto& server : input.servers)
            server.committed_mib = server.memory_mib;
        CPPUNIT_ASSERT(has_step_for(plan_placement(input), "saturated"));
    }

    /// If all servers exceed their target equally, moves have a cost but no
    /// gain.
    void equally_busy_servers_get_no_moves()
    {
        planner_input input;
        input.options = make_options();
        input.models = {make_model("a", 4.0), make_model("b", 4.0)};
        for (std::size_t s = 0; s < 8; ++s)
            input.servers.push_back(make_server(s, {s % 2 == 0 ? "a" : "b"}));
        for (auto& server : input.servers)
            server.committed_mib = server.memory_mib;
        CPPUNIT_ASSERT(plan_placement(input).empty());
    }

    /// Demand shifts to 50 models with one replica each. The weight store
    /// allows 40 loads per second and three rounds run per second, so a round
    /// must start at least four fifths of 13 loads.
    void large_deployments_use_the_store_rate()
    {
        constexpr std::size_t min_steps = 11;
        planner_input input;
        input.options = make_options();
        input.options.max_loads = 256;
        input.options.max_store_loads = 200;
        for (std::size_t m = 0; m < 350; ++m)
            input.models.push_back(
                make_model("m" + std::to_string(m), m < 50 ? 2.0 : 0.0));
        for (std::size_t s = 0; s < 256; ++s) {
            input.servers.push_back(
                make_server(s,
                            {"m" + std::to_string(s % 350),
                             "m" + std::to_string((s + 94) % 350)}));
            input.servers.back().committed_mib = server_mib - model_mib;
        }
        CPPUNIT_ASSERT(plan_placement(input).size() >= min_steps);
    }

    /// One more server brings the wanted model's work below the target, though
    /// many servers could make room for it.
    void no_more_room_is_made_than_needed()
    {
        planner_input input;
        input.options = make_options();
        input.models = {make_model("wanted", 0.6), make_model("other", 0.1)};
        input.servers.push_back(make_server(0, {"wanted"}));
        for (std::size_t s = 1; s < 11; ++s)
            input.servers.push_back(make_server(s, {"other"}));
        for (auto& server : input.servers)
            server.committed_mib = server.memory_mib;
        const auto steps = plan_placement(input);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, steps.size());
        CPPUNIT_ASSERT_EQUAL(std::string("wanted"),
                             steps.front().room_for.value());
    }

    /// The least loaded server accepts no orders, since another holder sent it
    /// one a short time ago.
    void a_server_that_accepts_no_orders_is_skipped()
    {
        planner_input input;
        input.options = make_options();
        input.models = {make_model("a", 0.2), make_model("lost", 0.1)};
        for (std::size_t s = 0; s < 2; ++s)
            input.servers.push_back(make_server(s, {}));
        input.servers[1].replicas = make_server(1, {"a"}).replicas;
        input.servers[0].accepts_orders = false;
        const auto steps = plan_placement(input);
        CPPUNIT_ASSERT(has_step_for(steps, "lost"));
        for (const auto& step : steps)
            CPPUNIT_ASSERT(step.server == server_id("s1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_overload_test);

} // namespace barleyfork
