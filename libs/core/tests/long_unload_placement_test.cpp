/// Placement where running requests delay the unload that makes room, as they
/// do on saturated servers.

#include <barleyfork/core/placement_controller.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <string>
#include <vector>

namespace barleyfork {

namespace {

constexpr duration tick{250};
constexpr duration load_duration{1600};
const model_id wanted("wanted");
const model_id yielding("yielding");
const time_point start{duration{100000}};

engine_options make_engine()
{
    engine_options options;
    options.memory_mb = 1000;
    options.loads_per_second = 4.0;
    for (const auto& id : {wanted, yielding}) {
        engine_model declared;
        declared.id = id;
        declared.memory_mb = 600;
        declared.load_time = load_duration;
        options.models.push_back(declared);
    }
    return options;
}

placement_options make_options()
{
    placement_options options;
    options.planner.horizon_seconds = 15.0;
    options.planner.unload_seconds = 2.0;
    options.planner.target_utilisation = 0.35;
    options.planner.spread_domains = false;
    return options;
}

/// One server with the wanted model and eight that hold another one, whose
/// unload takes the given time.
class long_unload_world
{
public:
    explicit long_unload_world(duration unload_duration)
        : unload_duration_(unload_duration),
          controller_(make_engine(), make_options(), previous_holder{})
    {
        constexpr std::size_t server_count = 9;
        servers_.resize(server_count);
        for (std::size_t s = 0; s < server_count; ++s) {
            auto& entry = servers_[s].entry;
            entry.id = server_id("s" + std::to_string(s));
            entry.held.started_ms = 1;
            entry.held.models.push_back({s == 0 ? wanted : yielding, true, {}});
        }
    }

    void run(duration time)
    {
        for (auto now = start; now < start + time; now += tick)
            step(now);
    }

    std::size_t unloads() const noexcept
    {
        return unloads_;
    }

    std::size_t loads() const noexcept
    {
        return loads_;
    }

private:
    struct running_order
    {
        engine_command command;
        time_point ends_at{};
    };

    void step(time_point now)
    {
        std::vector<const backend_state*> listed;
        for (auto& server : servers_) {
            finish_order(server, now);
            listed.push_back(&server);
        }
        controller_.observe(listed, now);
        const double seconds = static_cast<double>(tick.count()) / 1000.0;
        controller_.add_demand(wanted, 1.9 * seconds);
        controller_.add_demand(yielding, 0.1 * seconds);
        for (const auto& action : controller_.collect(now))
            execute(action, now);
    }

    void execute(const placement_action& action, time_point now)
    {
        if (action.kind == placement_action::what::report) {
            for (const auto& server : servers_)
                if (server.entry.id == action.server)
                    controller_.on_report(action.server,
                                          {server.entry.held,
                                           sequences_[action.server],
                                           running_.contains(action.server)},
                                          now);
            return;
        }
        const bool is_load = action.command.kind == order_kind::load;
        CPPUNIT_ASSERT(!running_.contains(action.server));
        running_[action.server] = {
            action.command, now + (is_load ? load_duration : unload_duration_)};
        ++sequences_[action.server];
        ++(is_load ? loads_ : unloads_);
        controller_.on_answer(
            action.server, action.command, engine_answer::accepted, now);
    }

    void finish_order(backend_state& server, time_point now)
    {
        const auto found = running_.find(server.entry.id);
        if (found == running_.end() || now < found->second.ends_at)
            return;
        const auto& command = found->second.command;
        auto& models = server.entry.held.models;
        if (command.kind == order_kind::load)
            models.push_back({command.model, true, {}});
        else
            std::erase_if(models, [&command](const auto& held) {
                return held.model == command.model;
            });
        running_.erase(found);
    }

    duration unload_duration_;
    placement_controller controller_;
    std::vector<backend_state> servers_;
    std::map<server_id, running_order> running_;
    std::map<server_id, std::uint64_t> sequences_;
    std::size_t unloads_ = 0;
    std::size_t loads_ = 0;
};

} // namespace

class long_unload_placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(long_unload_placement_test);
    CPPUNIT_TEST(each_long_unload_is_followed_by_its_load);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration under_load{6000};
    static constexpr duration run_time{16000};

public:
    /// Each unload is followed by the load that it made room for.
    void each_long_unload_is_followed_by_its_load()
    {
        long_unload_world world(under_load);
        world.run(run_time);
        CPPUNIT_ASSERT(world.unloads() > 0);
        CPPUNIT_ASSERT_EQUAL(world.unloads(), world.loads());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(long_unload_placement_test);

} // namespace barleyfork
