#include <barleyfork/base/digest.hpp>
#include <barleyfork/schema/deployment_delta.hpp>
#include <barleyfork/schema/toml_reader.hpp>
#include <barleyfork/testing/property.hpp>

namespace barleyfork::testing {

namespace {

constexpr const char* settings_text = R"(
instance = "entry-0"
region = "parana"
failure_domain = "parana-0"
operator_key_digest = "00"
[caller_listen]
address = "127.0.0.1"
[operator_listen]
address = "127.0.0.1"
[peer_listen]
address = "127.0.0.1"
[platform]
table_url = "http://127.0.0.1:1"
object_url = "http://127.0.0.1:1"
instance_list_url = "http://127.0.0.1:1"
[peer]
secret = "s"
)";

/// Returns a declaration of numbered models in which model `without` is absent
/// and model `changed` has another version.
std::string make_declaration(int models, int without, int changed)
{
    std::string text = "name = \"d\"\n[[organisations]]\nname = \"o\"\n";
    for (int i = 0; i < models; ++i) {
        if (i == without)
            continue;
        text += "[[models]]\nname = \"m" + std::to_string(i) +
                "\"\nowner = \"o\"\nsource = \"s\"\nmemory_mib = 10\n"
                "version = " +
                std::to_string(i == changed ? 2 : 1) + "\n";
    }
    return text;
}

class toml_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(toml_reader_test);
    CPPUNIT_TEST(valid_settings_have_defaults);
    CPPUNIT_TEST(errors_name_line_key_and_allowed_values);
    CPPUNIT_TEST(applied_delta_gives_the_next_declaration);
    CPPUNIT_TEST(order_of_entries_does_not_matter);
    CPPUNIT_TEST(malformed_bytes_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    static std::string error_of(const std::string& text)
    {
        schema::daemon_settings_record settings;
        return parse_settings(text, "f.toml", settings).detail;
    }

    static void expect_error(const std::string& text,
                             const std::string& expected)
    {
        const auto seen = error_of(text);
        CPPUNIT_ASSERT_MESSAGE(seen, seen.find(expected) != std::string::npos);
    }

public:
    void valid_settings_have_defaults()
    {
        schema::daemon_settings_record settings;
        CPPUNIT_ASSERT(!parse_settings(settings_text, "f.toml", settings));
        CPPUNIT_ASSERT_EQUAL(3U, settings.routing->max_tries);
        CPPUNIT_ASSERT_EQUAL(2000U, settings.platform->poll_interval_ms);
    }

    void errors_name_line_key_and_allowed_values()
    {
        const std::string text(settings_text);
        expect_error("", "key caller_listen: given nothing");
        expect_error(
            text + "[routing]\nmax_tries = 99\n",
            "f.toml, line 19, key max_tries: given 99, allowed 1 to 10");
        expect_error(text + "[routing]\nmax_tries = \"x\"\n",
                     "given 'x', allowed a whole number");
        expect_error(text + "[routing]\nstrategy = \"best\"\n",
                     "allowed one of: power_of_two random least_reported");
        expect_error(text + "[routing]\nunknown = 1\n", "key unknown: given 1");
        expect_error(text + "[[\n", "f.toml, line 1");
        expect_error(text + "x = \n", "f.toml, line 18");
    }

    void applied_delta_gives_the_next_declaration()
    {
        check_property("delta", 200, [] {
            const auto models = *rc::gen::inRange(1, 12);
            const auto pick = rc::gen::inRange(-1, 12);
            schema::deployment_record base;
            schema::deployment_record next;
            RC_ASSERT(!parse_deployment(
                make_declaration(models, *pick, *pick), "a", base));
            RC_ASSERT(!parse_deployment(
                make_declaration(models, *pick, *pick), "b", next));
            const auto digest = content_digest(encode_deployment(base));
            const auto change = encode_delta(base, digest, next);
            RC_ASSERT(kind_of(apply_delta(base, "other", change).code) ==
                      errc::conflict);
            RC_ASSERT(!apply_delta(base, digest, change));
            RC_ASSERT(encode_deployment(base) == encode_deployment(next));
        });
    }

    void order_of_entries_does_not_matter()
    {
        const std::string head = "name = \"d\"\n";
        const std::string a = "[[organisations]]\nname = \"a\"\n";
        const std::string b = "[[organisations]]\nname = \"b\"\n";
        schema::deployment_record one;
        schema::deployment_record other;
        CPPUNIT_ASSERT(!parse_deployment(head + a + b, "1", one));
        CPPUNIT_ASSERT(!parse_deployment(head + b + a, "2", other));
        CPPUNIT_ASSERT_EQUAL(encode_deployment(one), encode_deployment(other));
    }

    void malformed_bytes_are_rejected()
    {
        schema::deployment_record record;
        CPPUNIT_ASSERT(decode_deployment("nonsense", record).code);
        schema::deployment_record base;
        CPPUNIT_ASSERT(apply_delta(base, "x", "nonsense").code);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(toml_reader_test);

} // namespace

} // namespace barleyfork::testing
