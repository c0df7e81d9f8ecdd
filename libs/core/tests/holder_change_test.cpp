/// Guards the handover of orders between holders of the placement lease: a new
/// holder waits no longer than the limits on orders and loads require, and
/// never forgets orders of earlier holders.

#include <barleyfork/core/holder_change.hpp>
#include <barleyfork/core/placement_controller.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace barleyfork {

namespace {

constexpr time_point start{duration{100000}};
constexpr std::uint32_t model_mb = 300;

engine_options make_engine()
{
    engine_options engine;
    engine.memory_mb = 1000;
    engine.max_adapters = 2;
    engine.loads_per_second = 1.0;
    for (const char* name : {"m0", "m1", "m2"}) {
        engine_model model;
        model.id = model_id(name);
        model.memory_mb = model_mb;
        model.load_time = duration{2000};
        model.adapters = 4;
        model.adapter_mb = 10;
        engine.models.push_back(std::move(model));
    }
    return engine;
}

} // namespace

class holder_change_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(holder_change_test);
    CPPUNIT_TEST(servers_without_recent_orders_get_orders_at_once);
    CPPUNIT_TEST(a_server_with_a_recent_order_waits);
    CPPUNIT_TEST(only_reported_loads_count);
    CPPUNIT_TEST(unknown_loads_count_for_one_window_of_the_previous_holder);
    CPPUNIT_TEST(inherited_orders_pass_to_the_holder_after_the_next);
    CPPUNIT_TEST(unknown_orders_are_not_reported_as_none);
    CPPUNIT_TEST(orders_of_earlier_holders_are_kept);
    CPPUNIT_TEST(the_widest_link_wins_then_the_latest_start);
    CPPUNIT_TEST(a_silent_daemon_is_not_chosen);
    CPPUNIT_TEST_SUITE_END();

public:
    void servers_without_recent_orders_get_orders_at_once()
    {
        auto controller = make(reported({}, {}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_orders(controller, start));
    }

    void a_server_with_a_recent_order_waits()
    {
        constexpr duration order_age{1000};
        auto controller =
            make(reported({{server_id("s0"), start - order_age}}, {}));
        const auto gap_end =
            start - order_age + placement_options{}.min_holder_gap;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_orders(controller, start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             count_orders(controller, gap_end - duration{1}));
        const auto next_round = gap_end + placement_options{}.interval;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             count_orders(controller, next_round));
    }

    /// The store may start 5 loads in 5 s; the previous holder started 4.
    void only_reported_loads_count()
    {
        const std::vector<time_point> loads(4, start - duration{1000});
        auto controller = make(reported({}, loads));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_orders(controller, start));
        auto fresh = make(reported({}, {}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_orders(fresh, start));
    }

    void unknown_loads_count_for_one_window_of_the_previous_holder()
    {
        previous_holder previous;
        previous.ended_at = start - placement_options{}.min_holder_gap;
        auto controller = make(previous);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_orders(controller, start));
        const auto window_end =
            previous.ended_at + placement_options{}.load_window;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             count_orders(controller, window_end));
    }

    void inherited_orders_pass_to_the_holder_after_the_next()
    {
        constexpr duration order_age{1000};
        auto controller = make(reported({{server_id("s0"), start - order_age}},
                                        {start - order_age}));
        const auto recent = controller.recent_orders(start);
        CPPUNIT_ASSERT(recent.last_order.at(server_id("s0")) ==
                       start - order_age);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recent.store_loads.size());
        const auto later = start + placement_options{}.load_window;
        CPPUNIT_ASSERT(controller.recent_orders(later).last_order.empty());
        CPPUNIT_ASSERT(controller.recent_orders(later).store_loads.empty());
    }

    /// A holder that releases the lease soon after a predecessor that reported
    /// no orders must not claim that there were none.
    void unknown_orders_are_not_reported_as_none()
    {
        previous_holder previous;
        previous.ended_at = start;
        const order_bounds bounds;
        const auto later = start + bounds.load_window;
        CPPUNIT_ASSERT(
            !orders_to_hand_over(previous, {}, bounds, later - duration{1}));
        CPPUNIT_ASSERT(orders_to_hand_over(previous, {}, bounds, later));
    }

    void orders_of_earlier_holders_are_kept()
    {
        const order_bounds bounds;
        const server_id server("s0");
        const auto previous = reported({{server, start}}, {start});
        const auto soon = start + duration{100};
        const auto handed_over =
            orders_to_hand_over(previous, {}, bounds, soon);
        CPPUNIT_ASSERT(handed_over &&
                       handed_over->last_order.at(server) == start);
        const auto binding = orders_of_earlier_holders(previous, bounds, soon);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, binding.last_order.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, binding.store_loads.size());
        const auto after_gap = start + bounds.min_holder_gap;
        CPPUNIT_ASSERT(orders_of_earlier_holders(previous, bounds, after_gap)
                           .last_order.empty());
    }

    void the_widest_link_wins_then_the_latest_start()
    {
        const std::vector<successor_candidate> daemons{
            {instance_id("a"), 10.0, 9, start},
            {instance_id("b"), 200.0, 1, start},
            {instance_id("c"), 200.0, 2, start}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, *choose_successor(daemons, start));
    }

    void a_silent_daemon_is_not_chosen()
    {
        const std::vector<successor_candidate> daemons{
            {instance_id("a"), 10.0, 9, start - max_successor_silence},
            {instance_id("b"), 10.0, 1, time_point{}}};
        CPPUNIT_ASSERT(!choose_successor(daemons, start));
        CPPUNIT_ASSERT(!choose_successor({}, start));
    }

private:
    static previous_holder reported(std::map<server_id, time_point> last_order,
                                    std::vector<time_point> loads)
    {
        previous_holder previous;
        previous.ended_at = start;
        previous.told = past_orders{std::move(last_order), std::move(loads)};
        return previous;
    }

    /// Two servers where m0 is resident; m1 and m2 are on no server.
    placement_controller make(const previous_holder& previous)
    {
        states_.assign(2, backend_state{});
        placement_controller controller(
            make_engine(), placement_options{}, previous);
        for (std::size_t s = 0; s < states_.size(); ++s) {
            auto& entry = states_[s].entry;
            entry.id = server_id("s" + std::to_string(s));
            entry.held.models = {{model_id("m0"), true, {}}};
        }
        observe(controller, start);
        for (const auto& state : states_)
            controller.on_report(
                state.entry.id, {state.entry.held, 0, false}, start);
        return controller;
    }

    void observe(placement_controller& controller, time_point now)
    {
        std::vector<const backend_state*> views;
        for (const auto& state : states_)
            views.push_back(&state);
        controller.observe(views, now);
    }

    /// Returns the number of orders that the controller sends at that time.
    std::size_t count_orders(placement_controller& controller, time_point now)
    {
        observe(controller, now);
        std::size_t count = 0;
        for (const auto& action : controller.collect(now))
            count += action.kind == placement_action::what::order ? 1 : 0;
        return count;
    }

    std::vector<backend_state> states_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(holder_change_test);

} // namespace barleyfork
