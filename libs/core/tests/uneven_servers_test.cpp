/// The choice among servers whose load, speed or memory differ, by daemons
/// whose updates are of different ages.

#include "engine_replay.hpp"

#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

namespace barleyfork {

namespace {

constexpr std::size_t servers = 9;
constexpr double tokens_per_ms = 19.0;
constexpr std::uint64_t prompt_tokens = 2000;
constexpr std::int64_t target_ms = 1000;
constexpr std::int64_t load_ms = 15000;

std::vector<testing::replayed_request> make_load(double utilisation)
{
    std::mt19937_64 random(1);
    std::exponential_distribution<double> pause(utilisation * servers *
                                                tokens_per_ms / prompt_tokens);
    std::vector<testing::replayed_request> load;
    for (double at = pause(random); at < load_ms; at += pause(random)) {
        testing::replayed_request request;
        request.at_ms = static_cast<std::int64_t>(at);
        request.prompt_tokens = prompt_tokens;
        request.target_ms = target_ms;
        load.push_back(request);
    }
    return load;
}

struct herding
{
    double share_in_target = 0.0;
    /// As `skew_of` returns it.
    double skew = 0.0;
};

/// Returns the requests of the busiest server over the mean, averaged over
/// spans of the time that updates take.
double skew_of(const std::vector<testing::replayed_request>& load)
{
    constexpr std::int64_t span_ms = 500;
    double sum = 0.0;
    int spans = 0;
    for (std::int64_t from = 0; from < load_ms; from += span_ms, ++spans) {
        std::vector<double> sent(servers, 0.0);
        double all = 0.0;
        for (const auto& request : load)
            if (request.at_ms >= from && request.at_ms < from + span_ms) {
                ++sent[request.server];
                ++all;
            }
        sum += *std::max_element(sent.begin(), sent.end()) * servers /
               std::max(all, 1.0);
    }
    return sum / spans;
}

herding play(std::size_t daemons, double uncertainty_ms)
{
    testing::replay_options options;
    options.daemons = daemons;
    options.servers = servers;
    options.news_interval_ms =
        std::max<std::int64_t>(200, static_cast<std::int64_t>(daemons) * 3 / 2);
    options.uncertainty_ms = uncertainty_ms;
    auto load = make_load(0.95);
    testing::engine_replay replay(options);
    replay.run(load);
    return {testing::share_in_target(load, 0, UINT64_MAX), skew_of(load)};
}

server_candidate make_candidate(const char* id)
{
    server_candidate candidate;
    candidate.server = server_id(id);
    candidate.slots = 64;
    return candidate;
}

} // namespace

class uneven_servers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(uneven_servers_test);
    CPPUNIT_TEST(stale_updates_do_not_make_daemons_herd);
    CPPUNIT_TEST(idle_servers_leave_the_choice_to_distance);
    CPPUNIT_TEST(noise_is_smoothed_and_news_is_followed);
    CPPUNIT_TEST(slowness_is_bounded_and_forgotten);
    CPPUNIT_TEST(slow_servers_get_less);
    CPPUNIT_TEST(full_memory_delays_the_admission);
    CPPUNIT_TEST(full_slots_delay_the_admission);
    CPPUNIT_TEST(a_load_figure_is_forgotten_in_time);
    CPPUNIT_TEST(large_load_figures_do_not_wrap);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Before: the uncertainty was only that of the interval beyond 200 ms.
    void stale_updates_do_not_make_daemons_herd()
    {
        for (const std::size_t daemons : {30, 90, 300}) {
            const double interval_ms =
                std::max(200.0, 1.5 * static_cast<double>(daemons));
            const auto before = play(daemons, 0.8 * (interval_ms - 200.0));
            const auto after = play(daemons, 1.5 * interval_ms);
            std::ostringstream text;
            text << daemons << " daemons, before and after: in target "
                 << before.share_in_target << " " << after.share_in_target
                 << ", skew " << before.skew << " " << after.skew;
            CPPUNIT_ASSERT_MESSAGE(
                text.str(), after.share_in_target > before.share_in_target);
            CPPUNIT_ASSERT_MESSAGE(text.str(), after.skew < before.skew);
        }
    }

