/// Guards against too many calls to the store, and against a stale list of
/// servers, while the holder's announcements are lost, late or absent in one
/// failure domain.

#include <barleyfork/core/table_follower.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <vector>

namespace barleyfork {

namespace {

constexpr time_point start{duration{100000}};
constexpr duration tick{50};
constexpr duration announcement_interval{400};
constexpr std::size_t neighbours = 49;

/// One failure domain: a reader and its neighbours, each of which misses a
/// fraction of the announcements.
class failure_domain
{
public:
    failure_domain(bool holder_announces, double loss_rate)
        : holder_announces_(holder_announces), loss_rate_(loss_rate),
          daemons_(neighbours + 1, table_follower(follower_intervals()))
    {
        for (auto& daemon : daemons_)
            daemon.on_read(version_, start);
    }

    void run(duration length, bool reader_announces)
    {
        for (auto now = start; now < start + length; now += tick) {
            ++version_;
            if (holder_announces_)
                announce({holder_position_, version_, now}, 0);
            holder_position_ = holder_announces_ ? version_ : holder_position_;
            step(reader(), follower_role::reader, false, now);
            if (reader_announces && now >= next_announcement_at_) {
                next_announcement_at_ = now + announcement_interval;
                announce({reader_position_,
                          reader().position(),
                          reader().known_at()},
                         1);
                reader_position_ = reader().position().number();
            }
            for (std::size_t i = 1; i < daemons_.size(); ++i)
                step(daemons_[i],
                     follower_role::neighbour,
                     reader_announces,
                     now);
        }
    }

    std::size_t reads() const
    {
        return reads_;
    }

    duration max_age() const
    {
        return max_age_;
    }

private:
    table_follower& reader()
    {
        return daemons_.front();
    }

    void announce(const table_claim& claim, std::size_t from)
    {
        std::bernoulli_distribution is_lost(loss_rate_);
        for (std::size_t i = from; i < daemons_.size(); ++i)
            if (!is_lost(random_))
                daemons_[i].on_peer_state(claim);
    }

    void step(table_follower& daemon,
              follower_role role,
              bool reader_reachable,
              time_point now)
    {
        max_age_ = std::max(max_age_, now - daemon.known_at());
        switch (daemon.next(role, reader_reachable, now)) {
        case follower_step::read_store:
            ++reads_;
            daemon.on_read(version_, now);
            return;
        case follower_step::ask_reader:
            daemon.on_peer_state(
                {daemon.position(),
                 std::max(reader().position(), daemon.position()),
                 reader().known_at()});
            return;
        case follower_step::nothing:
            return;
        }
    }

