/// Unit tests of the parts on which the gateway bases its decisions: routes,
/// the directory of servers, the shared retry budget, loads, the choice of a
/// server, lease renewals and the memory budget.

#include <barleyfork/core/backend_directory.hpp>
#include <barleyfork/core/backend_loads.hpp>
#include <barleyfork/core/gateway_configuration.hpp>
#include <barleyfork/core/lease.hpp>
#include <barleyfork/core/memory_budget.hpp>
#include <barleyfork/core/pace_estimator.hpp>
#include <barleyfork/core/server_choice.hpp>
#include <barleyfork/testing/property.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace barleyfork {

namespace {

constexpr time_point start{duration{100000}};

gateway_route make_route(const char* host, const char* prefix)
{
    gateway_route route;
    route.name = prefix;
    route.host = host;
    route.prefix = prefix;
    return route;
}

backend_entry make_entry(const char* id, const char* model)
{
    backend_entry entry;
    entry.id = server_id(id);
    entry.held.started_ms = 1;
    entry.held.models.push_back({model_id(model), true, {"a1"}});
    return entry;
}

server_candidate make_candidate(const char* id, distance away)
{
    server_candidate candidate;
    candidate.server = server_id(id);
    candidate.away = away;
    return candidate;
}

/// Adds a route to the service w, of a priority and a latency target.
void add_route(gateway_configuration& configuration,
               const char* prefix,
               std::uint32_t priority,
               duration target)
{
    auto route = make_route("h", prefix);
    route.priority = priority;
    route.latency_target = target;
    route.services = {{service_id("w"), 1}};
    configuration.routes.push_back(route);
}

} // namespace

class gateway_parts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_parts_test);
    CPPUNIT_TEST(route_with_the_longest_prefix_of_the_host_matches);
    CPPUNIT_TEST(services_are_chosen_by_weight);
    CPPUNIT_TEST(urgent_routes_have_the_longest_queue_target_of_less_urgent);
    CPPUNIT_TEST(queues_are_kept_within_the_tightest_target);
    CPPUNIT_TEST(missing_server_is_kept_only_after_an_outage);
    CPPUNIT_TEST(missing_server_is_gone_once_others_know_the_list_without_it);
    CPPUNIT_TEST(entries_that_differ_in_heartbeats_only_are_recognised);
    CPPUNIT_TEST(announced_state_is_valid_until_the_list_has_caught_up);
    CPPUNIT_TEST(older_updates_of_the_lease_holder_are_ignored);
    CPPUNIT_TEST(refused_model_is_not_requested_until_the_refusal_expires);
    CPPUNIT_TEST(misdirected_server_is_not_usable_until_a_new_process);
    CPPUNIT_TEST(less_urgent_work_does_not_count);
    CPPUNIT_TEST(work_of_peers_is_counted_once);
    CPPUNIT_TEST(less_urgent_work_of_peers_is_not_expected_to_delay);
    CPPUNIT_TEST(failing_server_is_chosen_last);
    CPPUNIT_TEST(near_servers_are_preferred_until_they_are_loaded);
    CPPUNIT_TEST(servers_within_the_uncertainty_are_chosen_equally_often);
    CPPUNIT_TEST(open_connections_are_preferred_among_equal_servers);
    CPPUNIT_TEST(caller_timeout_is_the_longest_of_three);
    CPPUNIT_TEST(pace_estimate_converges);
    CPPUNIT_TEST(late_renewal_extends_the_lease_from_its_sending_time);
    CPPUNIT_TEST(a_free_lease_is_not_waited_for);
    CPPUNIT_TEST(announcements_of_a_process_expire_with_it);
    CPPUNIT_TEST(announcements_of_an_older_process_are_ignored);
    CPPUNIT_TEST(organisations_go_before_routes_in_the_order_of_requests);
    CPPUNIT_TEST(shares_follow_the_rates_of_organisations);
    CPPUNIT_TEST(memory_is_shared_up_to_its_limits);
    CPPUNIT_TEST(the_largest_user_gives_up_its_memory_for_smaller_ones);
    CPPUNIT_TEST(a_small_user_has_memory_in_any_case);
    CPPUNIT_TEST_SUITE_END();

