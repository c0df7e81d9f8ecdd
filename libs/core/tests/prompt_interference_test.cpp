/// Long prompts beside short ones on the same engines, with the decision on
/// and off.

#include "engine_replay.hpp"

#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <sstream>

namespace barleyfork {

namespace {

using testing::replayed_request;

constexpr std::uint64_t any_size = UINT64_MAX;
constexpr std::uint64_t long_size = 3500;
constexpr std::size_t servers = 8;
constexpr double tokens_per_ms = 19.0;
constexpr std::int64_t target_ms = 1000;
constexpr std::int64_t load_ms = 15000;

constexpr std::uint64_t seeds = 4;
/// Callers leave after this time.
constexpr std::int64_t patience_ms = 4 * target_ms;
/// Loss of long prompts that counts as none, and the noise of the average over
/// the seeds.
constexpr double max_loss = 0.05;
constexpr double noise = 0.01;

using draw_tokens = std::function<std::uint64_t(std::mt19937_64&)>;

/// Returns a load that uses `utilisation` of all engines.
std::vector<replayed_request> make_load(double utilisation,
                                        double mean_tokens,
                                        const draw_tokens& draw,
                                        std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> pause(utilisation * servers *
                                                tokens_per_ms / mean_tokens);
    std::vector<replayed_request> load;
    for (double at = pause(random); at < load_ms; at += pause(random)) {
        replayed_request request;
        request.at_ms = static_cast<std::int64_t>(at);
        request.prompt_tokens = draw(random);
        request.target_ms = target_ms;
        request.priority = 1;
        load.push_back(request);
    }
    return load;
}

std::vector<replayed_request> play(std::vector<replayed_request> load,
                                   bool long_prompts_yield,
                                   std::uint64_t seed)
{
    testing::replay_options options;
    options.servers = servers;
    options.long_prompts_yield = long_prompts_yield;
    options.uncertainty_ms = 300.0;
    options.seed = seed;
    testing::engine_replay replay(options);
    replay.run(load);
    return load;
}

/// Returns the share of long prompts with a first event before callers leave.
double share_of_long_answered(const std::vector<replayed_request>& load)
{
    double all = 0.0;
    double answered = 0.0;
    for (const auto& request : load) {
        if (request.prompt_tokens < long_size)
            continue;
        ++all;
        answered += request.first_event_ms <= patience_ms ? 1.0 : 0.0;
    }
    return answered / all;
}

/// Shares of the requests, over all seeds.
struct shares
{
    double short_in_target = 0.0;
    double long_in_target = 0.0;
    double long_answered = 0.0;
};

struct comparison
{
    shares off;
    shares on;

    std::string text() const
    {
        std::ostringstream out;
        out << "off and on: short in target " << off.short_in_target << " "
            << on.short_in_target << ", long in target " << off.long_in_target
            << " " << on.long_in_target << ", long answered "
            << off.long_answered << " " << on.long_answered;
        return out.str();
    }
};

comparison
compare(double utilisation, double mean_tokens, const draw_tokens& draw)
{
    comparison result;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto load = make_load(utilisation, mean_tokens, draw, seed);
        for (const bool is_on : {false, true}) {
            const auto played = play(load, is_on, seed);
            auto& sum = is_on ? result.on : result.off;
            sum.short_in_target +=
                testing::share_in_target(played, 0, long_size - 1) / seeds;
            sum.long_in_target +=
                testing::share_in_target(played, long_size, any_size) / seeds;
            sum.long_answered += share_of_long_answered(played) / seeds;
        }
    }
    return result;
}

void expect_no_loss_of_long_prompts(const comparison& result)
{
    CPPUNIT_ASSERT_MESSAGE(result.text(),
                           result.on.long_in_target >=
                               result.off.long_in_target - max_loss);
    CPPUNIT_ASSERT_MESSAGE(result.text(),
                           result.on.long_answered >=
                               result.off.long_answered - max_loss);
}

} // namespace

class prompt_interference_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(prompt_interference_test);
    CPPUNIT_TEST(one_long_prompt_among_ten_short_ones);
    CPPUNIT_TEST(many_long_prompts_are_not_starved);
    CPPUNIT_TEST(widely_spread_prompts_with_stale_updates);
    CPPUNIT_TEST(prompts_of_similar_size_are_read_in_turn);
    CPPUNIT_TEST(a_long_prompt_yields_only_without_loss);
    CPPUNIT_TEST(long_waits_stop_the_yielding_for_a_while);
    CPPUNIT_TEST(urgencies_keep_the_order_of_priorities);
    CPPUNIT_TEST_SUITE_END();