    bool holder_announces_;
    double loss_rate_;
    std::vector<table_follower> daemons_;
    std::uint64_t version_ = 1;
    std::uint64_t holder_position_ = 1;
    std::uint64_t reader_position_ = 1;
    time_point next_announcement_at_ = start;
    std::size_t reads_ = 0;
    duration max_age_{0};
    std::mt19937_64 random_{20261204};
};

/// Every daemon learns of a server's shutdown within two seconds, so that a
/// bound of 2.5 s includes the transit time of a message.
constexpr duration max_allowed_age{2000};

} // namespace

class table_follower_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_follower_test);
    CPPUNIT_TEST(missed_announcements_cost_few_calls_with_a_reader);
    CPPUNIT_TEST(one_daemon_of_a_domain_reads_without_a_holder);
    CPPUNIT_TEST(each_daemon_reads_without_announcements);
    CPPUNIT_TEST(a_claim_after_a_gap_is_not_applied);
    CPPUNIT_TEST(a_change_of_holder_is_no_gap);
    CPPUNIT_TEST(a_claim_after_a_restore_is_not_applied);
    CPPUNIT_TEST(an_era_rises_once_for_each_restore);
    CPPUNIT_TEST(a_hung_call_leaves_time_for_the_next);
    CPPUNIT_TEST(a_confirmation_is_believed_for_a_bounded_time);
    CPPUNIT_TEST(a_confirmation_of_less_than_is_known_has_no_effect);
    CPPUNIT_TEST(a_confirmation_brings_no_forgotten_history_back);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Each daemon misses one announcement in twenty on average over 30 s; the
    /// fifty daemons together make at most one call per second.
    void missed_announcements_cost_few_calls_with_a_reader()
    {
        failure_domain domain(true, 0.05);
        domain.run(duration{30000}, true);
        CPPUNIT_ASSERT(domain.reads() <= 30);
        CPPUNIT_ASSERT(domain.max_age() <= max_allowed_age);
    }

    void one_daemon_of_a_domain_reads_without_a_holder()
    {
        failure_domain domain(false, 0.0);
        domain.run(duration{30000}, true);
        CPPUNIT_ASSERT(domain.reads() <= 30);
        CPPUNIT_ASSERT(domain.max_age() <= max_allowed_age);
    }

    void each_daemon_reads_without_announcements()
    {
        failure_domain domain(false, 0.0);
        domain.run(duration{30000}, false);
        CPPUNIT_ASSERT(domain.max_age() <= max_allowed_age);
    }

    /// Guards against a read that hangs for its full timeout and delays the
    /// next one, after a pause, beyond the bound. Requests then reached a
    /// server 2.76 s after it announced its shutdown (bound 2.5 s).
    void a_hung_call_leaves_time_for_the_next()
    {
        constexpr duration call_timeout{1000};
        for (const duration bound : {duration{2500}, duration{4000}}) {
            const auto intervals =
                shorten_to_bound(follower_intervals(), bound, call_timeout);
            CPPUNIT_ASSERT(intervals.reader + call_timeout +
                               max_first_retry_delay <
                           bound);
            CPPUNIT_ASSERT(intervals.neighbour + call_timeout < bound);
        }
    }

    /// The versions of the new era are lower than the known one.
    void a_claim_after_a_restore_is_not_applied()
    {
        table_follower daemon{follower_intervals()};
        daemon.on_read({10, 1}, start);
        CPPUNIT_ASSERT(!daemon.on_peer_state({{8, 1}, {9, 2}, start + tick}));
        CPPUNIT_ASSERT(daemon.position() == store_version(10, 1));
        CPPUNIT_ASSERT(daemon.next(follower_role::neighbour,
                                   true,
                                   start + tick) == follower_step::ask_reader);
        daemon.on_read({9, 2}, start + tick);
        CPPUNIT_ASSERT(daemon.position() == store_version(9, 2));
        CPPUNIT_ASSERT(daemon.on_peer_state({{9, 2}, {12, 2}, start + tick}));
        CPPUNIT_ASSERT(daemon.on_peer_state({{9, 1}, {40, 1}, start + tick}));
        CPPUNIT_ASSERT(daemon.position() == store_version(12, 2));
    }

    void an_era_rises_once_for_each_restore()
    {
        store_era era;
        CPPUNIT_ASSERT(!era.observe(0));
        CPPUNIT_ASSERT(!era.observe(7));
        CPPUNIT_ASSERT(!era.was_restored());
        CPPUNIT_ASSERT(era.observe(8));
        CPPUNIT_ASSERT(!era.observe(8));
        CPPUNIT_ASSERT(!era.observe(7));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, era.current());
        CPPUNIT_ASSERT(era.was_restored());
    }

    void a_claim_after_a_gap_is_not_applied()
    {
        table_follower daemon{follower_intervals()};
        daemon.on_read(10, start);
        CPPUNIT_ASSERT(!daemon.on_peer_state({12, 15, start + tick}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, daemon.position().number());
        CPPUNIT_ASSERT(daemon.known_at() == start);
        CPPUNIT_ASSERT(daemon.next(follower_role::neighbour,
                                   true,
                                   start + tick) == follower_step::ask_reader);
        CPPUNIT_ASSERT(daemon.on_peer_state({10, 15, start + tick}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, daemon.position().number());
    }

    void a_confirmation_is_believed_for_a_bounded_time()
    {
        const follower_intervals intervals;
        table_follower daemon{intervals};
        daemon.on_read(10, start);
        const auto known_at = start + 4 * intervals.neighbour;
        daemon.on_confirmed(12, known_at);
        const auto lapses_at = known_at + intervals.neighbour;
        CPPUNIT_ASSERT(daemon.next(follower_role::neighbour,
                                   true,
                                   lapses_at - tick) == follower_step::nothing);
        CPPUNIT_ASSERT(daemon.next(follower_role::neighbour, true, lapses_at) ==
                       follower_step::read_store);
    }

    /// All daemons tell each other of a version from which the store's history
    /// can't be continued; each must still read the table whole.
    void a_confirmation_brings_no_forgotten_history_back()
    {
        table_follower daemon{follower_intervals()};
        daemon.on_read(71, start);
        daemon.forget();
        daemon.on_confirmed(71, start + tick);
        CPPUNIT_ASSERT(!daemon.known());
        daemon.on_confirmed(72, start + tick);
        CPPUNIT_ASSERT(daemon.known());
        daemon.forget();
        daemon.on_read(72, start + tick);
        CPPUNIT_ASSERT(daemon.known());
    }

    /// Versions of a later era are lower.
    void a_confirmation_of_less_than_is_known_has_no_effect()
    {
        table_follower daemon{follower_intervals()};
        daemon.on_read({10, 1}, start);
        daemon.on_confirmed({9, 1}, start + tick);
        daemon.on_confirmed(store_version(), start + tick);
        CPPUNIT_ASSERT(daemon.known_at() == start);
        daemon.on_confirmed({4, 2}, start + tick);
        CPPUNIT_ASSERT(daemon.known_at() == start + tick);
        CPPUNIT_ASSERT(daemon.position() == store_version(4, 2));
    }

    /// Another holder's first announcement starts at the position where that
    /// holder acquired the lease.
    void a_change_of_holder_is_no_gap()
    {
        table_follower daemon{follower_intervals()};
        daemon.on_read(10, start);
        CPPUNIT_ASSERT(daemon.on_peer_state({10, 12, start + tick}));
        CPPUNIT_ASSERT(daemon.on_peer_state({11, 14, start + 2 * tick}));
        CPPUNIT_ASSERT(daemon.next(follower_role::neighbour,
                                   true,
                                   start + tick) == follower_step::nothing);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_follower_test);

} // namespace barleyfork
