/// Simulates many callers beside one request that crashes each server that runs
/// it, in fixed steps over the quarantine alone. Guards against the refusal of
/// innocent requests when the reports between daemons arrive late.

#include <barleyfork/core/crash_quarantine.hpp>
#include <barleyfork/core/suspect_runs.hpp>
#include <barleyfork/testing/property.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace barleyfork::testing {

namespace {

constexpr duration step{10};
constexpr duration service_time{150};
constexpr duration restart_time{500};
constexpr duration cause_interval{300};
constexpr duration cause_timeout{700};
constexpr int max_cause_runs = 2;
constexpr duration simulated_time{5000};
constexpr std::uint64_t cause = 1000;
constexpr std::size_t daemon_count = 3;
constexpr std::size_t server_count = 3;
constexpr std::uint64_t caller_count = 60;

constexpr quarantine_limits limits{.memory = duration{600000},
                                   .refusal_threshold = 3,
                                   .settling_period = duration{800},
                                   .doubt = duration{2000}};

/// A request that is in flight on a server or waits for one.
struct sent_request
{
    std::uint64_t fingerprint = 0;
    std::size_t daemon = 0;
    std::optional<std::size_t> server{};
    time_point due{};
    time_point cancelled_at = time_point::max();
    int runs = 0;
    /// Whether the request was sent as a suspected one.
    bool suspected = false;
};

struct delayed_report
{
    time_point arrives_at{};
    std::size_t daemon = 0;
    crash_blame blame;
};

/// Three daemons, three servers, sixty callers that repeat their requests at
/// once, and one request that crashes servers, sent to each daemon in turn.
class simulated_load
{
public:
    simulated_load(std::uint64_t seed, std::size_t max_report_delay)
        : random_(seed), max_report_delay_(max_report_delay)
    {
        for (std::uint64_t i = 0; i < caller_count; ++i)
            requests_.push_back({i, i % daemon_count});
    }

    void run()
    {
        for (; now_ < time_point(simulated_time); now_ += step) {
            deliver_reports();
            send_cause();
            serve_all();
            send_waiting();
        }
    }

    /// Returns the number of distinct innocent requests that were refused.
    std::size_t wrongly_refused() const
    {
        return refused_.size();
    }

    /// Returns the number of crashes after the bound that the users set.
    std::size_t crashes_past_bound() const
    {
        constexpr std::size_t crashes_before = 3;
        constexpr duration max_contact{4000};
        if (crashed_at_.size() < crashes_before)
            return 0;
        const auto bound = crashed_at_[crashes_before - 1] + max_contact;
        return static_cast<std::size_t>(std::count_if(
            crashed_at_.begin(), crashed_at_.end(), [bound](auto crashed_at) {
                return crashed_at > bound;
            }));
    }

    std::size_t crashes() const
    {
        return crashed_at_.size();
    }

private:
    struct daemon_state
    {
        crash_quarantine quarantine{limits};
        suspect_runs suspects;
    };

    static server_id name_of(std::size_t server)
    {
        return server_id(std::to_string(server));
    }

