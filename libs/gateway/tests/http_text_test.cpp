/// Guards against numbers in a peer's head that are believed as they stand.

#include "http_text.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace barleyfork {

class http_text_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_text_test);
    CPPUNIT_TEST(an_idle_timeout_is_one_that_a_clock_holds);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_idle_timeout_is_one_that_a_clock_holds()
    {
        CPPUNIT_ASSERT(keep_alive_timeout({{"Keep-Alive", "timeout=7"}}) ==
                       duration{7000});
        for (const char* value : {"timeout=9223372036854775807",
                                  "timeout=9223372036854776",
                                  "timeout=99999999999"})
        {
            const auto timeout = keep_alive_timeout({{"Keep-Alive", value}});
            CPPUNIT_ASSERT_MESSAGE(value, timeout == duration{86400000});
        }
        for (const char* value : {"timeout=-1",
                                  "timeout=x",
                                  "max=5",
                                  "timeout=99999999999999999999"})
            CPPUNIT_ASSERT_MESSAGE(
                value, !keep_alive_timeout({{"Keep-Alive", value}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_text_test);

} // namespace barleyfork
