/// How often a holder looks at its servers when hundreds tell it something.

#include <barleyfork/core/work_pace.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace barleyfork {

namespace {

constexpr time_point start{duration{100000}};

std::size_t looks_in_a_second(std::size_t daemons)
{
    work_pace pace;
    std::size_t looks = 0;
    for (duration at{0}; at < duration{1000}; ++at)
        looks += pace.take(daemons, start + at) ? 1 : 0;
    return looks;
}

} // namespace

class work_pace_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(work_pace_test);
    CPPUNIT_TEST(hundreds_of_daemons_cost_no_more_looks);
    CPPUNIT_TEST(few_daemons_are_heeded_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void hundreds_of_daemons_cost_no_more_looks()
    {
        CPPUNIT_ASSERT(looks_in_a_second(295) <= 20);
    }

    void few_daemons_are_heeded_at_once()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, looks_in_a_second(8));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(work_pace_test);

} // namespace barleyfork