    std::size_t draw(std::size_t below)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          below - 1)(random_);
    }

    void deliver_reports()
    {
        std::erase_if(reports_, [this](const auto& delayed) {
            if (delayed.arrives_at > now_)
                return false;
            daemons_.at(delayed.daemon).quarantine.merge(delayed.blame, now_);
            return true;
        });
    }

    void send_cause()
    {
        if (now_.time_since_epoch() % cause_interval != duration{0})
            return;
        sent_request asked{cause, causes_++ % daemon_count};
        asked.cancelled_at = now_ + cause_timeout;
        requests_.push_back(asked);
    }

    void serve_all()
    {
        for (std::size_t server = 0; server < server_count; ++server)
            serve(server);
    }

    /// Processes the requests of a server in the order of arrival.
    void serve(std::size_t server)
    {
        const auto next = std::min_element(
            requests_.begin(),
            requests_.end(),
            [server](const auto& left, const auto& right) {
                return std::pair(left.server != server, left.due) <
                       std::pair(right.server != server, right.due);
            });
        if (next->server != server || next->due > now_)
            return;
        if (next->fingerprint == cause) {
            crash_server(server);
            return;
        }
        daemons_.at(next->daemon).quarantine.on_answer(next->fingerprint, now_);
        release_server(*next);
        serve(server);
    }

    void crash_server(std::size_t server)
    {
        crashed_at_.push_back(now_);
        restarted_at_.at(server) = now_ + restart_time;
        for (std::size_t daemon = 0; daemon < daemon_count; ++daemon)
            report(daemon, blame_requests(daemon, server));
    }

    std::vector<crash_blame> blame_requests(std::size_t daemon,
                                            std::size_t server)
    {
        std::vector<std::uint64_t> broken;
        for (auto& request : requests_) {
            if (request.daemon != daemon || request.server != server)
                continue;
            broken.push_back(request.fingerprint);
            ++request.runs;
            release_server(request);
        }
        return daemons_.at(daemon).quarantine.on_crash(
            broken, crashed_at_.size(), now_);
    }

    void report(std::size_t from, const std::vector<crash_blame>& blames)
    {
        for (std::size_t to = 0; to < daemon_count; ++to)
            for (const auto& blame : blames)
                if (to != from)
                    reports_.push_back(
                        {now_ + duration(draw(max_report_delay_)), to, blame});
    }

    void release_server(sent_request& request)
    {
        if (request.suspected)
            daemons_.at(request.daemon).suspects.end(request.fingerprint);
        request.suspected = false;
        request.server.reset();
    }

    void send_waiting()
    {
        std::erase_if(requests_, [this](const auto& request) {
            return request.fingerprint == cause && !request.server &&
                   (request.runs >= max_cause_runs ||
                    now_ >= request.cancelled_at);
        });
        std::shuffle(requests_.begin(), requests_.end(), random_);
        std::stable_sort(requests_.begin(),
                         requests_.end(),
                         [this](const auto& left, const auto& right) {
                             return suspected_crashes(left) <
                                    suspected_crashes(right);
                         });
        for (auto& request : requests_)
            if (!request.server)
                send(request);
    }

    /// Requests with fewer attributed crashes are sent first.
    std::size_t suspected_crashes(const sent_request& request) const
    {
        const auto& quarantine = daemons_.at(request.daemon).quarantine;
        return quarantine.suspected(request.fingerprint, now_)
                   ? quarantine.crashes(request.fingerprint)
                   : 0;
    }

    void send(sent_request& request)
    {
        auto& daemon = daemons_.at(request.daemon);
        if (daemon.quarantine.refused(request.fingerprint, now_)) {
            if (request.fingerprint == cause)
                request.cancelled_at = now_;
            else
                refused_.insert(request.fingerprint);
            return;
        }
        const bool suspected =
            daemon.quarantine.suspected(request.fingerprint, now_);
        if (suspected && daemon.suspects.runs(request.fingerprint))
            return;
        std::vector<std::size_t> servers;
        for (std::size_t server = 0; server < server_count; ++server)
            if (restarted_at_.at(server) <= now_ &&
                !(suspected &&
                  daemon.suspects.is_server_occupied(name_of(server))))
                servers.push_back(server);
        if (servers.empty())
            return;
        request.server = servers[draw(servers.size())];
        request.suspected = suspected;
        if (suspected)
            daemon.suspects.begin(request.fingerprint,
                                  name_of(*request.server));
        request.due = now_ + service_time;
    }

    std::mt19937_64 random_;
    std::size_t max_report_delay_;
    time_point now_{};
    std::array<daemon_state, daemon_count> daemons_;
    std::array<time_point, server_count> restarted_at_{};
    std::vector<sent_request> requests_;
    std::vector<delayed_report> reports_;
    std::vector<time_point> crashed_at_;
    std::set<std::uint64_t> refused_;
    std::uint64_t causes_ = 0;
};

} // namespace

class suspect_separation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(suspect_separation_test);
    CPPUNIT_TEST(callers_beside_a_crashing_request_are_not_refused);
    CPPUNIT_TEST(callers_are_not_refused_when_reports_arrive_late);
    CPPUNIT_TEST_SUITE_END();

public:
    void callers_beside_a_crashing_request_are_not_refused()
    {
        check_runs("callers_beside", max_report_ms);
    }

    void callers_are_not_refused_when_reports_arrive_late()
    {
        check_runs("late_news", max_late_report_ms);
    }

private:
    /// Maximum delays of reports from one daemon to another, in ms.
    static constexpr std::size_t max_report_ms = 200;
    static constexpr std::size_t max_late_report_ms = 700;

    static void check_runs(const std::string& name,
                           std::size_t max_report_delay)
    {
        check_property(name, 500, [max_report_delay] {
            simulated_load load(*rc::gen::arbitrary<std::uint64_t>(),
                                max_report_delay);
            load.run();
            RC_ASSERT(load.crashes() >= 3U);
            RC_ASSERT(load.crashes_past_bound() == 0U);
            RC_ASSERT(load.wrongly_refused() == 0U);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(suspect_separation_test);

} // namespace barleyfork::testing
