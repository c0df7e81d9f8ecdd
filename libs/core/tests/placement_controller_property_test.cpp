/// Orders of the placement controller against an engine that crashes where
/// it is ordered to hold more than it has room for. Orders and answers are
/// lost and come late; the list lags.

#include <barleyfork/core/placement_controller.hpp>
#include <barleyfork/testing/property.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <optional>
#include <set>

namespace barleyfork {

namespace {

using testing::check_property;
using testing::command;
using testing::gen_commands;

constexpr std::uint32_t memory_mb = 1000;
constexpr std::uint32_t model_mb = 300;
constexpr std::size_t most_adapters = 2;
constexpr int model_count = 5;
constexpr int server_count = 2;

std::string model_name(int index)
{
    return "m" + std::to_string(index % model_count);
}

server_id server_name(int index)
{
    return server_id("s" + std::to_string(index % server_count));
}

/// An engine that carries out orders in its own sequence.
struct fake_engine
{
    std::uint64_t started_ms = 1;
    std::uint64_t sequence = 0;
    std::map<std::string, std::set<std::string>> models;
    std::optional<engine_command> running;
    /// Adapters that requests still use; their unload waits.
    std::set<std::string> in_use;
    std::vector<engine_command> late;
    bool crashed = false;

    void check_room()
    {
        std::size_t adapters = 0;
        for (const auto& [model, held] : models)
            adapters += held.size();
        auto memory = models.size() * model_mb;
        if (running && running->kind == order_kind::load &&
            !models.contains(running->model.value()))
            memory += model_mb;
        crashed = crashed || memory > memory_mb || adapters > most_adapters;
    }

    engine_answer take(const engine_command& order)
    {
        if (order.expected_sequence != sequence)
            return engine_answer::busy;
        const auto model = order.model.value();
        if (order.adapter.empty()) {
            if (running)
                return engine_answer::busy;
            ++sequence;
            running = order;
            check_room();
            return engine_answer::accepted;
        }
        if (!models.contains(model))
            return engine_answer::invalid;
        ++sequence;
        if (order.kind == order_kind::load) {
            models[model].insert(order.adapter);
            check_room();
            return engine_answer::accepted;
        }
        if (in_use.contains(order.adapter))
            return engine_answer::accepted;
        models[model].erase(order.adapter);
        return engine_answer::holds;
    }

    void finish_running()
    {
        if (!running)
            return;
        if (running->kind == order_kind::load)
            models.try_emplace(running->model.value());
        else
            models.erase(running->model.value());
        running.reset();
    }

    held_state held() const
    {
        held_state state;
        state.started_ms = started_ms;
        for (const auto& [model, adapters] : models)
            state.models.push_back(
                {model_id(model), true, {adapters.begin(), adapters.end()}});
        return state;
    }
};

enum class act
{
    tick,
    tick_losing_answers,
    tick_losing_orders,
    finish,
    ask_model,
    ask_adapter,
    use_adapters,
    release_adapters,
    run_late_order,
    refresh_list,
    restart,
};

engine_options make_engine()
{
    engine_options engine;
    engine.memory_mb = memory_mb;
    engine.max_adapters = most_adapters;
    engine.loads_per_second = 50.0;
    for (int m = 0; m < model_count; ++m) {
        engine_model model;
        model.id = model_id(model_name(m));
        model.memory_mb = model_mb;
        model.load_time = duration{500};
        model.adapters = 4;
        model.adapter_mb = 10;
        engine.models.push_back(std::move(model));
    }
    return engine;
}

class controller_world
{
public:
    controller_world()
        : controller_(make_engine(), placement_options{}, previous_holder{})
    {
        for (int s = 0; s < server_count; ++s) {
            auto& engine = engines_[server_name(s)];
            engine.models[model_name(s)];
            listed_[server_name(s)] = engine.held();
        }
    }

