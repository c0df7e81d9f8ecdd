#include "ledger_world.hpp"

#include <barleyfork/testing/property.hpp>

namespace barleyfork::testing {

namespace {

/// Guards against overcommitted accelerator memory after lost, late or
/// duplicated messages, paused daemons and restarts.
class ledger_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ledger_property_test);
    CPPUNIT_TEST(memory_is_never_overcommitted);
    CPPUNIT_TEST(models_load_without_faults);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int cases = 20000;
    static constexpr weighted_actions<world_action> actions{
        {2, world_action::take_lease},
        {24, world_action::request_load},
        {6, world_action::request_unload},
        {16, world_action::progress},
        {2, world_action::collect},
        {3, world_action::faulty_write},
        {2, world_action::delayed_write},
        {12, world_action::send},
        {10, world_action::deliver},
        {4, world_action::deliver_unanswered},
        {2, world_action::lose_order},
        {6, world_action::poll_and_receive_report},
        {6, world_action::poll},
        {4, world_action::receive_report},
        {1, world_action::restart_engine},
        {1, world_action::replace_daemon}};
    static constexpr int max_commands = 400;

public:
    void memory_is_never_overcommitted()
    {
        check_property("memory", cases, [] {
            const auto commands = *gen_commands(actions, max_commands);
            ledger_world world;
            for (const auto& [action, first, second] : commands) {
                world.run(action, first, second);
                RC_ASSERT(world.max_used_mib() <= ledger_world::capacity_mib);
            }
            RC_TAG(world.loads() == 0 ? "no load" : "loads");
        });
    }

    /// Guards against a property that holds trivially: without faults the same
    /// commands load models.
    void models_load_without_faults()
    {
        ledger_world world;
        constexpr int rounds = 6;
        for (int round = 0; round < rounds; ++round) {
            for (int engine = 0; engine < 2; ++engine) {
                world.run(world_action::poll_and_receive_report, 0, engine);
                world.run(world_action::request_load, 2 * round, engine);
            }
            world.run(world_action::progress, 0, 0);
            for (int i = 0; i < 4; ++i)
                world.run(world_action::send, 0, 0);
            for (int i = 0; i < 4; ++i)
                world.run(world_action::deliver, 0, 0);
        }
        CPPUNIT_ASSERT(world.loads() >= 4);
        CPPUNIT_ASSERT(world.max_used_mib() <= ledger_world::capacity_mib);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ledger_property_test);

} // namespace

} // namespace barleyfork::testing
