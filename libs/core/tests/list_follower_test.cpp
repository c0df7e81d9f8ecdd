/// How daemons of one failure domain follow the list of servers while the
/// holder's word is lost, late or absent: calls to the store and staleness.

#include <barleyfork/core/list_follower.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <vector>

namespace barleyfork {

namespace {

constexpr time_point start{duration{100000}};
constexpr duration tick{50};
constexpr duration word_interval{400};
constexpr std::size_t neighbours = 49;

/// One failure domain: a reader that speaks to its neighbours, who each miss
/// a share of what is said.
class failure_domain
{
public:
    failure_domain(bool holder_speaks, double lost)
        : holder_speaks_(holder_speaks), lost_(lost),
          daemons_(neighbours + 1, list_follower(list_intervals()))
    {
        for (auto& daemon : daemons_)
            daemon.on_read(version_, start);
    }

    void play(duration length, bool reader_speaks)
    {
        for (auto now = start; now < start + length; now += tick) {
            ++version_;
            if (holder_speaks_)
                say({told_, version_, now}, 0);
            told_ = holder_speaks_ ? version_ : told_;
            step(reader(), list_role::reader, false, now);
            if (reader_speaks && now >= next_word_) {
                next_word_ = now + word_interval;
                say({said_, reader().position(), reader().known_at()}, 1);
                said_ = reader().position();
            }
            for (std::size_t i = 1; i < daemons_.size(); ++i)
                step(daemons_[i], list_role::neighbour, reader_speaks, now);
        }
    }

    std::size_t reads() const
    {
        return reads_;
    }

    duration oldest() const
    {
        return oldest_;
    }

private:
    list_follower& reader()
    {
        return daemons_.front();
    }

    void say(const list_claim& claim, std::size_t from)
    {
        std::bernoulli_distribution is_lost(lost_);
        for (std::size_t i = from; i < daemons_.size(); ++i)
            if (!is_lost(random_))
                daemons_[i].hear(claim);
    }

    void step(list_follower& daemon,
              list_role role,
              bool reader_heard,
              time_point now)
    {
        oldest_ = std::max(oldest_, now - daemon.known_at());
        switch (daemon.next(role, reader_heard, now)) {
        case list_step::read_store:
            ++reads_;
            daemon.on_read(version_, now);
            return;
        case list_step::ask_reader:
            daemon.hear({daemon.position(),
                         std::max(reader().position(), daemon.position()),
                         reader().known_at()});
            return;
        case list_step::nothing:
            return;
        }
    }

    bool holder_speaks_;
    double lost_;
    std::vector<list_follower> daemons_;
    std::uint64_t version_ = 1;
    std::uint64_t told_ = 1;
    std::uint64_t said_ = 1;
    time_point next_word_ = start;
    std::size_t reads_ = 0;
    duration oldest_{0};
    std::mt19937_64 random_{20261204};
};

/// What is told of a leaving server is known within two seconds, so that a
/// bound of 2.5 s holds with the way of a message.
constexpr duration oldest_allowed{2000};

} // namespace

class list_follower_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(list_follower_test);
    CPPUNIT_TEST(missed_words_cost_no_calls_while_a_reader_speaks);
    CPPUNIT_TEST(one_daemon_of_a_domain_reads_while_no_holder_is_heard);
    CPPUNIT_TEST(without_any_word_each_reads);
    CPPUNIT_TEST(a_claim_after_a_gap_proves_nothing);
    CPPUNIT_TEST(a_change_of_holder_is_no_gap);
    CPPUNIT_TEST(a_hung_call_leaves_time_for_another);
    CPPUNIT_TEST_SUITE_END();

public:
    /// 30 s in which one word in twenty is lost on its way to each: at most
    /// one call a second for fifty daemons.
    void missed_words_cost_no_calls_while_a_reader_speaks()
    {
        failure_domain domain(true, 0.05);
        domain.play(duration{30000}, true);
        CPPUNIT_ASSERT(domain.reads() <= 30);
        CPPUNIT_ASSERT(domain.oldest() <= oldest_allowed);
    }

    void one_daemon_of_a_domain_reads_while_no_holder_is_heard()
    {
        failure_domain domain(false, 0.0);
        domain.play(duration{30000}, true);
        CPPUNIT_ASSERT(domain.reads() <= 30);
        CPPUNIT_ASSERT(domain.oldest() <= oldest_allowed);
    }

    void without_any_word_each_reads()
    {
        failure_domain domain(false, 0.0);
        domain.play(duration{30000}, false);
        CPPUNIT_ASSERT(domain.oldest() <= oldest_allowed);
    }

    /// A read hangs for its whole timeout; the next one, after a pause, still
    /// comes within the bound. Played on further scale-2, where requests
    /// reached a server 2.76 s after it said that it leaves (bound 2.5 s).
    void a_hung_call_leaves_time_for_another()
    {
        constexpr duration call_timeout{1000};
        for (const duration bound : {duration{2500}, duration{4000}}) {
            const auto intervals =
                within_bound(list_intervals(), bound, call_timeout);
            CPPUNIT_ASSERT(
                intervals.reader + call_timeout + longest_first_pause < bound);
            CPPUNIT_ASSERT(intervals.neighbour + call_timeout < bound);
        }
    }

    void a_claim_after_a_gap_proves_nothing()
    {
        list_follower daemon{list_intervals()};
        daemon.on_read(10, start);
        CPPUNIT_ASSERT(!daemon.hear({12, 15, start + tick}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, daemon.position());
        CPPUNIT_ASSERT(daemon.known_at() == start);
        CPPUNIT_ASSERT(daemon.next(list_role::neighbour, true, start + tick) ==
                       list_step::ask_reader);
        CPPUNIT_ASSERT(daemon.hear({10, 15, start + tick}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, daemon.position());
    }

    /// Another holder's first word begins where it took over.
    void a_change_of_holder_is_no_gap()
    {
        list_follower daemon{list_intervals()};
        daemon.on_read(10, start);
        CPPUNIT_ASSERT(daemon.hear({10, 12, start + tick}));
        CPPUNIT_ASSERT(daemon.hear({11, 14, start + 2 * tick}));
        CPPUNIT_ASSERT(daemon.next(list_role::neighbour, true, start + tick) ==
                       list_step::nothing);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(list_follower_test);

} // namespace barleyfork