    void apply(const command<act>& step)
    {
        constexpr duration pause{200};
        now_ += pause;
        auto& engine = engines_[server_name(step.second)];
        const model_id model(model_name(step.first));
        const std::string adapter = "a" + std::to_string(step.first % 4);
        switch (step.action) {
        case act::tick:
            tick(false, false);
            break;
        case act::tick_losing_answers:
            tick(true, false);
            break;
        case act::tick_losing_orders:
            tick(true, true);
            break;
        case act::finish:
            engine.finish_running();
            break;
        case act::ask_model:
            controller_.add_demand(model, 2.0);
            break;
        case act::ask_adapter:
            controller_.need_adapter(model, adapter, now_);
            break;
        case act::use_adapters:
            engine.in_use = {"a0", "a1", "a2", "a3"};
            break;
        case act::release_adapters:
            release(engine);
            break;
        case act::run_late_order:
            run_late(engine);
            break;
        case act::refresh_list:
            for (const auto& [id, known] : engines_)
                listed_[id] = known.held();
            break;
        case act::restart:
            restart(engine);
            break;
        }
        for (const auto& [id, known] : engines_)
            RC_ASSERT(!known.crashed);
    }

    /// A caller's request for an adapter: it runs where the adapter is held,
    /// else it asks for the adapter.
    void call(const std::string& model,
              const std::string& adapter,
              std::set<std::string>& served)
    {
        for (const auto& [id, engine] : engines_) {
            const auto shown = controller_.published(id, now_);
            const auto* held = shown ? shown->find(model_id(model)) : nullptr;
            if (held == nullptr || !held->has_adapter(adapter))
                continue;
            controller_.used_adapter(model_id(model), adapter, now_);
            served.insert(adapter);
            return;
        }
        controller_.need_adapter(model_id(model), adapter, now_);
    }

private:
    void restart(fake_engine& engine)
    {
        const auto late = engine.late;
        const auto started = engine.started_ms + 1;
        engine = fake_engine();
        engine.started_ms = started;
        // Orders name the process that they are meant for.
        engine.late.clear();
    }

    void release(fake_engine& engine)
    {
        engine.in_use.clear();
    }

    void run_late(fake_engine& engine)
    {
        if (engine.late.empty())
            return;
        const auto order = engine.late.front();
        engine.late.erase(engine.late.begin());
        engine.take(order);
    }

    void tick(bool lose, bool delay)
    {
        std::vector<backend_state> states;
        for (const auto& [id, held] : listed_) {
            backend_state state;
            state.entry.id = id;
            state.entry.failure_domain = failure_domain_id(id.value());
            state.entry.held = held;
            states.push_back(std::move(state));
        }
        std::vector<const backend_state*> views;
        for (const auto& state : states)
            views.push_back(&state);
        controller_.observe(views, now_);
        for (const auto& action : controller_.collect(now_))
            carry_out(action, lose, delay);
    }

    void carry_out(const placement_action& action, bool lose, bool delay)
    {
        auto& engine = engines_[action.server];
        if (action.kind == placement_action::what::report) {
            const engine_word word{
                engine.held(), engine.sequence, engine.running.has_value()};
            if (!lose)
                controller_.on_report(action.server, word, now_);
            return;
        }
        auto answer = engine_answer::unknown;
        if (delay)
            engine.late.push_back(action.command);
        else
            answer = engine.take(action.command);
        controller_.on_answer(action.server,
                              action.command,
                              lose ? engine_answer::unknown : answer,
                              now_);
    }

    time_point now_{duration{100000}};
    std::map<server_id, fake_engine> engines_;
    std::map<server_id, held_state> listed_;
    placement_controller controller_;
};

} // namespace

class placement_controller_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_controller_property_test);
    CPPUNIT_TEST(engines_are_never_overfilled);
    CPPUNIT_TEST(an_adapter_in_use_keeps_its_place);
    CPPUNIT_TEST(no_adapter_is_kept_out_for_good);
    CPPUNIT_TEST(an_adapter_is_ordered_once);
    CPPUNIT_TEST(a_server_that_differs_from_the_list_is_asked);
    CPPUNIT_TEST_SUITE_END();

