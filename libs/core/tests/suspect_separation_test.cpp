/// Many callers beside one request that ends each server that runs it, played
/// in steps over the decisions alone, with the news between daemons late.

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
constexpr duration work{150};
constexpr duration down{500};
constexpr duration cause_gap{300};
constexpr duration cause_patience{700};
constexpr int cause_runs = 2;
constexpr duration play_time{5000};
constexpr std::uint64_t cause = 1000;
constexpr std::size_t daemon_count = 3;
constexpr std::size_t server_count = 3;
constexpr std::uint64_t caller_count = 60;

constexpr quarantine_limits limits{.memory = duration{600000},
                                   .refusal_threshold = 3,
                                   .settling = duration{800},
                                   .doubt = duration{2000}};

/// A request on its way: at a server, or waiting for one.
struct sent_request
{
    std::uint64_t fingerprint = 0;
    std::size_t daemon = 0;
    std::optional<std::size_t> server{};
    time_point due{};
    time_point leaves_at = time_point::max();
    int runs = 0;
    /// It runs as one that is kept apart.
    bool suspected = false;
};

struct late_news
{
    time_point arrives_at{};
    std::size_t daemon = 0;
    crash_blame blame;
};

/// Three daemons before three servers, sixty callers that ask again at once
/// and one request that ends servers, at each daemon in turn.
class played_load
{
public:
    played_load(std::uint64_t seed, std::size_t longest_news)
        : random_(seed), longest_news_(longest_news)
    {
        for (std::uint64_t i = 0; i < caller_count; ++i)
            requests_.push_back({i, i % daemon_count});
    }

    void play()
    {
        for (; now_ < time_point(play_time); now_ += step) {
            hear_news();
            ask_cause();
            answer_and_end();
            send_waiting();
        }
    }

    /// Innocent requests that were refused, each once.
    std::size_t refused_wrongly() const
    {
        return refused_.size();
    }

    /// Ends that came later than the users' bound.
    std::size_t ends_past_bound() const
    {
        constexpr std::size_t ends_before = 3;
        constexpr duration contact{4000};
        if (ends_.size() < ends_before)
            return 0;
        const auto bound = ends_[ends_before - 1] + contact;
        return static_cast<std::size_t>(
            std::count_if(ends_.begin(), ends_.end(), [bound](auto end) {
                return end > bound;
            }));
    }

    std::size_t ends() const
    {
        return ends_.size();
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

    void hear_news()
    {
        std::erase_if(news_, [this](const auto& told) {
            if (told.arrives_at > now_)
                return false;
            daemons_.at(told.daemon).quarantine.merge(told.blame, now_);
            return true;
        });
    }

    void ask_cause()
    {
        if (now_.time_since_epoch() % cause_gap != duration{0})
            return;
        sent_request asked{cause, causes_++ % daemon_count};
        asked.leaves_at = now_ + cause_patience;
        requests_.push_back(asked);
    }

    void answer_and_end()
    {
        for (std::size_t server = 0; server < server_count; ++server)
            serve(server);
    }

    /// Who came first is answered, or ends the server, first.
    void serve(std::size_t server)
    {
        const auto next = std::min_element(
            requests_.begin(),
            requests_.end(),
            [server](const auto& one, const auto& other) {
                return std::pair(one.server != server, one.due) <
                       std::pair(other.server != server, other.due);
            });
        if (next->server != server || next->due > now_)
            return;
        if (next->fingerprint == cause) {
            end_server(server);
            return;
        }
        daemons_.at(next->daemon).quarantine.on_answer(next->fingerprint, now_);
        leave(*next);
        serve(server);
    }

    void end_server(std::size_t server)
    {
        ends_.push_back(now_);
        up_at_.at(server) = now_ + down;
        for (std::size_t daemon = 0; daemon < daemon_count; ++daemon)
            tell(daemon, blamed_by(daemon, server));
    }

    std::vector<crash_blame> blamed_by(std::size_t daemon, std::size_t server)
    {
        std::vector<std::uint64_t> broken;
        for (auto& request : requests_) {
            if (request.daemon != daemon || request.server != server)
                continue;
            broken.push_back(request.fingerprint);
            ++request.runs;
            leave(request);
        }
        return daemons_.at(daemon).quarantine.on_crash(
            broken, ends_.size(), now_);
    }

    void tell(std::size_t from, const std::vector<crash_blame>& blames)
    {
        for (std::size_t to = 0; to < daemon_count; ++to)
            for (const auto& blame : blames)
                if (to != from)
                    news_.push_back(
                        {now_ + duration(draw(longest_news_)), to, blame});
    }

    void leave(sent_request& request)
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
                   (request.runs >= cause_runs || now_ >= request.leaves_at);
        });
        std::shuffle(requests_.begin(), requests_.end(), random_);
        std::stable_sort(requests_.begin(),
                         requests_.end(),
                         [this](const auto& one, const auto& other) {
                             return suspicion(one) < suspicion(other);
                         });
        for (auto& request : requests_)
            if (!request.server)
                send(request);
    }

    /// The least suspected go first.
    std::size_t suspicion(const sent_request& request) const
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
                request.leaves_at = now_;
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
            if (up_at_.at(server) <= now_ &&
                !(suspected && daemon.suspects.runs_on(name_of(server))))
                servers.push_back(server);
        if (servers.empty())
            return;
        request.server = servers[draw(servers.size())];
        request.suspected = suspected;
        if (suspected)
            daemon.suspects.begin(request.fingerprint,
                                  name_of(*request.server));
        request.due = now_ + work;
    }

    std::mt19937_64 random_;
    std::size_t longest_news_;
    time_point now_{};
    std::array<daemon_state, daemon_count> daemons_;
    std::array<time_point, server_count> up_at_{};
    std::vector<sent_request> requests_;
    std::vector<late_news> news_;
    std::vector<time_point> ends_;
    std::set<std::uint64_t> refused_;
    std::uint64_t causes_ = 0;
};

} // namespace

class suspect_separation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(suspect_separation_test);
    CPPUNIT_TEST(callers_beside_one_that_ends_servers_are_not_refused);
    CPPUNIT_TEST(nor_where_the_news_of_ends_comes_late);
    CPPUNIT_TEST_SUITE_END();

public:
    void callers_beside_one_that_ends_servers_are_not_refused()
    {
        check_plays("callers_beside", news_in_time);
    }

    void nor_where_the_news_of_ends_comes_late()
    {
        check_plays("late_news", late_news_time);
    }

private:
    /// Longest times of the news from one daemon to another, in ms.
    static constexpr std::size_t news_in_time = 200;
    static constexpr std::size_t late_news_time = 700;

    static void check_plays(const std::string& name, std::size_t longest_news)
    {
        check_property(name, 500, [longest_news] {
            played_load load(*rc::gen::arbitrary<std::uint64_t>(),
                             longest_news);
            load.play();
            RC_ASSERT(load.ends() >= 3U);
            RC_ASSERT(load.ends_past_bound() == 0U);
            RC_ASSERT(load.refused_wrongly() == 0U);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(suspect_separation_test);

} // namespace barleyfork::testing