public:
    void route_with_the_longest_prefix_of_the_host_matches()
    {
        gateway_configuration configuration;
        configuration.routes = {make_route("a.example", "/x/"),
                                make_route("a.example", "/x/y/"),
                                make_route("b.example", "/x/y/z/")};
        const auto* found =
            match_route(configuration, "A.example:80", "/x/y/z/1");
        CPPUNIT_ASSERT(found != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("/x/y/"), found->prefix);
        CPPUNIT_ASSERT(match_route(configuration, "a.example", "/xy/") ==
                       nullptr);
        CPPUNIT_ASSERT(match_route(configuration, "c.example", "/x/") ==
                       nullptr);
    }

    void services_are_chosen_by_weight()
    {
        auto route = make_route("a", "/");
        route.services = {{service_id("p"), 90}, {service_id("q"), 10}};
        CPPUNIT_ASSERT_EQUAL(std::string("p"),
                             choose_service(route, 89)->value());
        CPPUNIT_ASSERT_EQUAL(std::string("q"),
                             choose_service(route, 199)->value());
        route.services.clear();
        CPPUNIT_ASSERT(choose_service(route, 1) == nullptr);
    }

    void urgent_routes_have_the_longest_queue_target_of_less_urgent()
    {
        gateway_configuration configuration;
        add_route(configuration, "/urgent/", 0, duration{600});
        add_route(configuration, "/middle/", 1, duration{800});
        add_route(configuration, "/patient/", 2, duration{1500});
        add_route(configuration, "/last/", 3, duration{700});
        derive_from_entries(configuration);
        const auto target = [&](int index) {
            return configuration.routes.at(index).queue_target;
        };
        CPPUNIT_ASSERT(target(0) == duration{1500});
        CPPUNIT_ASSERT(target(1) == duration{1500});
        CPPUNIT_ASSERT(target(2) == duration{1500});
        CPPUNIT_ASSERT(target(3) == duration{700});
    }

    void queues_are_kept_within_the_tightest_target()
    {
        gateway_configuration configuration;
        add_route(configuration, "/urgent/", 0, duration{800});
        add_route(configuration, "/middle/", 1, duration{1000});
        add_route(configuration, "/patient/", 2, duration{15000});
        add_route(configuration, "/tight/", 3, duration{500});
        derive_from_entries(configuration);
        const auto target = [&](int index) {
            return configuration.routes.at(index).room_target;
        };
        CPPUNIT_ASSERT(target(0) == duration{800});
        CPPUNIT_ASSERT(target(1) == duration{800});
        CPPUNIT_ASSERT(target(2) == duration{800});
        CPPUNIT_ASSERT(target(3) == duration{500});
    }

    void missing_server_is_kept_only_after_an_outage()
    {
        backend_directory directory;
        directory.update(make_entry("s", "m"));
        directory.remove(server_id("s"), start);
        CPPUNIT_ASSERT(directory.find(server_id("s")) == nullptr);

        directory.update(make_entry("s", "m"));
        directory.set_store_reachable(false, start);
        directory.remove(server_id("s"), start);
        directory.set_store_reachable(true, start + duration{500});
        CPPUNIT_ASSERT(directory.expire(start + duration{1000}, start).empty());
        CPPUNIT_ASSERT(directory.find(server_id("s")) != nullptr);
        const auto later =
            start + duration{500} + backend_directory::outage_grace_period;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             directory.expire(later, start).size());
    }

    /// Others, which reach the store, still know the list 2 s after the server
    /// has left it.
    void missing_server_is_gone_once_others_know_the_list_without_it()
    {
        constexpr auto grace = backend_directory::outage_grace_period;
        backend_directory directory;
        directory.update(make_entry("s", "m"));
        directory.set_store_reachable(false, start);
        const auto missing_at = start + duration{3000};
        directory.remove(server_id("s"), missing_at);
        const auto now = missing_at + grace + duration{500};
        const auto too_early = missing_at + grace - duration{1};
        CPPUNIT_ASSERT(directory.expire(now, too_early).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             directory.expire(now, missing_at + grace).size());
        CPPUNIT_ASSERT(directory.find(server_id("s")) == nullptr);
    }

    /// Every server sends a heartbeat each second; only entries with other
    /// changes are forwarded between failure domains.
    void entries_that_differ_in_heartbeats_only_are_recognised()
    {
        const auto earlier = make_entry("i", "m");
        auto later = earlier;
        later.heartbeats = 9;
        CPPUNIT_ASSERT(
            backend_entry::differ_in_heartbeats_only(earlier, later));
        auto leaving = later;
        leaving.draining = true;
        CPPUNIT_ASSERT(
            !backend_entry::differ_in_heartbeats_only(earlier, leaving));
        auto restarted = later;
        restarted.held.started_ms = 2;
        CPPUNIT_ASSERT(
            !backend_entry::differ_in_heartbeats_only(earlier, restarted));
        auto unloaded = later;
        unloaded.held.models.clear();
        CPPUNIT_ASSERT(
            !backend_entry::differ_in_heartbeats_only(earlier, unloaded));
    }

    void announced_state_is_valid_until_the_list_has_caught_up()
    {
        backend_directory directory;
        directory.set_max_list_lag(duration{2500});
        directory.update(make_entry("s", "m"));
        resident_state held;
        held.started_ms = 1;
        held.models.push_back({model_id("n"), true, {}});
        CPPUNIT_ASSERT(directory.learn(server_id("s"), held, {1, 1}, start));
        directory.update(make_entry("s", "m"));
        const auto* state = directory.find(server_id("s"));
        CPPUNIT_ASSERT(holds(*state, "n", start) == holding::all);
        CPPUNIT_ASSERT(holds(*state, "m", start) == holding::none);
        const auto later = start + duration{2500};
        CPPUNIT_ASSERT(holds(*state, "m", later) == holding::all);
    }

    void older_updates_of_the_lease_holder_are_ignored()
    {
        backend_directory directory;
        directory.update(make_entry("s", "m"));
        CPPUNIT_ASSERT(directory.learn(server_id("s"), {}, {2, 5}, start));
        CPPUNIT_ASSERT(!directory.learn(server_id("s"), {}, {2, 4}, start));
        CPPUNIT_ASSERT(!directory.learn(server_id("s"), {}, {1, 9}, start));
        CPPUNIT_ASSERT(directory.learn(server_id("s"), {}, {3, 1}, start));
    }

    void refused_model_is_not_requested_until_the_refusal_expires()
    {
        backend_directory directory;
        directory.update(make_entry("s", "m"));
        directory.not_held(server_id("s"), model_id("m"), "a1", start);
        const auto* state = directory.find(server_id("s"));
        const auto with_adapter = [state](time_point now) {
            return backend_directory::holds(*state, model_id("m"), "a1", now);
        };
        CPPUNIT_ASSERT(with_adapter(start) == holding::model_only);
        CPPUNIT_ASSERT(holds(*state, "m", start) == holding::all);
        CPPUNIT_ASSERT(with_adapter(start + backend_directory::refusal_ttl) ==
                       holding::all);
    }

    void misdirected_server_is_not_usable_until_a_new_process()
    {
        backend_directory directory;
        directory.update(make_entry("s", "m"));
        directory.mark_misdirected(server_id("s"));
        directory.update(make_entry("s", "m"));
        CPPUNIT_ASSERT(!directory.find(server_id("s"))->usable());
        auto entry = make_entry("s", "m");
        entry.held.started_ms = 2;
        directory.update(entry);
        CPPUNIT_ASSERT(directory.find(server_id("s"))->usable());
    }

    void less_urgent_work_does_not_count()
    {
        backend_loads loads;
        const server_id server("s");
        loads.begin(server, 1000, 2, start);
        loads.begin(server, 500, 0, start);
        const auto later = start + duration{50};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{500},
                             loads.view(server, 0, later).own_waiting_tokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1500},
                             loads.view(server, 2, later).own_waiting_tokens);
    }

    void work_of_peers_is_counted_once()
    {
        backend_loads loads;
        const server_id server("s");
        loads.begin(server, 1000, 0, start);
        const peer_work all{server_hash(server), 3, {{2500, 0, 0}}};
        const auto others = loads.subtract_own_work({&all, 1});
        loads.on_peer_work(instance_id("all"), others, start);
        const auto view = loads.view(server, 0, start);
        CPPUNIT_ASSERT_EQUAL(2U, view.peer_outstanding);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1500}, view.peer_tokens);
        const auto stale = loads.view(server, 0, start + duration{5000});
        CPPUNIT_ASSERT_EQUAL(0U, stale.peer_outstanding);
    }

    /// A request overtakes the waiting less urgent requests of peers, so they
    /// must not count as its delay.
    void less_urgent_work_of_peers_is_not_expected_to_delay()
    {
        backend_loads loads;
        const server_id server("s");
        const peer_work work{server_hash(server), 30, {{1000, 60000, 0}}};
        loads.on_peer_work(instance_id("all"), {&work, 1}, start);
        loads.begin(server, 100, 0, start);
        loads.reported(server, 10, 20, start);
        engine_work own;
        own.prompt_tokens = 1000;
        own.ms_per_token = 0.05;
        own.base_ms = 0.0;
        server_candidate candidate;
        candidate.load = loads.view(server, 0, start);
        const auto urgent = expected_first_event_ms(candidate, own);
        candidate.load = loads.view(server, 1, start);
        const auto usual = expected_first_event_ms(candidate, own);
        constexpr double min_ratio = 10.0;
        CPPUNIT_ASSERT(usual > min_ratio * urgent);
    }

    void failing_server_is_chosen_last()
    {
        backend_loads loads;
        const server_id server("bad");
        for (int i = 0; i < 3; ++i)
            loads.end(server,
                      loads.begin(server, 0, 0, start),
                      load_outcome::failed,
                      start);
        std::vector<server_candidate> candidates{
            make_candidate("bad", distance::same_domain),
            make_candidate("good", distance::other_region)};
        candidates[0].load = loads.view(server, 0, start);
        const auto chosen = choose_plain_server(candidates, 30.0, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *chosen);
        candidates[0].load = loads.view(server, 0, start + duration{60000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             *choose_plain_server(candidates, 30.0, 0));
    }

    void near_servers_are_preferred_until_they_are_loaded()
    {
        std::vector<server_candidate> candidates{
            make_candidate("near", distance::same_domain),
            make_candidate("far", distance::other_region)};
        const engine_work work{1000, 0.05, 30.0};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             *choose_engine(candidates, work, 1));
        candidates[0].load.own_waiting_tokens = 20000;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             *choose_engine(candidates, work, 1));
        CPPUNIT_ASSERT(!choose_engine({}, work, 1));
    }

    /// Daemons that base their choice on the same stale updates must not all
    /// choose the one server with the lowest load in them.
    void servers_within_the_uncertainty_are_chosen_equally_often()
    {
        std::vector<server_candidate> candidates{
            make_candidate("a", distance::same_domain),
            make_candidate("b", distance::same_domain),
            make_candidate("c", distance::same_domain)};
        constexpr std::uint32_t small_load = 20;
        constexpr std::uint32_t large_load = 400;
        candidates[1].load.peer_outstanding = small_load;
        candidates[2].load.peer_outstanding = large_load;
        engine_work work;
        work.uncertainty_ms = 40.0;
        std::map<std::size_t, int> chosen;
        constexpr std::uint64_t draws = 100;
        for (std::uint64_t draw = 0; draw < draws; ++draw)
            ++chosen[*choose_engine(candidates, work, draw)];
        CPPUNIT_ASSERT_EQUAL(50, chosen[0]);
        CPPUNIT_ASSERT_EQUAL(50, chosen[1]);
        work.uncertainty_ms = 0.0;
        for (std::uint64_t draw = 0; draw < draws; ++draw)
            CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                                 *choose_engine(candidates, work, draw));
    }

    void open_connections_are_preferred_among_equal_servers()
    {
        std::vector<server_candidate> candidates{
            make_candidate("a", distance::same_domain),
            make_candidate("b", distance::same_domain)};
        candidates[1].connected = true;
        candidates[1].load.peer_outstanding = 2;
        engine_work work;
        work.uncertainty_ms = 40.0;
        constexpr std::uint64_t draws = 10;
        for (std::uint64_t draw = 0; draw < draws; ++draw)
            CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                                 *choose_engine(candidates, work, draw));
    }

    void caller_timeout_is_the_longest_of_three()
    {
        gateway_route route;
        route.latency_target = duration{100};
        CPPUNIT_ASSERT(route.caller_timeout() == duration{2000});
        route.latency_target = duration{800};
        CPPUNIT_ASSERT(route.caller_timeout() == duration{3200});
        route.pause_target = duration{500};
        CPPUNIT_ASSERT(route.caller_timeout() == duration{4000});
    }

    void pace_estimate_converges()
    {
        pace_estimator pace;
        constexpr int samples = 60;
        for (int i = 1; i <= samples; ++i) {
            const std::uint64_t tokens = 100U * static_cast<unsigned>(i % 20);
            pace.observe(tokens, duration(50 + tokens / 50));
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.02, pace.ms_per_token(), 0.002);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, pace.base_ms(), 5.0);
    }

    /// A renewal that arrives late must not extend the lease of its crashed
    /// sender by a further term.
    void late_renewal_extends_the_lease_from_its_sending_time()
    {
        lease_options options;
        options.term = duration{5000};
        lease candidate(instance_id("b"), options);
        candidate.observe({instance_id("a"), 3, "w1"}, 10, start);
        const auto later = start + duration{4000};
        candidate.observe(
            {instance_id("a"), 3, "w2"}, 11, later, duration{3800});
        CPPUNIT_ASSERT(!candidate.next_write(true, "x", later));
        const auto end = start + duration{5200};
        CPPUNIT_ASSERT(candidate.expires_at() == end);
        const auto row = candidate.next_write(true, "x", end);
        CPPUNIT_ASSERT(row.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, row->epoch);
    }

    /// A candidate whose write failed would check again only a term later.
    void a_free_lease_is_not_waited_for()
    {
        lease candidate(instance_id("b"), lease_options());
        candidate.observe({instance_id(), 3, "released"}, 10, start);
        CPPUNIT_ASSERT(candidate.next_write(true, "w1", start).has_value());
        CPPUNIT_ASSERT(candidate.expires_at() == start);
        const lease_row of_backup{instance_id(), 3, "released"};
        candidate.observe(
            of_backup, 11, start, duration{0}, row_origin::backup);
        CPPUNIT_ASSERT(!candidate.next_write(true, "w2", start));
        CPPUNIT_ASSERT(candidate.expires_at() == start + lease_options().term);
    }

    void announcements_of_a_process_expire_with_it()
    {
        backend_directory directory;
        auto entry = make_entry("s", "m");
        directory.update(entry);
        CPPUNIT_ASSERT(directory.leaves(entry.id, 1));
        CPPUNIT_ASSERT(!directory.leaves(entry.id, 1));
        directory.turned_away(entry.id, 1, start + duration{3000});
        directory.turned_away(entry.id, 1, start + duration{1000});
        // The entry in the list still shows the process as ready.
        directory.update(entry);
        const auto* state = directory.find(entry.id);
        CPPUNIT_ASSERT(!state->usable());
        CPPUNIT_ASSERT(state->rejects_requests(start + duration{2999}));
        entry.held.started_ms = 2;
        directory.update(entry);
        CPPUNIT_ASSERT(state->usable());
        CPPUNIT_ASSERT(!state->rejects_requests(start));
    }

    void announcements_of_an_older_process_are_ignored()
    {
        backend_directory directory;
        const auto entry = make_entry("s", "m");
        directory.update(entry);
        CPPUNIT_ASSERT(!directory.leaves(entry.id, 0));
        directory.turned_away(entry.id, 0, start + duration{3000});
        CPPUNIT_ASSERT(directory.find(entry.id)->usable());
        CPPUNIT_ASSERT(!directory.find(entry.id)->rejects_requests(start));
    }

    void organisations_go_before_routes_in_the_order_of_requests()
    {
        gateway_configuration configuration;
        configuration.routes.resize(2);
        configuration.routes[0].priority = 2;
        configuration.routes[1].priority = 5;
        const auto& urgent = configuration.routes[0];
        const auto& other = configuration.routes[1];
        derive_from_entries(configuration);
        CPPUNIT_ASSERT_EQUAL(5U,
                             request_priority(configuration, other, nullptr));
        configuration.organisations.resize(3);
        configuration.organisations[0].priority = 1;
        configuration.organisations[1].priority = 1;
        derive_from_entries(configuration);
        const auto* first = &configuration.organisations[0];
        const auto* second = &configuration.organisations[1];
        const auto* plain = &configuration.organisations[2];
        const auto rank = [&configuration](const auto& route,
                                           const auto* organisation) {
            return request_priority(configuration, route, organisation);
        };
        CPPUNIT_ASSERT_EQUAL(0U, rank(urgent, first));
        CPPUNIT_ASSERT_EQUAL(0U, rank(urgent, second));
        CPPUNIT_ASSERT_EQUAL(1U, rank(other, first));
        CPPUNIT_ASSERT_EQUAL(2U, rank(urgent, plain));
        CPPUNIT_ASSERT_EQUAL(3U, rank(other, plain));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, configuration.priorities.size());
    }

    void shares_follow_the_rates_of_organisations()
    {
        gateway_configuration configuration;
        configuration.organisations.resize(3);
        configuration.organisations[0].quota.per_second = 100.0;
        configuration.organisations[1].quota.per_second = 300.0;
        derive_from_entries(configuration);
        const auto weight = [&configuration](std::size_t index) {
            return configuration.organisations[index].share_weight;
        };
        CPPUNIT_ASSERT_EQUAL(100.0, weight(0));
        CPPUNIT_ASSERT_EQUAL(300.0, weight(1));
        CPPUNIT_ASSERT_EQUAL(300.0, weight(2));
    }

    void memory_is_shared_up_to_its_limits()
    {
        memory_budget budget(100, 60);
        memory_budget::share one(budget);
        CPPUNIT_ASSERT(!one.resize(61));
        CPPUNIT_ASSERT(one.resize(60));
        {
            memory_budget::share other(budget);
            CPPUNIT_ASSERT(!other.resize(41));
            CPPUNIT_ASSERT(other.resize(40));
            CPPUNIT_ASSERT(one.resize(10));
            CPPUNIT_ASSERT(other.resize(60));
            CPPUNIT_ASSERT_EQUAL(std::size_t{70}, budget.held());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, budget.held());
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, budget.grown(16, 16));
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, budget.grown(16, 17));
        CPPUNIT_ASSERT_EQUAL(std::size_t{60}, budget.grown(40, 41));
        CPPUNIT_ASSERT_EQUAL(std::size_t{61}, budget.grown(60, 61));
    }

    void a_small_user_has_memory_in_any_case()
    {
        memory_budget budget(100, 100, 8);
        memory_budget::share keeps(budget);
        memory_budget::share small(budget);
        CPPUNIT_ASSERT(keeps.resize(100));
        CPPUNIT_ASSERT(!small.resize(9));
        CPPUNIT_ASSERT(small.resize(8));
        CPPUNIT_ASSERT_EQUAL(std::size_t{108}, budget.held());
        CPPUNIT_ASSERT(small.resize(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, budget.held());
    }

    void the_largest_user_gives_up_its_memory_for_smaller_ones()
    {
        memory_budget budget(100, 60);
        memory_budget::share keeps(budget);
        memory_budget::share middle(budget);
        memory_budget::share large(budget);
        memory_budget::share small(budget);
        middle.on_reclaimed([&middle] { middle.resize(0); });
        large.on_reclaimed([&large] { large.resize(0); });
        small.on_reclaimed([&small] { small.resize(0); });
        CPPUNIT_ASSERT(keeps.resize(45));
        CPPUNIT_ASSERT(middle.resize(20));
        CPPUNIT_ASSERT(large.resize(30));
        CPPUNIT_ASSERT(small.resize(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, large.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, middle.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{75}, budget.held());
        // The largest of those that give way needs more itself.
        CPPUNIT_ASSERT(!middle.resize(50));
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, middle.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, small.size());
    }

private:
    static holding
    holds(const backend_state& state, const char* model, time_point now)
    {
        return backend_directory::holds(state, model_id(model), "", now);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_parts_test);

} // namespace barleyfork
