/// One lease row in a store that is restored from backups, so that the row goes
/// back to an earlier holder while the newer one still acts.

#include <barleyfork/core/lease.hpp>
#include <barleyfork/testing/property.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

namespace barleyfork::testing {

namespace {

enum class restore_action : int
{
    pass_time,
    renew,
    renew_answer_lost,
    observe_row,
    restart_daemon,
    restore_backup,
};

class restored_lease_world
{
public:
    restored_lease_world()
    {
        history_.push_back(row_);
        for (std::size_t i = 0; i < daemons_.size(); ++i)
            restart(i);
    }

    void run(restore_action action, int first, int second)
    {
        const auto index = static_cast<std::size_t>(first) % daemons_.size();
        switch (action) {
        case restore_action::pass_time:
            now_ += duration(second * 50);
            break;
        case restore_action::renew:
            renew(index, true);
            break;
        case restore_action::renew_answer_lost:
            renew(index, false);
            break;
        case restore_action::observe_row:
            observe(index);
            break;
        case restore_action::restart_daemon:
            restart(index);
            break;
        case restore_action::restore_backup:
            restore(static_cast<std::size_t>(second));
            break;
        }
        record_holders();
    }

    std::size_t holder_count() const
    {
        return static_cast<std::size_t>(std::count_if(
            daemons_.begin(), daemons_.end(), [this](const auto& daemon) {
                return daemon.held(now_);
            }));
    }

    /// Whether some epoch was that of two holders, or a holder's epoch was
    /// lower than that of an earlier one.
    bool has_fencing_failed() const noexcept
    {
        return has_fencing_failed_;
    }

private:
    struct stored_row
    {
        lease_row row;
        std::uint64_t number = 0;
        /// The era that the writer knew.
        std::uint64_t written_in = 0;
    };

    void observe(std::size_t index)
    {
        const bool exists = row_.number > 0;
        const bool is_of_backup =
            exists ? row_.written_in < era_ : restored_[index];
        daemons_[index].observe(row_.row,
                                {row_.number, era_},
                                now_,
                                duration{0},
                                is_of_backup ? row_origin::backup
                                             : row_origin::current);
    }

    void restart(std::size_t index)
    {
        daemons_[index] = lease(instance_id(std::string(1, char('a' + index))),
                                lease_options{});
        restored_[index] = era_ > 1;
        observe(index);
    }

    void restore(std::size_t moment)
    {
        history_.resize(moment % history_.size() + 1);
        row_ = history_.back();
        ++era_;
        restored_.fill(true);
    }

    void renew(std::size_t index, bool is_answered)
    {
        auto& daemon = daemons_[index];
        const auto expected = daemon.version();
        const auto row =
            daemon.next_write(true, "w" + std::to_string(++writes_), now_);
        if (!row)
            return;
        if (expected != store_version(row_.number, era_)) {
            observe(index);
            return;
        }
        row_ = {*row, ++number_, era_};
        history_.push_back(row_);
        if (is_answered)
            daemon.written(*row, {row_.number, era_}, now_);
    }

    void record_holders()
    {
        for (const auto& daemon : daemons_) {
            if (!daemon.held(now_))
                continue;
            const auto index = static_cast<std::size_t>(&daemon - &daemons_[0]);
            const auto [known, is_new] =
                holder_of_epoch_.try_emplace(daemon.epoch(), index);
            has_fencing_failed_ |= known->second != index;
            has_fencing_failed_ |=
                is_new && std::next(known) != holder_of_epoch_.end();
        }
    }

    time_point now_{duration(100000)};
    std::array<lease, 3> daemons_{lease({}, {}), lease({}, {}), lease({}, {})};
    std::array<bool, 3> restored_{};
    stored_row row_;
    std::vector<stored_row> history_;
    std::uint64_t number_ = 0;
    std::uint64_t era_ = 1;
    int writes_ = 0;
    std::map<std::uint64_t, std::size_t> holder_of_epoch_;
    bool has_fencing_failed_ = false;
};

class lease_restore_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lease_restore_property_test);
    CPPUNIT_TEST(a_restored_row_makes_no_second_holder);
    CPPUNIT_TEST(a_holder_writes_its_lease_again_after_a_restore);
    CPPUNIT_TEST(a_restored_row_is_no_free_lease);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int cases = 5000;
    static constexpr int max_commands = 200;
    static constexpr weighted_actions<restore_action> actions{
        {10, restore_action::pass_time},
        {8, restore_action::renew},
        {2, restore_action::renew_answer_lost},
        {6, restore_action::observe_row},
        {1, restore_action::restart_daemon},
        {1, restore_action::restore_backup}};

    static constexpr time_point start{duration(100000)};

public:
    void a_restored_row_makes_no_second_holder()
    {
        check_property("lease after restores", cases, [] {
            const auto commands = *gen_commands(actions, max_commands);
            restored_lease_world world;
            for (const auto& [action, first, second] : commands) {
                world.run(action, first, second);
                RC_ASSERT(world.holder_count() <= 1U);
                RC_ASSERT(!world.has_fencing_failed());
            }
        });
    }

    void a_holder_writes_its_lease_again_after_a_restore()
    {
        lease holder(instance_id("a"), {});
        holder.observe({}, {0, 1}, start);
        const auto row = holder.next_write(true, "w1", start);
        CPPUNIT_ASSERT(row.has_value());
        holder.written(*row, {9, 1}, start);
        holder.observe({instance_id("b"), row->epoch - 1, "w0"},
                       {5, 2},
                       start,
                       duration{0},
                       row_origin::backup);
        CPPUNIT_ASSERT(holder.held(start));
        const auto again = holder.next_write(false, "w2", start);
        CPPUNIT_ASSERT(again.has_value());
        CPPUNIT_ASSERT(again->holder == instance_id("a"));
        CPPUNIT_ASSERT_EQUAL(row->epoch, again->epoch);
        CPPUNIT_ASSERT(holder.version() == store_version(5, 2));
    }

    /// Its holder may have been followed by another one.
    void a_restored_row_is_no_free_lease()
    {
        lease candidate(instance_id("c"), {});
        candidate.observe(
            {}, {0, 2}, start, duration{60000}, row_origin::backup);
        const lease_options options;
        const auto before = start + options.term - duration{1};
        CPPUNIT_ASSERT(!candidate.next_write(true, "w", before));
        CPPUNIT_ASSERT(candidate.next_write(true, "w", start + options.term));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_restore_property_test);

} // namespace

} // namespace barleyfork::testing
