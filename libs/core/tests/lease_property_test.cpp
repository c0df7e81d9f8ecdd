#include <barleyfork/core/lease.hpp>
#include <barleyfork/testing/property.hpp>

#include <array>

namespace barleyfork::testing {

namespace {

enum class lease_action : int
{
    pass_time,
    renew,
    renew_answer_lost,
    renew_lost,
    late_write,
    look,
};

/// Two daemons and one lease row; the table may lose answers and may act on a
/// write long after its sender gave it up.
class lease_world
{
public:
    lease_world()
    {
        for (auto& holder : holders_)
            holder.observe(lease_row{}, 0, now_);
    }

    void run(lease_action action, int first, int second)
    {
        const auto who = static_cast<std::size_t>(first) % holders_.size();
        switch (action) {
        case lease_action::pass_time:
            now_ += duration(second * 50);
            break;
        case lease_action::renew:
            renew(who, true, true);
            break;
        case lease_action::renew_answer_lost:
            renew(who, true, false);
            break;
        case lease_action::renew_lost:
            renew(who, false, false);
            break;
        case lease_action::late_write:
            if (!late_.empty()) {
                store(late_.back());
                late_.pop_back();
            }
            break;
        case lease_action::look:
            holders_[who].observe(row_, version_, now_);
            break;
        }
    }

    std::size_t held() const
    {
        std::size_t count = 0;
        for (const auto& holder : holders_)
            count += holder.held(now_) ? 1 : 0;
        return count;
    }

    bool ever_held() const noexcept
    {
        return ever_held_;
    }
    std::uint64_t epoch() const noexcept
    {
        return row_.epoch;
    }

private:
    struct sent_write
    {
        lease_row row;
        std::uint64_t expected = 0;
    };

    bool store(const sent_write& write)
    {
        if (write.expected != version_)
            return false;
        row_ = write.row;
        ++version_;
        return true;
    }

    void renew(std::size_t who, bool reaches, bool answered)
    {
        auto& holder = holders_[who];
        const auto expected = holder.version();
        const auto row =
            holder.next_write(true, "w" + std::to_string(++names_), now_);
        if (!row)
            return;
        const sent_write write{*row, expected};
        if (!reaches) {
            late_.push_back(write);
            return;
        }
        const bool done = store(write);
        if (done && answered)
            holder.written(*row, version_, now_);
        ever_held_ |= holder.held(now_);
    }

    time_point now_{duration(1000)};
    std::array<lease, 2> holders_{lease(instance_id("a"), {}),
                                  lease(instance_id("b"), {})};
    lease_row row_;
    std::uint64_t version_ = 0;
    std::vector<sent_write> late_;
    int names_ = 0;
    bool ever_held_ = false;
};

class lease_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lease_property_test);
    CPPUNIT_TEST(at_most_one_holds);
    CPPUNIT_TEST(a_free_lease_is_taken_with_a_larger_epoch);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int cases = 5000;
    static constexpr int longest = 200;
    static constexpr weighted_actions<lease_action> actions{
        {10, lease_action::pass_time},
        {8, lease_action::renew},
        {2, lease_action::renew_answer_lost},
        {2, lease_action::renew_lost},
        {2, lease_action::late_write},
        {6, lease_action::look}};

public:
    void at_most_one_holds()
    {
        check_property("lease", cases, [] {
            const auto commands = *gen_commands(actions, longest);
            lease_world world;
            std::uint64_t epoch = 0;
            for (const auto& [action, first, second] : commands) {
                world.run(action, first, second);
                RC_ASSERT(world.held() <= 1U);
                RC_ASSERT(world.epoch() >= epoch);
                epoch = world.epoch();
            }
        });
    }

    void a_free_lease_is_taken_with_a_larger_epoch()
    {
        lease_world world;
        world.run(lease_action::renew, 0, 0);
        CPPUNIT_ASSERT(world.ever_held());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.epoch());
        world.run(lease_action::look, 1, 0);
        for (int i = 0; i < 3; ++i)
            world.run(lease_action::pass_time, 0, 59);
        world.run(lease_action::renew, 1, 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, world.epoch());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_property_test);

} // namespace

} // namespace barleyfork::testing
