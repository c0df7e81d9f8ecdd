/// Guards against heads that cost more than their length, and against numbers
/// in a peer's head that are believed as they stand.

#include "http_text.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <ctime>
#include <string>

namespace barleyfork {

namespace {

/// Forwards the header `kept` whatever a caller says of it.
class keeping_codec : public call_codec
{
public:
    request_metadata parse_request_metadata(const header_list&) const override
    {
        return {};
    }
    bool is_reserved(std::string_view) const override
    {
        return false;
    }
    bool names_organisation(std::string_view) const override
    {
        return false;
    }
    bool is_always_forwarded(std::string_view name) const override
    {
        return name == "kept";
    }
    header_list
    make_forwarding_headers(const forwarding_metadata&) const override
    {
        return {};
    }
    answer_metadata
    read_answer(unsigned, const header_list&, const server_id&) const override
    {
        return {};
    }
};

header_list make_headers(std::size_t count)
{
    header_list headers{{"Connection", "listed"}};
    while (headers.size() < count)
        headers.emplace_back("x" + std::to_string(headers.size()), "");
    return headers;
}

/// The processor time that the headers of `times` messages take.
std::clock_t time_of(const header_list& headers, int times)
{
    const auto before = std::clock();
    for (int i = 0; i < times; ++i)
        CPPUNIT_ASSERT_EQUAL(
            headers.size() - 1,
            end_to_end_headers(headers, keeping_codec()).size());
    return std::clock() - before;
}

} // namespace

class http_text_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_text_test);
    CPPUNIT_TEST(an_idle_timeout_is_one_that_a_clock_holds);
    CPPUNIT_TEST(headers_that_a_connection_lists_are_not_forwarded);
    CPPUNIT_TEST(many_headers_cost_no_more_each_than_few);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_idle_timeout_is_one_that_a_clock_holds()
    {
        CPPUNIT_ASSERT(keep_alive_timeout({{"Keep-Alive", "timeout=7"}}) ==
                       duration{7000});
        for (const char* value : {"timeout=9223372036854775807",
                                  "timeout=9223372036854776",
                                  "timeout=99999999999"})
        {
            const auto timeout = keep_alive_timeout({{"Keep-Alive", value}});
            CPPUNIT_ASSERT_MESSAGE(value, timeout == duration{86400000});
        }
        for (const char* value : {"timeout=-1",
                                  "timeout=x",
                                  "max=5",
                                  "timeout=99999999999999999999"})
            CPPUNIT_ASSERT_MESSAGE(
                value, !keep_alive_timeout({{"Keep-Alive", value}}));
    }

    void headers_that_a_connection_lists_are_not_forwarded()
    {
        const header_list headers{{"connection", "close, First"},
                                  {"FIRST", "1"},
                                  {"Connection", "second,kept"},
                                  {"second", "2"},
                                  {"kept", "3"},
                                  {"third", "4"},
                                  {"TE", "trailers"}};
        const auto left = end_to_end_headers(headers, keeping_codec());
        CPPUNIT_ASSERT(left == (header_list{{"kept", "3"}, {"third", "4"}}));
    }

    /// A limit on a head's bytes bounds what it costs only if each of its
    /// headers costs the same.
    void many_headers_cost_no_more_each_than_few()
    {
        constexpr int times = 100;
        constexpr std::size_t few = 300;
        constexpr std::clock_t margin = 10;
        const auto few_each = time_of(make_headers(few), times);
        CPPUNIT_ASSERT(time_of(make_headers(times * few), 1) <=
                       margin * few_each);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_text_test);

} // namespace barleyfork
