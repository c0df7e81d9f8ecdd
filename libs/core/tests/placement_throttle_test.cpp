/// Guards against a lease holder that spends all its time on placement passes
/// because hundreds of daemons send messages.

#include <barleyfork/core/placement_throttle.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace barleyfork {

namespace {

constexpr time_point start{duration{100000}};

std::size_t passes_in_a_second(std::size_t daemons)
{
    placement_throttle throttle;
    std::size_t passes = 0;
    for (duration at{0}; at < duration{1000}; ++at)
        passes += throttle.take(daemons, start + at) ? 1 : 0;
    return passes;
}

} // namespace

class placement_throttle_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_throttle_test);
    CPPUNIT_TEST(limits_passes_with_hundreds_of_daemons);
    CPPUNIT_TEST(runs_a_pass_for_each_message_of_few_daemons);
    CPPUNIT_TEST_SUITE_END();

public:
    void limits_passes_with_hundreds_of_daemons()
    {
        CPPUNIT_ASSERT(passes_in_a_second(295) <= 20);
    }

    void runs_a_pass_for_each_message_of_few_daemons()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, passes_in_a_second(8));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_throttle_test);

} // namespace barleyfork