public:
    void one_long_prompt_among_ten_short_ones()
    {
        int count = 0;
        const auto result = compare(1.05, 1073.0, [&count](auto&) {
            return ++count % 11 == 0 ? std::uint64_t{6800} : 500U;
        });
        CPPUNIT_ASSERT_MESSAGE(result.text(),
                               result.on.short_in_target >
                                   result.off.short_in_target + max_loss);
        expect_no_loss_of_long_prompts(result);
    }

    void many_long_prompts_are_not_starved()
    {
        int count = 0;
        for (const double utilisation : {0.95, 1.05}) {
            const auto result = compare(utilisation, 2800.0, [&count](auto&) {
                return ++count % 2 == 0 ? std::uint64_t{5000} : 600U;
            });
            CPPUNIT_ASSERT_MESSAGE(result.text(),
                                   result.on.short_in_target >=
                                       result.off.short_in_target - noise);
            expect_no_loss_of_long_prompts(result);
        }
    }

    /// Sizes as they are with callers: 568 shared tokens and 1,800 of a
    /// log-normal distribution on average.
    void widely_spread_prompts_with_stale_updates()
    {
        constexpr double sigma = 1.3;
        constexpr double mean = 1800.0;
        std::lognormal_distribution<double> size(
            std::log(mean) - sigma * sigma / 2, sigma);
        const auto draw = [&size](auto& random) {
            constexpr double largest = 6870.0;
            constexpr double shared = 568.0;
            return static_cast<std::uint64_t>(shared +
                                              std::min(size(random), largest));
        };
        for (const double utilisation : {0.8, 0.95, 1.1}) {
            const auto result = compare(utilisation, 2050.0, draw);
            CPPUNIT_ASSERT_MESSAGE(result.text(),
                                   result.on.short_in_target >=
                                       result.off.short_in_target - noise);
            expect_no_loss_of_long_prompts(result);
        }
    }

    void prompts_of_similar_size_are_read_in_turn()
    {
        const draw_tokens draw = [](auto& random) {
            return std::uint64_t{1500} + random() % 1000;
        };
        const auto load = make_load(0.95, 2000.0, draw, 1);
        const auto off = play(load, false, 1);
        const auto on = play(load, true, 1);
        for (std::size_t i = 0; i < load.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(off[i].first_event_ms, on[i].first_event_ms);
    }

    void a_long_prompt_yields_only_without_loss()
    {
        const prompt_interference decision;
        const time_point now{};
        prompt_prospects prospects;
        prospects.to_target = duration{1000};
        prospects.to_disconnect = duration{4000};
        const auto decide = [&](double in_turn_ms, double yielding_ms) {
            prospects.in_turn_ms = in_turn_ms;
            prospects.yielding_ms = yielding_ms;
            return decision.decide(prospects, now);
        };
        CPPUNIT_ASSERT(decide(250, 250) == prompt_order::yields);
        CPPUNIT_ASSERT(decide(800, 900) == prompt_order::in_turn);
        CPPUNIT_ASSERT(decide(1100, 1200) == prompt_order::yields);
        CPPUNIT_ASSERT(decide(1100, 2000) == prompt_order::in_turn);
    }

    void long_waits_stop_the_yielding_for_a_while()
    {
        prompt_interference decision;
        time_point now{};
        prompt_prospects prospects;
        prospects.in_turn_ms = 250.0;
        prospects.yielding_ms = 250.0;
        prospects.to_target = duration{1000};
        prospects.to_disconnect = duration{4000};
        for (int i = 0; i < 20; ++i)
            decision.observe_yielded(250.0, 2500.0, now);
        CPPUNIT_ASSERT(decision.decide(prospects, now) ==
                       prompt_order::in_turn);
        now += duration{60000};
        CPPUNIT_ASSERT(decision.decide(prospects, now) == prompt_order::yields);
    }

    void urgencies_keep_the_order_of_priorities()
    {
        for (std::uint32_t count = 1; count <= 12; ++count) {
            std::vector<std::uint32_t> priorities;
            for (std::uint32_t i = 0; i < count; ++i)
                priorities.push_back(3 * i);
            std::uint32_t last = 0;
            for (const auto priority : priorities)
                for (const auto order :
                     {prompt_order::in_turn, prompt_order::yields}) {
                    const auto urgency =
                        engine_urgency(priorities, priority, order);
                    CPPUNIT_ASSERT(urgency >= last && urgency <= 9);
                    last = urgency;
                }
        }
        const std::vector<std::uint32_t> two{0, 1};
        CPPUNIT_ASSERT(engine_urgency(two, 0, prompt_order::yields) <
                       engine_urgency(two, 1, prompt_order::in_turn));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prompt_interference_test);

} // namespace barleyfork