    void idle_servers_leave_the_choice_to_distance()
    {
        std::vector<server_candidate> candidates{make_candidate("far"),
                                                 make_candidate("near"),
                                                 make_candidate("other")};
        candidates[0].away = distance::other_region;
        candidates[2].away = distance::other_region;
        engine_work work{prompt_tokens, 0.05, 30.0};
        work.uncertainty_ms = 300.0;
        for (std::uint64_t draw = 0; draw < 20; ++draw)
            CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                                 *choose_engine(candidates, work, draw));
    }

    /// The figure changes in each millisecond; a daemon hears one now and then.
    void noise_is_smoothed_and_news_is_followed()
    {
        slowness_estimate estimate;
        std::mt19937_64 random(1);
        std::uniform_real_distribution<double> noise(0.6, 1.4);
        time_point now{};
        constexpr duration between_answers{50};
        for (int i = 0; i < 100; ++i, now += between_answers) {
            estimate.observe(noise(random), now);
            CPPUNIT_ASSERT(i < 20 || std::abs(estimate.value(now) - 1.0) < 0.2);
        }
        for (int i = 0; i < 40; ++i, now += between_answers)
            estimate.observe(2.0 + noise(random), now);
        CPPUNIT_ASSERT(std::abs(estimate.value(now) - 3.0) < 0.6);
    }

    void slowness_is_bounded_and_forgotten()
    {
        slowness_estimate estimate;
        const time_point now{};
        CPPUNIT_ASSERT_EQUAL(1.0, estimate.value(now));
        for (int i = 0; i < 1000; ++i)
            estimate.observe(40000000.0, now);
        CPPUNIT_ASSERT(estimate.value(now) > 3.5);
        CPPUNIT_ASSERT(estimate.value(now) <= 4.0);
        CPPUNIT_ASSERT(estimate.value(now + duration{20000}) < 1.01);
    }

    void slow_servers_get_less()
    {
        std::vector<server_candidate> candidates{make_candidate("slow"),
                                                 make_candidate("usual")};
        candidates[0].load.slowness = 2.0;
        candidates[1].load.own_waiting_tokens = 1000;
        const engine_work work{prompt_tokens, 0.05, 30.0};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             *choose_engine(candidates, work, 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             *choose_plain_server(candidates, 30.0, 0));
        candidates[1].load.own_waiting_tokens = 20000;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             *choose_engine(candidates, work, 0));
    }

    void full_memory_delays_the_admission()
    {
        auto candidate = make_candidate("s");
        candidate.cache_tokens = 100000;
        candidate.load.own_outstanding = 20;
        candidate.load.own_memory_tokens = 50000;
        candidate.load.peer_outstanding = 18;
        engine_work work{prompt_tokens, 0.05, 30.0};
        work.memory_tokens = 2500;
        work.usual_memory_tokens = 2500.0;
        work.usual_total_ms = 2000.0;
        CPPUNIT_ASSERT_EQUAL(0.0, expected_admission_ms(candidate, work));
        candidate.load.peer_outstanding = 40;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            1050.0, expected_admission_ms(candidate, work), 0.1);
        candidate.cache_tokens = 0;
        CPPUNIT_ASSERT_EQUAL(0.0, expected_admission_ms(candidate, work));
    }

    void full_slots_delay_the_admission()
    {
        auto candidate = make_candidate("s");
        candidate.load.peer_outstanding = 63;
        engine_work work{prompt_tokens, 0.05, 30.0};
        work.usual_total_ms = 640.0;
        CPPUNIT_ASSERT_EQUAL(0.0, expected_admission_ms(candidate, work));
        candidate.load.peer_outstanding = 73;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            100.0, expected_admission_ms(candidate, work), 0.1);
    }

    /// Guards against a server that is never tried again because of what it
    /// last reported: without a request no newer figure comes.
    void a_load_figure_is_forgotten_in_time()
    {
        constexpr std::uint32_t absurd = 4000000000;
        constexpr duration old{5000};
        const engine_work work;
        auto candidate = make_candidate("s");
        const auto unreported = expected_first_event_ms(candidate, work);
        candidate.load.reported = true;
        candidate.load.reported_running = absurd;
        CPPUNIT_ASSERT(expected_first_event_ms(candidate, work) > unreported);
        candidate.load.report_age = old;
        CPPUNIT_ASSERT_EQUAL(unreported,
                             expected_first_event_ms(candidate, work));
    }

    /// Guards against a server that looks idle because of its figures' sum.
    void large_load_figures_do_not_wrap()
    {
        constexpr std::uint32_t half = 1U << 31U;
        engine_work work;
        work.usual_total_ms = 1000.0;
        auto candidate = make_candidate("s");
        candidate.load.reported = true;
        candidate.load.reported_running = half;
        const auto one = expected_admission_ms(candidate, work);
        candidate.load.reported_waiting = half;
        CPPUNIT_ASSERT(expected_admission_ms(candidate, work) > one);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(uneven_servers_test);

} // namespace barleyfork
