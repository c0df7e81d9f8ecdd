#include "routing_trial.hpp"

#include <barleyfork/core/concurrency_limit.hpp>
#include <barleyfork/core/replica_picker.hpp>

#include <algorithm>
#include <pcg_random.hpp>
#include <queue>
#include <random>
#include <vector>

namespace barleyfork {

namespace {

/// Weight of the newest first-token time in a daemon's average.
constexpr double newest_share = 0.2;
constexpr double milliseconds_per_second = 1000.0;
constexpr std::uint32_t largest_limit = 64;

struct finished_request
{
    double at_ms = 0.0;
    std::size_t daemon = 0;
    std::size_t server = 0;
    double first_token_ms = 0.0;

    bool operator>(const finished_request& other) const
    {
        return at_ms > other.at_ms;
    }
};

/// All that happens, in one loop over milliseconds.
class routing_world
{
public:
    routing_world(const std::string& strategy, const routing_options& options)
        : options_(options), picker_(make_replica_picker(strategy)),
          random_(options.seed), limits_(options.daemons * options.servers,
                                         concurrency_limit(largest_limit)),
          outstanding_(options.servers, 0),
          views_(options.daemons,
                 std::vector<replica_candidate>(options.servers))
    {
        for (auto& view : views_)
            for (std::size_t s = 0; s < view.size(); ++s)
                view[s].server = server_id("s" + std::to_string(s));
    }

    double run()
    {
        const auto end = options_.seconds *
                         static_cast<std::int64_t>(milliseconds_per_second);
        for (std::int64_t now = 0; now < end; ++now) {
            if (now % options_.report_lag_ms == 0)
                report(now);
            while (!running_.empty() &&
                   running_.top().at_ms <= static_cast<double>(now))
                finish(now);
            arrive(now, end);
        }
        return static_cast<double>(within_) / static_cast<double>(requests_);
    }

private:
    /// Every daemon hears the load of one lag ago.
    void report(std::int64_t now)
    {
        for (auto& view : views_)
            for (std::size_t s = 0; s < view.size(); ++s) {
                view[s].reported_outstanding =
                    last_report_.empty() ? 0 : last_report_[s];
                view[s].reported_at =
                    time_point(duration(now - options_.report_lag_ms));
            }
        last_report_ = outstanding_;
    }

    void arrive(std::int64_t now, std::int64_t end)
    {
        const bool burst = now > end / 3 && now < 2 * end / 3;
        const double rate =
            options_.quiet_rate * (burst ? options_.burst_factor : 1.0);
        std::poisson_distribution<int> count(rate / milliseconds_per_second);
        for (int left = count(random_); left > 0; --left)
            send(now);
    }

    void send(std::int64_t now)
    {
        const auto daemon = random_() % options_.daemons;
        auto& view = views_[daemon];
        pick_context request;
        request.random = random_();
        ++requests_;
        std::vector<replica_candidate> open;
        std::vector<std::size_t> index;
        for (std::size_t i = 0; i < view.size(); ++i) {
            const auto limit = limits_[daemon * options_.servers + i].limit();
            if (options_.limited && view[i].own_outstanding >= limit)
                continue;
            open.push_back(view[i]);
            index.push_back(i);
        }
        const auto choice =
            picker_->pick(open, request, time_point(duration(now)));
        if (!choice)
            return;
        const auto s = index[*choice];
        const double load = 1.0 + outstanding_[s];
        const double slow = s == 0 ? options_.slow_factor : 1.0;
        const double crowd = std::max(1.0, load / options_.full_speed);
        const double first = options_.first_token_ms * slow * crowd;
        const double whole = options_.whole_ms * slow * crowd;
        within_ += first <= options_.target_ms ? 1 : 0;
        ++outstanding_[s];
        ++view[s].own_outstanding;
        running_.push({static_cast<double>(now) + whole, daemon, s, first});
    }

    /// The answer carries the server's load.
    void finish(std::int64_t now)
    {
        const auto done = running_.top();
        running_.pop();
        limits_[done.daemon * options_.servers + done.server].on_first_token(
            done.first_token_ms,
            options_.target_ms,
            views_[done.daemon][done.server].own_outstanding,
            time_point(duration(now)));
        --outstanding_[done.server];
        auto& seen = views_[done.daemon][done.server];
        --seen.own_outstanding;
        seen.reported_outstanding = outstanding_[done.server];
        seen.reported_at = time_point(duration(now));
        seen.first_token_ms +=
            newest_share * (done.first_token_ms - seen.first_token_ms);
    }

    routing_options options_;
    std::unique_ptr<replica_picker> picker_;
    pcg64 random_;
    std::vector<concurrency_limit> limits_;
    std::vector<std::uint32_t> outstanding_;
    std::vector<std::uint32_t> last_report_;
    std::vector<std::vector<replica_candidate>> views_;
    std::priority_queue<finished_request,
                        std::vector<finished_request>,
                        std::greater<>>
        running_;
    std::size_t requests_ = 0;
    std::size_t within_ = 0;
};

} // namespace

double routing_attainment(const std::string& strategy,
                          const routing_options& options)
{
    return routing_world(strategy, options).run();
}

} // namespace barleyfork
