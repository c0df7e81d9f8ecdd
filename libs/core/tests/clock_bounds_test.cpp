/// What was known at a time of the store is never taken for younger, however
/// long the messages that tell it take.

#include <barleyfork/core/clock_bounds.hpp>

#include <barleyfork/testing/property.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace barleyfork {

namespace {

constexpr int cases = 500;

/// A machine whose clock has a difference to the store's of its own, and runs
/// faster or slower by up to one part in 10,000.
struct machine
{
    std::int64_t difference =
        *rc::gen::inRange<std::int64_t>(-1000000, 1000000);
    std::int64_t drift = *rc::gen::inRange<std::int64_t>(-1, 2);
    clock_bounds bounds;

    time_point local(std::int64_t store_ms) const
    {
        constexpr std::int64_t drift_part = 10000;
        return time_point(
            duration(store_ms + difference + drift * store_ms / drift_part));
    }

    /// A call whose two ways take up to `longest` each.
    void call(std::int64_t store_ms, std::int64_t longest)
    {
        const auto there = *rc::gen::inRange<std::int64_t>(0, longest);
        const auto back = *rc::gen::inRange<std::int64_t>(0, longest);
        bounds.observe(
            store_ms, local(store_ms - there), local(store_ms + back));
    }
};

} // namespace

class clock_bounds_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(clock_bounds_test);
    CPPUNIT_TEST(nothing_is_known_before_the_first_response);
    CPPUNIT_TEST(a_message_makes_no_knowledge_younger);
    CPPUNIT_TEST(a_clock_that_was_set_anew_is_noticed);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothing_is_known_before_the_first_response()
    {
        const clock_bounds bounds;
        CPPUNIT_ASSERT(!bounds.time_before(5));
        CPPUNIT_ASSERT(!bounds.reading_reached_at(time_point()));
    }

    /// Knowledge of a time passes from machine to machine, held up anywhere.
    void a_message_makes_no_knowledge_younger()
    {
        testing::check_property("held_up_messages", cases, [] {
            constexpr std::int64_t longest = 3000;
            std::int64_t now = 100000;
            const auto known = now;
            std::vector<machine> machines(3);
            for (auto& each : machines)
                for (int i = *rc::gen::inRange(1, 6); i > 0; --i)
                    each.call(now +=
                              *rc::gen::inRange<std::int64_t>(0, longest),
                              longest);
            // What the first one read, it read at `known` or earlier.
            auto at = machines.front().local(known);
            for (std::size_t i = 0; i + 1 < machines.size(); ++i) {
                const auto told = machines[i].bounds.reading_reached_at(at);
                RC_ASSERT(told && *told <= known);
                now += *rc::gen::inRange<std::int64_t>(0, 20 * longest);
                const auto heard = machines[i + 1].bounds.time_before(*told);
                RC_ASSERT(heard && *heard <= machines[i + 1].local(known));
                at = *heard;
            }
        });
    }

    void a_clock_that_was_set_anew_is_noticed()
    {
        clock_bounds bounds;
        const auto at = [](std::int64_t ms) {
            return time_point(duration(ms));
        };
        bounds.observe(900000, at(1000), at(1010));
        bounds.observe(70, at(2000), at(2010));
        CPPUNIT_ASSERT(bounds.time_before(70) <= at(2000));
        CPPUNIT_ASSERT(bounds.time_before(70) >= at(1990));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(clock_bounds_test);

} // namespace barleyfork
