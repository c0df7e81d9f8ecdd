/// When a reader of the configuration asks others for it.

#include <barleyfork/core/version_catchup.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace barleyfork {

namespace {

constexpr time_point start{duration{100000}};
constexpr duration moment{10};

} // namespace

class version_catchup_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(version_catchup_test);
    CPPUNIT_TEST(a_version_that_stays_unknown_is_asked_for);
    CPPUNIT_TEST(a_version_that_comes_in_time_is_not);
    CPPUNIT_TEST(it_is_asked_for_again_after_a_while);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_version_that_stays_unknown_is_asked_for()
    {
        version_catchup catchup;
        CPPUNIT_ASSERT(!catchup.hear(11, 8, start));
        CPPUNIT_ASSERT(!catchup.hear(11, 8, start + moment));
        CPPUNIT_ASSERT(catchup.hear(11, 8, start + version_catchup::patience));
    }

    void a_version_that_comes_in_time_is_not()
    {
        version_catchup catchup;
        catchup.hear(11, 8, start);
        CPPUNIT_ASSERT(
            !catchup.hear(11, 11, start + version_catchup::patience));
        // The next version has its own patience.
        CPPUNIT_ASSERT(
            !catchup.hear(12, 11, start + version_catchup::patience));
    }

    void it_is_asked_for_again_after_a_while()
    {
        version_catchup catchup;
        const auto asked = start + version_catchup::patience;
        catchup.hear(11, 8, start);
        CPPUNIT_ASSERT(catchup.hear(11, 8, asked));
        CPPUNIT_ASSERT(!catchup.hear(11, 8, asked + moment));
        CPPUNIT_ASSERT(catchup.hear(11, 8, asked + version_catchup::patience));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_catchup_test);

} // namespace barleyfork
