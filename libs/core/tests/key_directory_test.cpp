/// Whose key it is, and what is known too long ago to say so.

#include <barleyfork/core/key_directory.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace barleyfork {

namespace {

constexpr key_bounds bounds{duration{5000}, duration{3200}};

gateway_organisation make_organisation(const char* id,
                                       std::vector<std::string> digests)
{
    gateway_organisation made;
    made.id = organisation_id(id);
    made.key_digests = std::move(digests);
    return made;
}

gateway_configuration make_configuration()
{
    gateway_configuration made;
    made.requires_keys = true;
    made.organisations.push_back(make_organisation("north", {"n1", "both"}));
    made.organisations.push_back(make_organisation("south", {"s1", "both"}));
    return made;
}

} // namespace

class key_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(key_directory_test);
    CPPUNIT_TEST(a_key_of_two_organisations_identifies_none);
    CPPUNIT_TEST(only_one_word_after_the_scheme_is_a_key);
    CPPUNIT_TEST(without_organisations_no_key_is_needed);
    CPPUNIT_TEST(public_routes_need_no_key);
    CPPUNIT_TEST(old_knowledge_accepts_no_key);
    CPPUNIT_TEST(a_key_that_may_be_new_is_not_called_unknown);
    CPPUNIT_TEST(a_request_without_a_key_is_refused_at_any_age);
    CPPUNIT_TEST(without_a_bound_old_knowledge_goes_on);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_key_of_two_organisations_identifies_none()
    {
        const auto configuration = make_configuration();
        const key_directory keys(configuration);
        CPPUNIT_ASSERT(keys.find("n1") == &configuration.organisations[0]);
        CPPUNIT_ASSERT(keys.find("s1") == &configuration.organisations[1]);
        CPPUNIT_ASSERT(keys.find("both") == nullptr);
        CPPUNIT_ASSERT(keys.find("") == nullptr);
    }

    void only_one_word_after_the_scheme_is_a_key()
    {
        CPPUNIT_ASSERT(parse_bearer_key("Bearer k") == "k");
        CPPUNIT_ASSERT(parse_bearer_key("bEARER  k= ") == "k=");
        for (const char* other : {"",
                                  "Bearer",
                                  "Bearer ",
                                  "Bearer  ",
                                  "Bearerk",
                                  "Basic k",
                                  "Bearer k l",
                                  "Bearer k\tl",
                                  "k"})
            CPPUNIT_ASSERT(!parse_bearer_key(other));
    }

    void without_organisations_no_key_is_needed()
    {
        const gateway_configuration configuration;
        const auto decision = decide_on_key(
            configuration, key_directory(), nullptr, "", std::nullopt, bounds);
        CPPUNIT_ASSERT(decision.verdict == key_verdict::not_needed);
    }

    void public_routes_need_no_key()
    {
        gateway_route route;
        route.is_public = true;
        CPPUNIT_ASSERT(decide(&route, "", duration{9000}) ==
                       key_verdict::not_needed);
        CPPUNIT_ASSERT(decide(&route, "n1", duration{0}) ==
                       key_verdict::not_needed);
    }

    void old_knowledge_accepts_no_key()
    {
        CPPUNIT_ASSERT(decide(&route_, "n1", duration{4900}) ==
                       key_verdict::accepted);
        CPPUNIT_ASSERT(decide(&route_, "n1", duration{5000}) ==
                       key_verdict::unconfirmed);
        CPPUNIT_ASSERT(decide(&route_, "n1", std::nullopt) ==
                       key_verdict::unconfirmed);
    }

    void a_key_that_may_be_new_is_not_called_unknown()
    {
        CPPUNIT_ASSERT(decide(&route_, "x", duration{3200}) ==
                       key_verdict::unknown);
        CPPUNIT_ASSERT(decide(&route_, "x", duration{3201}) ==
                       key_verdict::unconfirmed);
        CPPUNIT_ASSERT(decide(nullptr, "x", duration{0}) ==
                       key_verdict::unknown);
    }

    void a_request_without_a_key_is_refused_at_any_age()
    {
        CPPUNIT_ASSERT(decide(&route_, "", duration{0}) ==
                       key_verdict::unknown);
        CPPUNIT_ASSERT(decide(&route_, "", duration{9000}) ==
                       key_verdict::unknown);
        CPPUNIT_ASSERT(decide(nullptr, "", duration{9000}) ==
                       key_verdict::unconfirmed);
    }

    void without_a_bound_old_knowledge_goes_on()
    {
        CPPUNIT_ASSERT(!is_too_old_for_keys(std::nullopt, {}));
        CPPUNIT_ASSERT(!is_too_old_for_keys(duration{3600000}, {}));
    }

private:
    static key_verdict decide(const gateway_route* route,
                              const std::string& digest,
                              std::optional<duration> age)
    {
        const auto configuration = make_configuration();
        const key_directory keys(configuration);
        return decide_on_key(configuration, keys, route, digest, age, bounds)
            .verdict;
    }

    gateway_route route_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_directory_test);

} // namespace barleyfork
