/// Lists of the platform with entries that another writer left.

#include <barleyfork/store/row_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace barleyfork {

class row_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(row_codec_test);
    CPPUNIT_TEST(an_odd_entry_hides_no_other_instance);
    CPPUNIT_TEST(a_deeply_nested_entry_hides_no_other_instance);
    CPPUNIT_TEST(an_unreadable_entry_hides_no_other_instance);
    CPPUNIT_TEST(brackets_in_texts_nest_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_odd_entry_hides_no_other_instance()
    {
        for (const char* odd :
             {"null",
              "[]",
              "{}",
              R"({"instance":7})",
              R"({"instance":"x","address":"a","port":70000})",
              R"({"instance":"x","address":"a","port":-1})",
              R"({"instance":"x","address":"a","port":1e300})",
              R"({"instance":"x","address":"a","port":99999999999999999999})"})
            check_beside_sound_entry(odd);
    }

    void a_deeply_nested_entry_hides_no_other_instance()
    {
        for (const std::size_t levels : {40U, 5000U, 200000U}) {
            std::string objects;
            for (std::size_t i = 0; i < levels; ++i)
                objects += R"({"instance":)";
            check_beside_sound_entry(objects + "1" + std::string(levels, '}'));
            check_beside_sound_entry(std::string(levels, '[') +
                                     std::string(levels, ']'));
        }
    }

    void an_unreadable_entry_hides_no_other_instance()
    {
        check_beside_sound_entry("{\"instance\":\"\xff\xfe\"}");
        check_beside_sound_entry(
            "{\"instance\":\"\xc3\",\"role\":\"daemon\",\"state\":\"live\","
            "\"address\":\"127.0.0.1\",\"port\":7,\"region\":\"r\","
            "\"failure_domain\":\"z\"}");
    }

    void brackets_in_texts_nest_nothing()
    {
        const auto brackets = std::string(100, '[') + R"(\"\\)";
        check_beside_sound_entry(R"({"instance":")" + brackets + R"("})");
        check_beside_sound_entry(R"({")" + brackets + R"(":[[[]],{}]})");
    }

private:
    static void check_beside_sound_entry(const std::string& odd)
    {
        std::vector<listed_instance> listed;
        const auto text = R"({"instances":[)" + odd + "," + sound_entry + "]}";
        const auto seen = odd.substr(0, 200);
        CPPUNIT_ASSERT_MESSAGE(seen, !decode(text, listed));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, std::size_t{1}, listed.size());
        CPPUNIT_ASSERT(listed.front().id == instance_id("entry-1"));
    }

    static constexpr const char* sound_entry =
        R"({"instance":"entry-1","role":"daemon","state":"live",)"
        R"("address":"127.0.0.1","port":7321,"region":"r",)"
        R"("failure_domain":"z"})";
};

CPPUNIT_TEST_SUITE_REGISTRATION(row_codec_test);

} // namespace barleyfork
