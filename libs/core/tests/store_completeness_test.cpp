/// Guards against a process that takes what a restored store holds for
/// everything that the store ever acknowledged.

#include <barleyfork/core/store_completeness.hpp>

#include <barleyfork/testing/property.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <vector>

namespace barleyfork {

namespace {

constexpr int cases = 500;
constexpr time_point start{duration{100000}};
constexpr duration rewrite_time{2500};
constexpr duration tick{1};

void respond(store_completeness& store, std::uint64_t era, time_point now)
{
    store.observe(era, now);
    store.on_served(era, now);
}

} // namespace

class store_completeness_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_completeness_test);
    CPPUNIT_TEST(a_store_without_eras_is_complete);
    CPPUNIT_TEST(a_first_start_finds_the_store_complete);
    CPPUNIT_TEST(a_later_start_waits_for_what_may_be_written_again);
    CPPUNIT_TEST(a_record_of_the_same_era_ends_the_wait);
    CPPUNIT_TEST(calls_from_before_the_end_of_the_wait_prove_nothing);
    CPPUNIT_TEST(an_era_that_appears_later_is_that_of_a_restore);
    CPPUNIT_TEST(nothing_is_written_again_before_the_store_serves);
    CPPUNIT_TEST(a_complete_read_lacks_nothing_acknowledged);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_store_without_eras_is_complete()
    {
        store_completeness store(false);
        store.observe(0, start);
        CPPUNIT_ASSERT(store.is_complete(start, rewrite_time));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             store.complete_era(start, rewrite_time));
    }

    void a_first_start_finds_the_store_complete()
    {
        store_completeness store(true);
        store.observe(7, start);
        CPPUNIT_ASSERT(store.is_complete(start, rewrite_time));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                             store.complete_era(start, rewrite_time));
        // A restore later in the same process is none of that.
        store.observe(8, start + tick);
        CPPUNIT_ASSERT(!store.is_complete(start + tick, rewrite_time));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                             store.complete_era(start + tick, rewrite_time));
    }

    void a_later_start_waits_for_what_may_be_written_again()
    {
        store_completeness store(false);
        respond(store, 7, start);
        respond(store, 7, start + rewrite_time - tick);
        store.observe(6, start + rewrite_time - tick);
        CPPUNIT_ASSERT(
            !store.is_complete(start + rewrite_time - tick, rewrite_time));
        CPPUNIT_ASSERT(store.is_complete(start + rewrite_time, rewrite_time));
    }

    void a_record_of_the_same_era_ends_the_wait()
    {
        store_completeness store(false);
        store.observe(7, start);
        CPPUNIT_ASSERT(!store.on_recorded(6));
        CPPUNIT_ASSERT(!store.is_complete(start, rewrite_time));
        CPPUNIT_ASSERT(store.on_recorded(7));
        CPPUNIT_ASSERT(!store.on_recorded(7));
        CPPUNIT_ASSERT(store.is_complete(start, rewrite_time));
        store.observe(8, start + tick);
        CPPUNIT_ASSERT(!store.on_recorded(7));
        CPPUNIT_ASSERT(!store.is_complete(start + tick, rewrite_time));
    }

    void calls_from_before_the_end_of_the_wait_prove_nothing()
    {
        store_completeness store(true);
        store.observe(7, start);
        store.observe(8, start + tick);
        store.on_served(8, start + tick);
        CPPUNIT_ASSERT(!store.is_complete(start, rewrite_time));
        CPPUNIT_ASSERT(
            store.is_complete(start + tick + rewrite_time, rewrite_time));
    }

    /// Guards against a restore that passes for the first start, where the
    /// store names no era before it.
    void an_era_that_appears_later_is_that_of_a_restore()
    {
        for (const bool is_first_start : {false, true}) {
            store_completeness store(is_first_start);
            respond(store, 0, start);
            CPPUNIT_ASSERT(store.is_complete(start, rewrite_time));
            respond(store, 1, start + tick);
            CPPUNIT_ASSERT(!store.is_complete(start + tick, rewrite_time));
        }
    }

    /// Guards against a wait that is over when the store begins to serve.
    void nothing_is_written_again_before_the_store_serves()
    {
        store_completeness store(false);
        store.observe(7, start);
        const auto served_at = start + 2 * rewrite_time;
        CPPUNIT_ASSERT(!store.is_complete(served_at, rewrite_time));
        store.on_served(7, served_at);
        CPPUNIT_ASSERT(!store.is_complete(served_at, rewrite_time));
        store.on_served(7, served_at + tick);
        CPPUNIT_ASSERT(
            store.is_complete(served_at + rewrite_time, rewrite_time));
    }

    /// Restores at random times, of a store that operators write again within
    /// the time, and processes that start at random times.
    void a_complete_read_lacks_nothing_acknowledged()
    {
        testing::check_property("store completeness", cases, [] {
            const auto restores = *rc::gen::container<std::vector<int>>(
                rc::gen::inRange(0, 20000));
            const auto rewritten_after = duration(*rc::gen::inRange(
                0, static_cast<int>(rewrite_time.count()) + 1));
            const auto read_at = start + duration(*rc::gen::inRange(0, 30000));
            const auto started_at = std::min(
                read_at, start + duration(*rc::gen::inRange(0, 30000)));
            store_completeness process(false);
            bool lacks_something = false;
            std::uint64_t era_at_read = 1;
            const auto era_at = [&restores](time_point at) {
                return 1 + static_cast<std::uint64_t>(std::count_if(
                               restores.begin(), restores.end(), [at](int ms) {
                                   return start + duration(ms) <= at;
                               }));
            };
            for (auto at = started_at; at <= read_at; at += duration(50)) {
                respond(process, era_at(at), at);
                era_at_read = era_at(at);
                lacks_something =
                    std::any_of(restores.begin(), restores.end(), [&](int ms) {
                        const auto restored_at = start + duration(ms);
                        return restored_at <= at &&
                               at < restored_at + rewritten_after;
                    });
                // Another daemon records only what it found complete itself.
                if (!lacks_something && era_at_read % 3 == 0)
                    process.on_recorded(era_at_read);
                if (process.is_complete(at, rewrite_time))
                    RC_ASSERT(!lacks_something);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_completeness_test);

} // namespace barleyfork
