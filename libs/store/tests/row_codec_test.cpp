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
        {
            std::vector<listed_instance> listed;
            const auto text = std::string(R"({"instances":[)") + odd + "," +
                              sound_entry + "]}";
            CPPUNIT_ASSERT_MESSAGE(odd, !decode(text, listed));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::size_t{1}, listed.size());
            CPPUNIT_ASSERT(listed.front().id == instance_id("entry-1"));
        }
    }

private:
    static constexpr const char* sound_entry =
        R"({"instance":"entry-1","role":"daemon","state":"live",)"
        R"("address":"127.0.0.1","port":7321,"region":"r",)"
        R"("failure_domain":"z"})";
};

CPPUNIT_TEST_SUITE_REGISTRATION(row_codec_test);

} // namespace barleyfork
