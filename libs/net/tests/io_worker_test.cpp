/// Guards against an exception that ends a process, or a duty of it for good.

#include <barleyfork/net/io_worker.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <new>
#include <stdexcept>

namespace barleyfork {

namespace {

constexpr std::size_t capacity = 16;
constexpr std::chrono::seconds patience(5);

bool has_come(std::promise<void>& event)
{
    return event.get_future().wait_for(patience) == std::future_status::ready;
}

} // namespace

class io_worker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(io_worker_test);
    CPPUNIT_TEST(a_handler_that_fails_ends_no_worker);
    CPPUNIT_TEST(a_task_that_fails_holds_up_no_other);
    CPPUNIT_TEST(a_duty_that_fails_starts_again);
    CPPUNIT_TEST(a_duty_that_ends_does_not_start_again);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_handler_that_fails_ends_no_worker()
    {
        io_worker worker("test", capacity);
        std::promise<void> ran;
        boost::asio::post(worker.executor(), [] { throw std::bad_alloc(); });
        boost::asio::post(worker.executor(), [&ran] { ran.set_value(); });
        worker.start();
        CPPUNIT_ASSERT(has_come(ran));
        worker.stop();
    }

    void a_task_that_fails_holds_up_no_other()
    {
        io_worker worker("test", capacity);
        std::promise<void> ran;
        worker.try_post([] { throw std::runtime_error("failed"); });
        worker.try_post([&ran] { ran.set_value(); });
        worker.start();
        CPPUNIT_ASSERT(has_come(ran));
        worker.stop();
    }

    void a_duty_that_fails_starts_again()
    {
        io_worker worker("test", capacity);
        std::promise<void> ran;
        int starts = 0;
        worker.spawn_duty([&]() -> boost::asio::awaitable<void> {
            if (++starts < 3)
                throw std::runtime_error("failed");
            ran.set_value();
            co_return;
        });
        worker.start();
        CPPUNIT_ASSERT(has_come(ran));
        worker.stop();
    }

    void a_duty_that_ends_does_not_start_again()
    {
        io_worker worker("test", capacity);
        std::promise<void> passed;
        int starts = 0;
        worker.spawn_duty([&]() -> boost::asio::awaitable<void> {
            ++starts;
            co_return;
        });
        // The coroutine refers to it.
        const auto wait = [&passed]() -> boost::asio::awaitable<void> {
            constexpr std::int64_t longer_than_a_pause_ms = 500;
            co_await sleep_for_ms(longer_than_a_pause_ms);
            passed.set_value();
        };
        worker.spawn(wait());
        worker.start();
        CPPUNIT_ASSERT(has_come(passed));
        worker.stop();
        CPPUNIT_ASSERT_EQUAL(1, starts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(io_worker_test);

} // namespace barleyfork
