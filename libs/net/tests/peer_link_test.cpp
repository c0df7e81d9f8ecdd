/// Guards against memory that is taken by frames which are only declared.

#include <barleyfork/net/frame.hpp>
#include <barleyfork/net/io_worker.hpp>
#include <barleyfork/net/peer_link.hpp>
#include <barleyfork/testing/process_memory.hpp>

#include <arpa/inet.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace barleyfork {

namespace {

namespace asio = boost::asio;
using testing::resident_mb;

constexpr std::size_t capacity = 64;
constexpr std::size_t senders = 24;
constexpr const char* secret = "secret";

std::string header_of_length(std::size_t length)
{
    std::string header(frame_header_bytes, '\0');
    boost::endian::store_big_u32(
        reinterpret_cast<unsigned char*>(header.data()),
        static_cast<std::uint32_t>(length));
    return header;
}

/// A link that listens on loopback, and the messages that it received.
class listening_link
{
public:
    listening_link()
    {
        port_ = link_.listen("127.0.0.1", 0);
        worker_.start();
    }
    listening_link(const listening_link&) = delete;
    listening_link& operator=(const listening_link&) = delete;
    ~listening_link()
    {
        worker_.stop();
        worker_.discard();
    }

    asio::ip::tcp::endpoint endpoint() const
    {
        return {asio::ip::address_v4::loopback(), port_};
    }

    bool has_received()
    {
        constexpr std::chrono::seconds patience(5);
        return received_.get_future().wait_for(patience) ==
               std::future_status::ready;
    }

private:
    io_worker worker_{"test", capacity};
    std::promise<void> received_;
    peer_link link_{worker_, "127.0.0.1", secret, [this](const auto&) {
                        received_.set_value();
                    }};
    std::uint16_t port_ = 0;
};

std::string frame_with_body(std::size_t bytes)
{
    schema::peer_message_record message;
    message.sender = std::make_unique<schema::member_record>();
    message.sender->instance = "entry-1";
    // Does not compress: each byte depends on all before it.
    std::uint32_t state = 1;
    for (std::size_t i = 0; i < bytes; ++i) {
        state = state * 1664525 + 1013904223;
        message.body.push_back(static_cast<std::uint8_t>(state >> 24));
    }
    return encode_frame(message, secret);
}

} // namespace

class peer_link_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_link_test);
    CPPUNIT_TEST(a_declared_frame_takes_no_memory);
    CPPUNIT_TEST(a_long_frame_is_received);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Whoever reaches the port may declare a length; no secret is needed.
    void a_declared_frame_takes_no_memory()
    {
        const listening_link link;
        asio::io_context loop;
        const auto before = resident_mb();
        std::vector<asio::ip::tcp::socket> sockets;
        for (std::size_t i = 0; i < senders; ++i) {
            auto& socket = sockets.emplace_back(loop);
            socket.connect(link.endpoint());
            asio::write(socket,
                        asio::buffer(header_of_length(max_frame_bytes)));
        }
        constexpr std::chrono::milliseconds settling(500);
        std::this_thread::sleep_for(settling);
        constexpr std::size_t max_growth_mb = 16;
        CPPUNIT_ASSERT(resident_mb() <= before + max_growth_mb);
    }

    void a_long_frame_is_received()
    {
        listening_link link;
        asio::io_context loop;
        asio::ip::tcp::socket socket(loop);
        socket.connect(link.endpoint());
        constexpr std::size_t body_bytes = 1000001;
        asio::write(socket, asio::buffer(frame_with_body(body_bytes)));
        CPPUNIT_ASSERT(link.has_received());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_link_test);

} // namespace barleyfork
