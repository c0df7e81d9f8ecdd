/// Round trips of the stored attributions of a refused request, and rows of
/// another format.

#include "quarantine_row_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>

namespace barleyfork {

class quarantine_row_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quarantine_row_test);
    CPPUNIT_TEST(written_blames_are_read_back);
    CPPUNIT_TEST(written_suspicions_are_read_back);
    CPPUNIT_TEST(a_row_of_another_format_has_no_blames);
    CPPUNIT_TEST(a_row_from_the_future_has_age_zero);
    CPPUNIT_TEST_SUITE_END();

public:
    void written_blames_are_read_back()
    {
        constexpr auto large = std::numeric_limits<std::uint64_t>::max();
        const std::vector<reported_blame> blames{{{7, 1}, duration{2000}},
                                                 {{8, 5}, duration{1}},
                                                 {{7, large}, duration{2000}}};
        const auto read = decode_blames(encode_refusal(7, blames, 9000), 9500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.size());
        CPPUNIT_ASSERT((read[0].blame == crash_blame{7, 1}));
        CPPUNIT_ASSERT((read[1].blame == crash_blame{7, large}));
        CPPUNIT_ASSERT(read[0].age == duration{2500});
    }

    void written_suspicions_are_read_back()
    {
        const std::vector<reported_blame> blames{{{7, 1}, duration{2000}},
                                                 {{7, 2}, duration{2000}},
                                                 {{8, 5}, duration{1}}};
        const auto read = decode_blames(encode_suspicions(blames, 9000), 9500);
        CPPUNIT_ASSERT_EQUAL(blames.size(), read.size());
        for (std::size_t i = 0; i < blames.size(); ++i) {
            CPPUNIT_ASSERT(blames[i].blame == read[i].blame);
            CPPUNIT_ASSERT(read[i].age == blames[i].age + duration{500});
        }
        CPPUNIT_ASSERT(decode_blames(encode_suspicions({}, 9000), 1).empty());
    }

    void a_row_of_another_format_has_no_blames()
    {
        for (
            const char* row :
            {"",
             "[]",
             "{}",
             R"({"requests":{}})",
             R"({"requests":[1,null,[],{"fingerprint":1}]})",
             R"({"fingerprint":-1,"crashes":[1],"last_store_ms":1})",
             R"({"fingerprint":1.5,"crashes":[1],"last_store_ms":1})",
             R"({"fingerprint":1,"crashes":[-1,1.5,"x",null],"last_store_ms":1})",
             R"({"fingerprint":1,"crashes":[1],"last_store_ms":-1})",
             R"({"fingerprint":1,"crashes":{},"last_store_ms":1})"})
            CPPUNIT_ASSERT(decode_blames(row, 9000).empty());
    }

    /// Daemons estimate the store's clock, so a row may carry a time in the
    /// future.
    void a_row_from_the_future_has_age_zero()
    {
        const auto read = decode_blames(
            R"({"fingerprint":1,"crashes":[1],"last_store_ms":10000})", 9000);
        CPPUNIT_ASSERT(read.at(0).age == duration{0});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quarantine_row_test);

} // namespace barleyfork
