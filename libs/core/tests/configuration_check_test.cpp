/// Tests the check of a configuration before it is sent.

#include <barleyfork/core/configuration_changes.hpp>
#include <barleyfork/core/configuration_check.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace barleyfork {

namespace {

gateway_route make_route(std::string name, std::string prefix)
{
    gateway_route route;
    route.name = std::move(name);
    route.host = "h.example";
    route.prefix = std::move(prefix);
    route.kind = call_kind::stream;
    route.timeout = duration{5000};
    route.latency_target = duration{800};
    route.services.push_back({service_id("drafts"), 1});
    return route;
}

gateway_configuration make_sound()
{
    gateway_configuration configuration;
    configuration.version = 7;
    configuration.routes.push_back(make_route("r-1", "/a/"));
    gateway_service service;
    service.id = service_id("drafts");
    engine_options engine;
    engine.slots = 64;
    engine.memory_mb = 1000;
    engine.max_adapters = 8;
    engine.loads_per_second = 1.0;
    engine.models.push_back({model_id("m"), 600, {}, {}, {}, 2, 10});
    service.engine = engine;
    configuration.services.push_back(service);
    gateway_organisation organisation;
    organisation.id = organisation_id("north");
    organisation.key_digests = {"d1", "d2"};
    organisation.quota = {100.0, 50.0, 20};
    configuration.organisations.push_back(organisation);
    configuration.requires_keys = true;
    return configuration;
}

/// Checks that a configuration has exactly one finding.
void check_only(const gateway_configuration& configuration,
                finding_kind kind,
                const std::string& place,
                const std::string& part)
{
    const auto found = check_configuration(configuration);
    std::string all;
    for (const auto& finding : found)
        all += finding.place + ": " + finding.text + "\n";
    CPPUNIT_ASSERT_EQUAL_MESSAGE(all, std::size_t{1}, found.size());
    CPPUNIT_ASSERT_MESSAGE(all, found.front().kind == kind);
    CPPUNIT_ASSERT_EQUAL(place, found.front().place);
    CPPUNIT_ASSERT_MESSAGE(all,
                           found.front().text.find(part) != std::string::npos);
}

} // namespace

class configuration_check_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_check_test);
    CPPUNIT_TEST(a_sound_configuration_has_no_finding);
    CPPUNIT_TEST(dangling_names_are_errors);
    CPPUNIT_TEST(what_does_not_fit_is_an_error);
    CPPUNIT_TEST(entries_that_nothing_matches_are_named);
    CPPUNIT_TEST(contradicting_limits_are_named);
    CPPUNIT_TEST(a_key_of_two_organisations_identifies_nobody);
    CPPUNIT_TEST(changes_name_entries_and_never_keys);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_sound_configuration_has_no_finding()
    {
        CPPUNIT_ASSERT(check_configuration(make_sound()).empty());
        CPPUNIT_ASSERT(describe_changes(make_sound(), make_sound()).empty());
    }

    void dangling_names_are_errors()
    {
        auto dangling = make_sound();
        dangling.routes.front().services.push_back({service_id("none"), 1});
        check_only(
            dangling, finding_kind::error, "route r-1", "none is not declared");
        auto twice = make_sound();
        twice.routes.push_back(make_route("r-1", "/b/"));
        check_only(twice, finding_kind::error, "route r-1", "same name");
    }

    void what_does_not_fit_is_an_error()
    {
        auto large = make_sound();
        large.services.front().engine->models.front().memory_mb = 1200;
        check_only(large,
                   finding_kind::error,
                   "service drafts, model m",
                   "needs 1200 MB, but a server has 1000 MB");
    }

    void entries_that_nothing_matches_are_named()
    {
        auto shadowed = make_sound();
        shadowed.routes.push_back(make_route("r-2", "/a/"));
        check_only(
            shadowed, finding_kind::unreachable, "route r-2", "route r-1");
        auto with_port = make_sound();
        with_port.routes.front().host = "h.example:80";
        check_only(
            with_port, finding_kind::unreachable, "route r-1", "names a port");
        auto unused = make_sound();
        unused.services.push_back({service_id("spare"), 0, std::nullopt});
        check_only(unused,
                   finding_kind::unreachable,
                   "service spare",
                   "no route leads to it");
        auto keyless = make_sound();
        keyless.organisations.front().key_digests.clear();
        check_only(
            keyless, finding_kind::unreachable, "organisation north", "no key");
    }

    void contradicting_limits_are_named()
    {
        auto late = make_sound();
        late.routes.front().latency_target = duration{6000};
        check_only(late,
                   finding_kind::contradiction,
                   "route r-1",
                   "6000 ms is beyond its timeout of 5000 ms");
        auto repeated = make_sound();
        repeated.routes.front().kind = call_kind::at_most_once;
        repeated.routes.front().max_runs = 2;
        check_only(repeated,
                   finding_kind::contradiction,
                   "route r-1",
                   "may not be repeated");
        auto small = make_sound();
        small.organisations.front().quota = {10.0, 5.0, 20};
        check_only(small,
                   finding_kind::contradiction,
                   "organisation north",
                   "without a token count");
        auto idle = make_sound();
        idle.limits.idle_timeout = duration{100};
        check_only(idle, finding_kind::contradiction, "limits", "100 ms");
    }

    void a_key_of_two_organisations_identifies_nobody()
    {
        auto shared = make_sound();
        gateway_organisation south;
        south.id = organisation_id("south");
        south.key_digests = {"d2"};
        shared.organisations.push_back(south);
        check_only(shared,
                   finding_kind::error,
                   "organisation south",
                   "one of its keys is also one of north");
    }

    void changes_name_entries_and_never_keys()
    {
        auto next = make_sound();
        next.routes.front().timeout = duration{4000};
        next.routes.push_back(make_route("r-2", "/b/"));
        next.organisations.front().key_digests = {"d2", "d3", "d4"};
        next.services.front().engine->models.clear();
        const auto changes = describe_changes(make_sound(), next);
        const std::vector<std::string> expected{
            "~ route r-1: timeout 5000 ms -> 4000 ms;",
            "+ route r-2",
            "~ service drafts: - model m;",
            "~ organisation north: 2 keys added; 1 keys withdrawn;"};
        CPPUNIT_ASSERT(changes == expected);
        const auto back = describe_changes(next, make_sound());
        CPPUNIT_ASSERT(std::find(back.begin(), back.end(), "- route r-2") !=
                       back.end());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_check_test);

} // namespace barleyfork