public:
    void engines_are_never_overfilled()
    {
        check_property("engines are never overfilled", 600, [] {
            constexpr int longest = 120;
            const auto steps =
                *gen_commands<act>({{20, act::tick},
                                    {3, act::tick_losing_answers},
                                    {3, act::tick_losing_orders},
                                    {10, act::finish},
                                    {8, act::ask_model},
                                    {10, act::ask_adapter},
                                    {2, act::use_adapters},
                                    {2, act::release_adapters},
                                    {4, act::run_late_order},
                                    {6, act::refresh_list},
                                    {1, act::restart}},
                                   longest);
            controller_world world;
            for (const auto& step : steps)
                world.apply(step);
        });
    }

    /// The unload of an adapter that requests use is accepted and waits; its
    /// place must not be given away before the engine says that it is gone.
    void an_adapter_in_use_keeps_its_place()
    {
        controller_world world;
        const auto run = [&world](act action, int first) {
            world.apply({action, first, 0});
        };
        run(act::tick, 0);
        run(act::tick, 0);
        run(act::use_adapters, 0);
        for (int adapter = 0; adapter < 4; ++adapter) {
            run(act::ask_adapter, adapter * model_count);
            for (int i = 0; i < 8; ++i)
                run(act::tick, 0);
        }
    }

    /// Callers ask for more adapters than there are places, all the time: each
    /// one gets its turn, whatever its name and however busy the others are.
    void no_adapter_is_kept_out_for_good()
    {
        controller_world world;
        constexpr int rounds = 60;
        std::set<std::string> all;
        for (int i = 0; i < 3 * server_count * int{most_adapters}; ++i)
            all.insert("a" + std::to_string(i));
        std::set<std::string> served;
        for (int i = 0; i < rounds; ++i) {
            for (const auto& adapter : all)
                world.call("m0", adapter, served);
            for (int server = 0; server < server_count; ++server)
                world.apply({act::finish, 0, server});
            world.apply({act::tick, 0, 0});
        }
        CPPUNIT_ASSERT(served == all);
    }

    void a_server_that_differs_from_the_list_is_asked()
    {
        const time_point start{duration{100000}};
        placement_controller controller(
            make_engine(), placement_options{}, previous_holder{});
        backend_state state;
        state.entry.id = server_id("s0");
        const backend_state* view = &state;
        controller.observe({&view, 1}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports(controller, start));
        controller.on_report(server_id("s0"), {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reports(controller, start));
        state.entry.held.models.push_back({model_id("m1"), true, {}});
        const auto later = start + placement_options{}.list_lag;
        controller.observe({&view, 1}, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports(controller, later));
    }

    /// Callers ask again before the first order's answer is there.
    void an_adapter_is_ordered_once()
    {
        const time_point start{duration{100000}};
        // Nothing but m0, so that no model order is under way.
        auto engine = make_engine();
        engine.models.resize(1);
        placement_controller controller(
            engine, placement_options{}, previous_holder{});
        std::vector<backend_state> states(server_count);
        std::vector<const backend_state*> views;
        for (int s = 0; s < server_count; ++s) {
            auto& state = states[static_cast<std::size_t>(s)];
            state.entry.id = server_name(s);
            state.entry.held.models.push_back({model_id("m0"), true, {}});
            views.push_back(&state);
        }
        controller.observe(views, start);
        for (const auto& state : states)
            controller.on_report(
                state.entry.id, {state.entry.held, 0, false}, start);
        std::size_t orders = 0;
        for (int i = 0; i < 2; ++i) {
            controller.need_adapter(model_id("m0"), "a1", start);
            for (const auto& action : controller.collect(start))
                orders += action.command.adapter == "a1" ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders);
    }

private:
    static std::size_t reports(placement_controller& controller, time_point now)
    {
        std::size_t count = 0;
        for (const auto& action : controller.collect(now))
            count += action.kind == placement_action::what::report ? 1 : 0;
        return count;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_controller_property_test);

} // namespace barleyfork
