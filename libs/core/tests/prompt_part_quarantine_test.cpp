/// Parts of prompts that crash each server that begins to answer them, beside
/// requests that share their other parts.

#include <barleyfork/core/crash_quarantine.hpp>
#include <barleyfork/testing/property.hpp>

#include <array>
#include <optional>
#include <vector>

namespace barleyfork::testing {

namespace {

constexpr std::size_t threshold = 3;
constexpr duration settling{800};

/// The first part, which nearly all requests share, and the one that crashes.
const crash_suspect first_part = make_part_suspect(1);
const crash_suspect cause = make_part_suspect(2);

time_point at(std::int64_t ms)
{
    return time_point(duration(ms));
}

quarantine_limits limits()
{
    return {.memory = duration{600000},
            .refusal_threshold = threshold,
            .settling_period = settling,
            .doubt = duration{2000}};
}

crash_suspects make_request(std::uint64_t number,
                            std::vector<crash_suspect> parts)
{
    return {make_request_suspect(1000 + number), std::move(parts)};
}

crash_suspects crashing(std::uint64_t number)
{
    return make_request(number, {first_part, cause});
}

void crash(crash_quarantine& quarantine,
           const std::vector<crash_suspects>& in_flight,
           std::uint64_t number,
           time_point now)
{
    std::vector<crash_suspect> suspects;
    for (const auto& request : in_flight)
        for (const auto suspect : request.all())
            suspects.push_back(suspect);
    quarantine.on_crash(suspects, number, now);
}

void answer(crash_quarantine& quarantine,
            const crash_suspects& request,
            time_point now)
{
    for (const auto suspect : request.all())
        quarantine.on_answer(suspect, now);
}

std::uint64_t draw(std::uint64_t below)
{
    return *rc::gen::inRange<std::uint64_t>(0, below);
}

} // namespace

class prompt_part_quarantine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(prompt_part_quarantine_test);
    CPPUNIT_TEST(requests_alike_in_one_part_are_refused);
    CPPUNIT_TEST(the_first_part_alone_is_served_though_never_answered);
    CPPUNIT_TEST(a_crashing_request_does_not_condemn_its_parts);
    CPPUNIT_TEST(an_answer_clears_the_parts_of_its_request);
    CPPUNIT_TEST(a_server_loss_with_many_parts_condemns_none_that_is_answered);
    CPPUNIT_TEST(a_refused_part_is_known_after_a_merge);
    CPPUNIT_TEST(of_hundreds_of_parts_only_the_cause_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void requests_alike_in_one_part_are_refused()
    {
        crash_quarantine quarantine(limits());
        constexpr std::uint64_t count = threshold + 1;
        for (std::uint64_t i = 0; i < count; ++i) {
            CPPUNIT_ASSERT(!quarantine.refusal_cause(crashing(i), at(0)));
            crash(quarantine, {crashing(i)}, i, at(0));
        }
        const auto next = crashing(count);
        CPPUNIT_ASSERT(!quarantine.refusal_cause(next, at(0)));
        const auto later = at(0) + settling;
        CPPUNIT_ASSERT(quarantine.refusal_cause(next, later) == first_part ||
                       quarantine.refusal_cause(next, later) == cause);
        CPPUNIT_ASSERT(quarantine.suspected(next, later));
    }

    /// Nobody asked with the first part alone before, so both parts have the
    /// same crashes. A crash of the first part alone would tell them apart.
    void the_first_part_alone_is_served_though_never_answered()
    {
        crash_quarantine quarantine(limits());
        for (std::uint64_t i = 0; i < 20; ++i)
            crash(quarantine, {crashing(i)}, i, at(0));
        const auto sound = make_request(50, {first_part});
        const auto later = at(60000);
        CPPUNIT_ASSERT(!quarantine.refusal_cause(sound, later));
        CPPUNIT_ASSERT(quarantine.refusal_cause(crashing(51), later));
        answer(quarantine, sound, later);
        CPPUNIT_ASSERT(quarantine.refusal_cause(crashing(51), later) == cause);
    }

    void a_crashing_request_does_not_condemn_its_parts()
    {
        crash_quarantine quarantine(limits());
        const auto rare = make_part_suspect(7);
        const auto bad = make_request(1, {first_part, rare});
        for (std::uint64_t i = 0; i < threshold; ++i)
            crash(quarantine, {bad}, i, at(0));
        const auto later = at(0) + settling;
        CPPUNIT_ASSERT(quarantine.refusal_cause(bad, later) == bad.request);
        CPPUNIT_ASSERT(!quarantine.refusal_cause(
            make_request(2, {first_part, rare}), later));
    }

    void an_answer_clears_the_parts_of_its_request()
    {
        crash_quarantine quarantine(limits());
        for (std::uint64_t i = 0; i < 20; ++i)
            crash(quarantine, {crashing(i)}, i, at(0));
        answer(quarantine, crashing(30), at(2000));
        CPPUNIT_ASSERT(!quarantine.refusal_cause(crashing(31), at(2000)));
        CPPUNIT_ASSERT(!quarantine.suspected(crashing(31), at(2000)));
        CPPUNIT_ASSERT(quarantine.is_trusted(cause, at(2000)));
    }

    /// Ten servers end at once, each with requests that share one new part; a
    /// request on another server is answered before the crashes count.
    void a_server_loss_with_many_parts_condemns_none_that_is_answered()
    {
        crash_quarantine quarantine(limits());
        const auto popular = make_part_suspect(9);
        for (std::uint64_t i = 0; i < 10; ++i)
            crash(
                quarantine, {make_request(i, {first_part, popular})}, i, at(0));
        answer(quarantine, make_request(20, {first_part, popular}), at(500));
        CPPUNIT_ASSERT(!quarantine.refusal_cause(
            make_request(21, {first_part, popular}), at(5000)));
    }

    /// As reported to another daemon or read from the store.
    void a_refused_part_is_known_after_a_merge()
    {
        crash_quarantine sender(limits());
        const auto now = at(5000);
        answer(sender, make_request(70, {first_part}), at(0));
        for (std::uint64_t i = 0; i < 8; ++i)
            crash(sender, {crashing(i)}, i, at(0));
        crash_quarantine receiver(limits());
        for (const auto& reported : sender.refusals(now))
            receiver.merge(reported.blame, now - reported.age);
        CPPUNIT_ASSERT(receiver.refusal_cause(crashing(50), now) == cause);
        CPPUNIT_ASSERT(
            !receiver.refusal_cause(make_request(51, {first_part}), now));
        CPPUNIT_ASSERT_EQUAL(sender.digest(now), receiver.digest(now));
    }

    /// Engines with 64 requests of up to twenty parts each. Some of those in
    /// flight are answered elsewhere before the next crash, the others meet it
    /// again; after as many runs as routes allow they are gone.
    void of_hundreds_of_parts_only_the_cause_is_refused()
    {
        check_property("hundreds_of_parts", 60, [] {
            constexpr std::uint64_t on_engine = 64;
            constexpr std::uint64_t part_count = 300;
            constexpr std::uint64_t max_parts = 20;
            constexpr std::uint64_t max_crashes = 12;
            constexpr int max_runs = 3;
            crash_quarantine quarantine(limits());
            std::uint64_t made = 0;
            const auto sound = [&made] {
                std::vector<crash_suspect> parts{first_part};
                const auto count = draw(max_parts);
                for (std::uint64_t i = 0; i < count; ++i)
                    parts.push_back(make_part_suspect(100 + draw(part_count)));
                return make_request(++made, std::move(parts));
            };
            const auto unanswered_percent = draw(30);
            struct sent_request
            {
                crash_suspects suspects;
                int runs = 0;
            };
            std::vector<sent_request> in_flight;
            std::optional<std::uint64_t> refused_after;
            for (std::uint64_t i = 0; i < max_crashes; ++i) {
                const auto now = at(static_cast<std::int64_t>(i) * 1000);
                while (in_flight.size() < on_engine)
                    in_flight.push_back({sound()});
                std::vector<crash_suspects> all{crashing(++made)};
                for (auto& [request, runs] : in_flight) {
                    all.push_back(request);
                    ++runs;
                }
                crash(quarantine, all, i, now);
                const auto later = now + duration{900};
                for (const auto& [request, runs] : in_flight)
                    RC_ASSERT(!quarantine.refusal_cause(request, later));
                if (!refused_after &&
                    quarantine.refusal_cause(crashing(++made), later))
                    refused_after = i + 1;
                std::vector<sent_request> again;
                for (const auto& [request, runs] : in_flight) {
                    if (draw(100) >= unanswered_percent)
                        answer(quarantine, request, later);
                    else if (runs < max_runs)
                        again.push_back({request, runs});
                }
                in_flight = again;
            }
            RC_ASSERT(refused_after.has_value());
            RC_ASSERT(*refused_after <= 8U);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prompt_part_quarantine_test);

} // namespace barleyfork::testing
