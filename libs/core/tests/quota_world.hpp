#ifndef BARLEYFORK_CORE_TESTS_QUOTA_WORLD_HPP
#define BARLEYFORK_CORE_TESTS_QUOTA_WORLD_HPP

#include <barleyfork/core/quota_asker.hpp>
#include <barleyfork/core/quota_pool.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace barleyfork::testing {

/// The network and the faults of a `quota_world`.
struct quota_trouble
{
    double loss = 0.0;
    duration max_delay{20};
    /// The fraction of messages that take up to two seconds.
    double late = 0.0;
    /// Mean number of kills, freezes and partitions in a second.
    double kills = 0.0;
    double freezes = 0.0;
    double partitions = 0.0;
    /// Whether each daemon orders the pools in its own way.
    bool pools_differ = false;
};

/// Daemons with clocks of their own that use one organisation's quota, and a
/// simple count of what they used.
class quota_world
{
public:
    static constexpr duration tick{5};

    quota_world(std::size_t count,
                const token_quota& quota,
                const quota_tolerance& tolerance,
                const quota_trouble& trouble,
                unsigned seed);

    /// A request at a daemon; returns whether that is up.
    bool call(std::size_t daemon, double tokens);

    /// Processes messages, timers and faults of the next tick.
    void step();

    /// A new daemon, which the others learn of within two seconds.
    void join();

    /// A new quota reaches each daemon within `spread`.
    void change(const token_quota& quota, duration spread);

    /// Returns the largest use of a window that lies in the given time, as a
    /// part of the bound for a quota.
    double
    worst_use(const token_quota& quota, duration from, duration to) const;

    duration now() const noexcept
    {
        return now_;
    }
    /// When all daemons have the last quota.
    duration changed_at() const noexcept
    {
        return changed_at_;
    }
    std::size_t size() const noexcept
    {
        return daemons_.size();
    }
    double draw()
    {
        return std::uniform_real_distribution<double>()(random_);
    }

    std::size_t admitted = 0;
    std::size_t refused = 0;
    std::size_t messages = 0;
    double longest_wait_ms = 0.0;

private:
    struct use
    {
        duration at{0};
        double tokens = 0.0;
        quota_charge charge;
        std::size_t daemon = 0;
        std::uint64_t incarnation = 0;
    };
    struct daemon
    {
        instance_id id;
        duration clock{0};
        std::uint64_t incarnation = 0;
        duration down_until{0};
        duration frozen_until{0};
        std::size_t listed = 0;
        bool is_known = true;
        std::size_t version = 0;
        std::unique_ptr<quota_asker> asker;
        std::unique_ptr<quota_pool> pool;
        std::map<std::uint64_t, std::pair<duration, double>> waiting;
    };
    struct planned
    {
        std::size_t daemon = 0;
        std::size_t version = 0;
        std::size_t listed = 0;
    };

    time_point local(const daemon& at) const;
    void start(std::size_t index);
    void configure(daemon& at, std::size_t earlier);
    void list_daemons(std::size_t index);
    void send(std::size_t from, std::size_t to, std::function<void()> arrive);
    void handle(std::size_t index, const quota_events& events);
    void ask(std::size_t from, const quota_send& send);
    void record(std::size_t index, double tokens, const quota_charge& charge);
    void put_some_back();
    void cause_trouble();
    bool is_up(const daemon& at) const;
    duration draw_time(int max_ms);

    std::mt19937 random_;
    quota_tolerance tolerance_;
    quota_trouble trouble_;
    std::vector<token_quota> quotas_;
    std::vector<daemon> daemons_;
    std::multimap<duration, std::pair<std::size_t, std::function<void()>>>
        arrivals_;
    std::multimap<duration, planned> plans_;
    std::vector<use> uses_;
    duration now_{0};
    duration changed_at_{0};
    duration cut_until_{0};
    unsigned cut_ = 0;
};

} // namespace barleyfork::testing

#endif
