/// Guards against timers that never run again after one of them has failed.

#include "timer_queue.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <stdexcept>

namespace barleyfork {

class timer_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(timer_queue_test);
    CPPUNIT_TEST(a_timer_that_fails_holds_up_no_other);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_timer_that_fails_holds_up_no_other()
    {
        boost::asio::io_context loop;
        timer_queue timers(loop.get_executor());
        int runs = 0;
        const auto now = steady_now();
        timers.add(now, [] { throw std::runtime_error("failed"); });
        timers.add(now, [&runs] { ++runs; });
        timers.add(now + duration(20), [&runs] { ++runs; });
        constexpr std::chrono::seconds patience(2);
        CPPUNIT_ASSERT_THROW(loop.run_for(patience), std::runtime_error);
        CPPUNIT_ASSERT_EQUAL(0, runs);
        loop.run_for(patience);
        CPPUNIT_ASSERT_EQUAL(2, runs);
        timers.add(steady_now(), [&runs] { ++runs; });
        loop.restart();
        loop.run_for(patience);
        CPPUNIT_ASSERT_EQUAL(3, runs);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(timer_queue_test);

} // namespace barleyfork
