/// Tests which answers of the store are believed.

#include "restorable_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <string>
#include <utility>

namespace barleyfork {

namespace {

namespace asio = boost::asio;

/// What a store answers to each read and each write.
struct store_script
{
    store_read read;
    store_write write;
};

class scripted_store : public row_store
{
public:
    explicit scripted_store(const store_script& script) : script_(script) {}

    asio::awaitable<store_read> read_table(std::string) override
    {
        co_return script_.read;
    }
    asio::awaitable<store_read> read_row(std::string, std::string) override
    {
        co_return script_.read;
    }
    asio::awaitable<store_read>
    read_changes(std::string, store_version, duration) override
    {
        co_return script_.read;
    }
    asio::awaitable<store_write>
    write_row(std::string, std::string, std::string, store_version) override
    {
        co_return script_.write;
    }

private:
    const store_script& script_;
};

/// A daemon's view of the store.
class store_view
{
public:
    void read_at(store_version version)
    {
        script_.read.version = version;
        run(read());
    }

    store_write_outcome write_answered(store_version version)
    {
        script_.write = {store_write_outcome::done, version, 0};
        run(write());
        return outcome_;
    }

private:
    asio::awaitable<void> read()
    {
        co_await store_.read_table("t");
    }

    asio::awaitable<void> write()
    {
        const auto result = co_await store_.write_row("t", "k", "v", {});
        outcome_ = result.end;
    }

    static void run(asio::awaitable<void> work)
    {
        asio::io_context loop;
        asio::co_spawn(loop, std::move(work), asio::detached);
        loop.run();
    }

    store_script script_;
    store_clock clock_;
    restorable_store store_{std::make_unique<scripted_store>(script_),
                            clock_,
                            [](store_version version) {
                                return version.era();
                            }};
    store_write_outcome outcome_ = store_write_outcome::unknown;
};

} // namespace

class restorable_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restorable_store_test);
    CPPUNIT_TEST(an_answer_from_before_a_write_does_not_confirm_it);
    CPPUNIT_TEST(a_write_is_newer_than_all_that_was_read_before);
    CPPUNIT_TEST(versions_start_over_in_a_new_era);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A copy of the answer to an earlier write, on a kept connection.
    void an_answer_from_before_a_write_does_not_confirm_it()
    {
        store_view view;
        CPPUNIT_ASSERT(view.write_answered(7) == store_write_outcome::done);
        CPPUNIT_ASSERT(view.write_answered(7) == store_write_outcome::unknown);
    }

    void a_write_is_newer_than_all_that_was_read_before()
    {
        store_view view;
        view.read_at(9);
        CPPUNIT_ASSERT(view.write_answered(9) == store_write_outcome::unknown);
        CPPUNIT_ASSERT(view.write_answered(10) == store_write_outcome::done);
    }

    void versions_start_over_in_a_new_era()
    {
        store_view view;
        view.read_at({9, 1});
        CPPUNIT_ASSERT(view.write_answered({3, 2}) ==
                       store_write_outcome::done);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restorable_store_test);

} // namespace barleyfork
