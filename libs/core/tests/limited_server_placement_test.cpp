/// Placement where a server names a limit on its requests and alone holds a
/// model that is in demand.

#include <barleyfork/core/placement_controller.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace barleyfork {

namespace {

constexpr std::size_t server_count = 4;
constexpr duration tick{250};
constexpr duration run_time{20000};
/// Server-seconds per second, far below what one server can do.
constexpr double demand = 0.1;
constexpr double limited_capacity = 0.02;
const model_id wanted("wanted");
const model_id other("other");
const server_id limited_server("s0");

engine_options make_engine()
{
    engine_options options;
    options.memory_mb = 1000;
    options.loads_per_second = 1.0;
    for (const auto& id : {wanted, other}) {
        engine_model declared;
        declared.id = id;
        declared.memory_mb = 400;
        declared.load_time = duration{2000};
        options.models.push_back(declared);
    }
    return options;
}

/// Only the first server has the wanted model.
std::vector<backend_state> make_servers()
{
    std::vector<backend_state> servers(server_count);
    for (std::size_t s = 0; s < server_count; ++s) {
        auto& entry = servers[s].entry;
        entry.id = server_id("s" + std::to_string(s));
        entry.held.started_ms = 1;
        entry.held.models.push_back({s == 0 ? wanted : other, true, {}});
    }
    return servers;
}

placement_options make_options()
{
    placement_options options;
    options.planner.horizon_seconds = 15.0;
    options.planner.target_utilisation = 0.35;
    return options;
}

/// Returns the servers that were ordered to load the wanted model.
std::vector<server_id> servers_that_load(double capacity_of_first)
{
    const auto servers = make_servers();
    std::vector<const backend_state*> listed;
    for (const auto& server : servers)
        listed.push_back(&server);
    placement_controller controller(
        make_engine(), make_options(), previous_holder{});
    std::vector<server_id> loading;
    const time_point start{duration{100000}};
    for (auto now = start; now < start + run_time; now += tick) {
        controller.observe(listed, now);
        controller.set_capacity(limited_server, capacity_of_first);
        controller.add_demand(
            wanted, demand * static_cast<double>(tick.count()) / 1000.0);
        for (const auto& action : controller.collect(now)) {
            if (action.kind == placement_action::what::report) {
                for (const auto& server : servers)
                    if (server.entry.id == action.server)
                        controller.on_report(
                            action.server, {server.entry.held, 0, false}, now);
                continue;
            }
            if (action.command.kind == order_kind::load &&
                action.command.model == wanted)
                loading.push_back(action.server);
            controller.on_answer(
                action.server, action.command, engine_answer::accepted, now);
        }
    }
    return loading;
}

} // namespace

class limited_server_placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limited_server_placement_test);
    CPPUNIT_TEST(models_of_a_limited_server_are_loaded_elsewhere);
    CPPUNIT_TEST(a_server_without_a_limit_keeps_its_models_alone);
    CPPUNIT_TEST_SUITE_END();

public:
    void models_of_a_limited_server_are_loaded_elsewhere()
    {
        const auto loading = servers_that_load(limited_capacity);
        CPPUNIT_ASSERT(!loading.empty());
        CPPUNIT_ASSERT(loading.front() != limited_server);
    }

    void a_server_without_a_limit_keeps_its_models_alone()
    {
        CPPUNIT_ASSERT(servers_that_load(1.0).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limited_server_placement_test);

} // namespace barleyfork
