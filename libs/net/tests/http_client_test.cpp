/// The client of control calls where the other side does not answer.

#include <barleyfork/net/duty.hpp>
#include <barleyfork/net/http_client.hpp>

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace barleyfork {

namespace {

/// A listening socket on loopback.
class loopback_listener
{
public:
    explicit loopback_listener(int backlog)
    {
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address_);
        ::bind(socket_, generic_address(), size);
        ::getsockname(socket_, generic_address(), &size);
        ::listen(socket_, backlog);
    }
    loopback_listener(const loopback_listener&) = delete;
    loopback_listener& operator=(const loopback_listener&) = delete;
    ~loopback_listener()
    {
        ::close(socket_);
    }

    int socket() const noexcept
    {
        return socket_;
    }

    sockaddr* generic_address() noexcept
    {
        return reinterpret_cast<sockaddr*>(&address_);
    }

    http_endpoint endpoint() const
    {
        return {"127.0.0.1", ntohs(address_.sin_port), ""};
    }

private:
    int socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address_{};
};

/// A listening socket whose queue is full: the kernel drops what opens
/// further connections, as a silent cut does.
class full_listener
{
public:
    full_listener()
    {
        constexpr int enough_to_fill = 4;
        for (int i = 0; i < enough_to_fill; ++i) {
            const int filler =
                ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            ::connect(filler, listener_.generic_address(), sizeof(sockaddr_in));
            fillers_.push_back(filler);
        }
        constexpr useconds_t settle_us = 50000;
        ::usleep(settle_us);
    }
    full_listener(const full_listener&) = delete;
    full_listener& operator=(const full_listener&) = delete;
    ~full_listener()
    {
        for (const int filler : fillers_)
            ::close(filler);
    }

    http_endpoint endpoint() const
    {
        return listener_.endpoint();
    }

private:
    loopback_listener listener_{0};
    std::vector<int> fillers_;
};

/// Answers one request with pieces of a body, as a full link brings them.
class slow_answerer
{
public:
    slow_answerer(int pieces, duration pause)
    {
        worker_ = std::thread([this, pieces, pause] { answer(pieces, pause); });
    }
    slow_answerer(const slow_answerer&) = delete;
    slow_answerer& operator=(const slow_answerer&) = delete;
    ~slow_answerer()
    {
        over_ = true;
        ::shutdown(listener_.socket(), SHUT_RDWR);
        worker_.join();
    }

    http_endpoint endpoint() const
    {
        return listener_.endpoint();
    }

private:
    static void write(int connection, std::string_view bytes)
    {
        // A client that gave up is seen by the test itself.
        static_cast<void>(
            ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

    void answer(int pieces, duration pause)
    {
        const int connection = ::accept(listener_.socket(), nullptr, nullptr);
        if (connection < 0)
            return;
        write(connection,
              "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(pieces) +
                  "\r\n\r\n");
        for (int i = 0; i < pieces && !over_; ++i) {
            std::this_thread::sleep_for(pause);
            write(connection, "x");
        }
        ::close(connection);
    }

    loopback_listener listener_{1};
    std::atomic<bool> over_{false};
    std::thread worker_;
};

} // namespace

class http_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_client_test);
    CPPUNIT_TEST(a_long_call_gives_up_a_hanging_connection_early);
    CPPUNIT_TEST(an_answer_that_keeps_coming_is_read_to_its_end);
    CPPUNIT_TEST(an_answer_that_stops_coming_is_given_up);
    CPPUNIT_TEST(an_answer_that_trickles_for_ever_is_given_up);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A long poll that has to connect anew behind a cut must not hang until
    /// its own end: the cut may heal long before.
    void a_long_call_gives_up_a_hanging_connection_early()
    {
        const full_listener listener;
        duty work("test", 16);
        http_client client;
        std::promise<http_reply> done;
        constexpr duration timeout{20000};
        work.spawn(call(client, listener.endpoint(), timeout, done));
        work.start();
        auto reply = done.get_future();
        constexpr std::chrono::seconds bound{5};
        const bool ended = reply.wait_for(bound) == std::future_status::ready;
        work.stop();
        work.discard();
        CPPUNIT_ASSERT(ended);
        CPPUNIT_ASSERT(reply.get().not_sent);
    }

    /// Many daemons that start together behind one narrow link each get their
    /// large answer late; to give up and ask again would only fill the link.
    void an_answer_that_keeps_coming_is_read_to_its_end()
    {
        constexpr int pieces = 8;
        const auto reply = ask_slow(pieces, duration{300});
        CPPUNIT_ASSERT(!reply.error);
        CPPUNIT_ASSERT_EQUAL(std::size_t{pieces}, reply.body.size());
    }

    void an_answer_that_stops_coming_is_given_up()
    {
        const auto reply = ask_slow(2, duration{3000});
        CPPUNIT_ASSERT(kind_of(reply.error.code) == errc::timeout);
    }

    /// No silence is long, and the end never comes.
    void an_answer_that_trickles_for_ever_is_given_up()
    {
        constexpr int pieces = 1000;
        const auto reply = ask_slow(pieces, duration{100}, duration{500});
        CPPUNIT_ASSERT(kind_of(reply.error.code) == errc::timeout);
    }

private:
    /// Asks with a timeout of one second.
    static http_reply ask_slow(int pieces,
                               duration pause,
                               duration longest_answer = duration{15000})
    {
        const slow_answerer answerer(pieces, pause);
        duty work("test", 16);
        http_client client;
        std::promise<http_reply> done;
        constexpr duration timeout{1000};
        work.spawn(
            call(client, answerer.endpoint(), timeout, done, longest_answer));
        work.start();
        auto reply = done.get_future().get();
        work.stop();
        work.discard();
        return reply;
    }

    static boost::asio::awaitable<void> call(http_client& client,
                                             http_endpoint endpoint,
                                             duration timeout,
                                             std::promise<http_reply>& done,
                                             duration longest_answer = duration{
                                                 15000})
    {
        http_call request;
        request.target = "/";
        request.timeout = timeout;
        request.longest_answer = longest_answer;
        done.set_value(co_await client.call(endpoint, std::move(request)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);

} // namespace barleyfork
