#include <barleyfork/net/frame.hpp>
#include <barleyfork/net/url.hpp>
#include <barleyfork/testing/property.hpp>

namespace barleyfork::testing {

namespace {

std::string make_frame()
{
    schema::peer_message_record message;
    message.sender = std::make_unique<schema::member_record>();
    message.sender->instance = "entry-1";
    message.sequence = 7;
    return encode_frame(message, "secret");
}

failure decode(const std::string& frame,
               std::string_view secret,
               schema::peer_message_record& out)
{
    const std::string_view view(frame);
    std::size_t length = 0;
    if (auto error =
            decode_frame_length(view.substr(0, frame_header_bytes), length))
        return error;
    return decode_frame(view.substr(0, frame_header_bytes),
                        view.substr(frame_header_bytes),
                        secret,
                        out);
}

class frame_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(frame_test);
    CPPUNIT_TEST(frame_round_trips);
    CPPUNIT_TEST(a_configuration_is_compressed);
    CPPUNIT_TEST(changed_frames_are_rejected);
    CPPUNIT_TEST(urls_are_checked);
    CPPUNIT_TEST_SUITE_END();

public:
    void frame_round_trips()
    {
        schema::peer_message_record message;
        CPPUNIT_ASSERT(!decode(make_frame(), "secret", message));
        CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), message.sender->instance);
        CPPUNIT_ASSERT(kind_of(decode(make_frame(), "other", message).code) ==
                       errc::forbidden);
    }

    /// Guards against an uncompressed configuration of 1700 routes, which would
    /// saturate a narrow link.
    void a_configuration_is_compressed()
    {
        schema::peer_message_record message;
        message.sender = std::make_unique<schema::member_record>();
        message.sender->instance = "entry-1";
        constexpr int routes = 1700;
        for (int i = 0; i < routes; ++i) {
            const auto route = R"({"name":"r)" + std::to_string(i * 7919) +
                               R"(","host":"h.example","kind":"safe"})";
            message.body.insert(message.body.end(), route.begin(), route.end());
        }
        const auto frame = encode_frame(message, "secret");
        CPPUNIT_ASSERT(frame.size() < message.body.size() / 4);
        schema::peer_message_record back;
        CPPUNIT_ASSERT(!decode(frame, "secret", back));
        CPPUNIT_ASSERT(back.body == message.body);
    }

    void changed_frames_are_rejected()
    {
        check_property("frame", 500, [] {
            auto frame = make_frame();
            const auto place = static_cast<std::size_t>(
                *rc::gen::inRange(0, static_cast<int>(frame.size())));
            const auto flip = *rc::gen::inRange(1, 256);
            frame[place] = static_cast<char>(frame[place] ^ flip);
            schema::peer_message_record message;
            // The length only limits the read; the tag covers the rest.
            if (place >= 4)
                RC_ASSERT(decode(frame, "secret", message).code);
        });
    }

    void urls_are_checked()
    {
        http_endpoint endpoint;
        CPPUNIT_ASSERT(!parse_url("http://127.0.0.1:80/base/", endpoint));
        CPPUNIT_ASSERT_EQUAL(std::string("/base"), endpoint.base_path);
        for (const auto* wrong :
             {"", "127.0.0.1", "https://127.0.0.1:1", "http://127.0.0.1"})
            CPPUNIT_ASSERT(parse_url(wrong, endpoint).code);
        CPPUNIT_ASSERT_EQUAL(std::string("a b"),
                             query_value("x=1&y=a%20b", "y"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(frame_test);

} // namespace

} // namespace barleyfork::testing
