#include <barleyfork/core/concurrency_limit.hpp>
#include <barleyfork/core/crash_quarantine.hpp>
#include <barleyfork/core/event_splitter.hpp>
#include <barleyfork/core/fair_queue.hpp>
#include <barleyfork/core/retry_budget.hpp>
#include <barleyfork/core/token_bucket.hpp>
#include <barleyfork/testing/property.hpp>

#include <array>
#include <map>

namespace barleyfork::testing {

namespace {

time_point at(std::int64_t ms)
{
    return time_point(duration(ms));
}

/// The small components of the request core, each against its specification.
class policy_parts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(policy_parts_test);
    CPPUNIT_TEST(queue_shares_by_weight);
    CPPUNIT_TEST(a_burst_is_displaced_by_others);
    CPPUNIT_TEST(bucket_limits_the_rate);
    CPPUNIT_TEST(a_bucket_that_hardly_fills_names_a_long_wait);
    CPPUNIT_TEST(retries_stay_within_budget);
    CPPUNIT_TEST(innocent_neighbours_of_a_crash_are_not_refused);
    CPPUNIT_TEST(one_crash_counts_once);
    CPPUNIT_TEST(events_are_never_split);
    CPPUNIT_TEST(limit_falls_when_tokens_are_late);
    CPPUNIT_TEST_SUITE_END();

public:
    void queue_shares_by_weight()
    {
        fair_queue queue(1000);
        std::map<queue_ticket, int> owner;
        for (int i = 0; i < 300; ++i)
            for (const int weight : {1, 2}) {
                const auto pushed =
                    queue.push(organisation_id(std::to_string(weight)),
                               static_cast<std::uint32_t>(weight));
                owner[*pushed.ticket] = weight;
            }
        std::array<int, 3> served{};
        for (int i = 0; i < 150; ++i)
            ++served.at(static_cast<std::size_t>(owner[*queue.pop()]));
        CPPUNIT_ASSERT_EQUAL(50, served[1]);
        CPPUNIT_ASSERT_EQUAL(100, served[2]);
    }

    void a_burst_is_displaced_by_others()
    {
        fair_queue queue(10);
        for (int i = 0; i < 50; ++i)
            queue.push(organisation_id("burst"), 1);
        const auto quiet = queue.push(organisation_id("quiet"), 1);
        CPPUNIT_ASSERT(quiet.ticket.has_value());
        CPPUNIT_ASSERT(quiet.displaced.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, queue.size());
    }

    void bucket_limits_the_rate()
    {
        check_property("bucket", 500, [] {
            const auto rate = *rc::gen::inRange(1, 100);
            token_bucket bucket;
            bucket.set_rate(rate, at(0));
            int taken = 0;
            constexpr int seconds = 20;
            for (int ms = 0; ms <= seconds * 1000; ms += 7)
                taken += bucket.try_take(1.0, at(ms)) ? 1 : 0;
            RC_ASSERT(taken <= rate * (seconds + 1) + 1);
            RC_ASSERT(taken >= rate * seconds * 9 / 10);
        });
    }

    /// Guards against a wait below zero where no duration holds the real one.
    void a_bucket_that_hardly_fills_names_a_long_wait()
    {
        for (const double rate : {1e-6, 1e-17, 1e-300}) {
            token_bucket bucket;
            bucket.set_rate(rate, at(0));
            CPPUNIT_ASSERT(bucket.wait_for(1e9, at(0)) > duration(1000));
        }
    }

    void retries_stay_within_budget()
    {
        retry_budget budget(10);
        int retries = 0;
        for (int i = 0; i < 1000; ++i) {
            budget.on_first_attempt();
            retries += budget.try_take() ? 1 : 0;
        }
        CPPUNIT_ASSERT(retries <= 111);
        retry_budget none(0);
        none.on_first_attempt();
        CPPUNIT_ASSERT(!none.try_take());
    }

    void innocent_neighbours_of_a_crash_are_not_refused()
    {
        crash_quarantine quarantine({.memory = duration(1000)});
        const std::array<std::uint64_t, 3> first{1, 2, 3};
        quarantine.on_crash(first, 100, at(0));
        // Requests 2 and 3 succeed on another server; request 1 is present at
        // the next crash together with new requests.
        quarantine.on_answer(2, at(0));
        quarantine.on_answer(3, at(0));
        const std::array<std::uint64_t, 3> second{1, 4, 5};
        quarantine.on_crash(second, 101, at(1));
        CPPUNIT_ASSERT(quarantine.refused(1, at(2)));
        for (const std::uint64_t innocent : {2, 3, 4, 5})
            CPPUNIT_ASSERT(!quarantine.refused(innocent, at(2)));
        CPPUNIT_ASSERT(!quarantine.refused(1, at(1002)));
    }

    void one_crash_counts_once()
    {
        crash_quarantine quarantine({.memory = duration(1000)});
        const std::array<std::uint64_t, 1> only{1};
        quarantine.on_crash(only, 100, at(0));
        quarantine.on_crash(only, 100, at(1));
        quarantine.merge({1, 100}, at(2));
        CPPUNIT_ASSERT(!quarantine.refused(1, at(3)));
        quarantine.merge({1, 101}, at(3));
        CPPUNIT_ASSERT(quarantine.refused(1, at(4)));
    }

    void events_are_never_split()
    {
        check_property("events", 500, [] {
            const auto count = *rc::gen::inRange(0, 20);
            std::string stream;
            for (int i = 0; i < count; ++i)
                stream += "data: " + std::to_string(i) + "\n\n";
            stream += "data: [DONE]\n\n";
            event_splitter splitter;
            std::string joined;
            while (!stream.empty()) {
                const auto size = std::min<std::size_t>(
                    stream.size(),
                    static_cast<std::size_t>(*rc::gen::inRange(1, 9)));
                for (const auto& event : splitter.feed(stream.substr(0, size)))
                {
                    RC_ASSERT(event.ends_with("\n\n"));
                    joined += event;
                }
                stream.erase(0, size);
            }
            RC_ASSERT(splitter.done());
            RC_ASSERT(splitter.events() == static_cast<unsigned>(count));
        });
    }

    void limit_falls_when_tokens_are_late()
    {
        concurrency_limit limit(64);
        const auto first = limit.limit();
        for (int i = 0; i < 400; ++i)
            limit.on_first_token(100.0, 400.0, limit.limit(), at(i));
        CPPUNIT_ASSERT(limit.limit() > first);
        for (int i = 0; i < 100; ++i)
            limit.on_first_token(900.0, 400.0, 64, at(1000 + 300 * i));
        CPPUNIT_ASSERT_EQUAL(1U, limit.limit());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(policy_parts_test);

} // namespace

} // namespace barleyfork::testing
