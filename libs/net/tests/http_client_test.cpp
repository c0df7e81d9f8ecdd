/// Tests the HTTP client for control calls against servers that respond late,
/// partially or not at all.

#include <barleyfork/net/http_client.hpp>
#include <barleyfork/net/io_worker.hpp>
#include <barleyfork/testing/loopback_listener.hpp>

#include <array>
#include <atomic>
#include <cerrno>
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

using testing::loopback_listener;

http_endpoint endpoint_of(const loopback_listener& listener)
{
    return {"127.0.0.1", listener.port(), ""};
}

/// A listening socket whose backlog is full: the kernel drops the packets that
/// open further connections, like a network partition that drops packets.
class full_listener
{
public:
    full_listener()
    {
        constexpr int filler_count = 4;
        for (int i = 0; i < filler_count; ++i) {
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
        return endpoint_of(listener_);
    }

private:
    loopback_listener listener_{0};
    std::vector<int> fillers_;
};

/// Responds to one request with pieces of a body, as over a saturated link.
class slow_server
{
public:
    slow_server(int pieces, duration pause, std::string status = "200 OK")
        : status_(std::move(status))
    {
        worker_ = std::thread([this, pieces, pause] { answer(pieces, pause); });
    }
    slow_server(const slow_server&) = delete;
    slow_server& operator=(const slow_server&) = delete;
    ~slow_server()
    {
        is_stopping_ = true;
        ::shutdown(listener_.socket(), SHUT_RDWR);
        worker_.join();
    }

    http_endpoint endpoint() const
    {
        return endpoint_of(listener_);
    }

private:
    static void write(int connection, std::string_view bytes)
    {
        // The test itself checks whether the client closed the connection.
        static_cast<void>(
            ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

    void answer(int pieces, duration pause)
    {
        const int connection = ::accept(listener_.socket(), nullptr, nullptr);
        if (connection < 0)
            return;
        write(connection,
              "HTTP/1.1 " + status_ +
                  "\r\nContent-Length: " + std::to_string(pieces) + "\r\n\r\n");
        for (int i = 0; i < pieces && !is_stopping_; ++i) {
            std::this_thread::sleep_for(pause);
            write(connection, "x");
        }
        ::close(connection);
    }

    loopback_listener listener_{1};
    std::string status_;
    std::atomic<bool> is_stopping_{false};
    std::thread worker_;
};

} // namespace

class http_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_client_test);
    CPPUNIT_TEST(a_hanging_connection_fails_before_a_long_call_times_out);
    CPPUNIT_TEST(a_slow_steady_response_is_read_completely);
    CPPUNIT_TEST(a_response_that_stalls_times_out);
    CPPUNIT_TEST(an_endless_response_times_out);
    CPPUNIT_TEST(a_call_that_is_given_up_is_reset);
    CPPUNIT_TEST(a_status_that_is_none_is_an_error);
    CPPUNIT_TEST(a_connection_that_stays_idle_is_closed);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a long poll that reconnects during a network partition
    /// and hangs until its own timeout: the partition may end long before.
    void a_hanging_connection_fails_before_a_long_call_times_out()
    {
        const full_listener listener;
        io_worker work("test", 16);
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

    /// Many daemons that start together behind one narrow link each receive
    /// their large response late; retries would only saturate the link.
    void a_slow_steady_response_is_read_completely()
    {
        constexpr int pieces = 8;
        const auto reply = call_slow_server(pieces, duration{300});
        CPPUNIT_ASSERT(!reply.error);
        CPPUNIT_ASSERT_EQUAL(std::size_t{pieces}, reply.body.size());
    }

    void a_response_that_stalls_times_out()
    {
        const auto reply = call_slow_server(2, duration{3000});
        CPPUNIT_ASSERT(kind_of(reply.error.code) == errc::timeout);
    }

    /// Every pause is below the limit, but the response does not end in time.
    void an_endless_response_times_out()
    {
        constexpr int pieces = 1000;
        const auto reply =
            call_slow_server(pieces, duration{100}, duration{500});
        CPPUNIT_ASSERT(kind_of(reply.error.code) == errc::timeout);
    }

    /// An order that its sender gave up during a partition arrived after the
    /// partition, beside those of the next holder: the kernel went on sending.
    void a_call_that_is_given_up_is_reset()
    {
        const loopback_listener listener{1};
        io_worker work("test", 16);
        http_client client;
        std::promise<http_reply> done;
        constexpr duration timeout{200};
        work.spawn(call(client, endpoint_of(listener), timeout, done));
        work.start();
        const int connection = ::accept(listener.socket(), nullptr, nullptr);
        const auto reply = done.get_future().get();
        const int error = read_to_the_end(connection);
        ::close(connection);
        work.stop();
        work.discard();
        CPPUNIT_ASSERT(kind_of(reply.error.code) == errc::timeout);
        CPPUNIT_ASSERT_EQUAL(ECONNRESET, error);
    }

    /// Orders, reports and calls to the store are read by this client.
    void a_status_that_is_none_is_an_error()
    {
        for (const char* status : {"000", "099", "101", "600", "999"}) {
            const auto reply = call_server(
                slow_server(0, duration{0}, std::string(status) + " reason"));
            CPPUNIT_ASSERT_MESSAGE(status, reply.error);
            CPPUNIT_ASSERT_MESSAGE(
                status, kind_of(reply.error.code) == errc::connection_lost);
        }
    }

    /// Guards against a descriptor for each server that was ever called and
    /// then replaced, where its side stays open.
    void a_connection_that_stays_idle_is_closed()
    {
        constexpr duration max_idle_time{100};
        const loopback_listener replaced{1};
        const slow_server other(0, duration{0});
        io_worker work("test", 16);
        http_client client(max_idle_time);
        work.start();
        std::promise<http_reply> first;
        constexpr duration timeout{1000};
        work.spawn(call(client, endpoint_of(replaced), timeout, first));
        const int connection = ::accept(replaced.socket(), nullptr, nullptr);
        answer_one_request(connection);
        CPPUNIT_ASSERT(!first.get_future().get().error);
        std::this_thread::sleep_for(2 * max_idle_time);
        std::promise<http_reply> second;
        work.spawn(call(client, other.endpoint(), timeout, second));
        CPPUNIT_ASSERT(!second.get_future().get().error);
        const int error = read_to_the_end(connection);
        ::close(connection);
        work.stop();
        work.discard();
        CPPUNIT_ASSERT_EQUAL(0, error);
    }

private:
    /// Leaves the connection open, with a limit of 1 s on what follows.
    static void answer_one_request(int connection)
    {
        std::array<char, 1024> request{};
        CPPUNIT_ASSERT(::recv(connection, request.data(), request.size(), 0) >
                       0);
        constexpr std::string_view answer =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        static_cast<void>(
            ::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL));
        const timeval limit{1, 0};
        ::setsockopt(
            connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    }

    /// Returns the error that ends a connection; 0 if it was closed.
    static int read_to_the_end(int connection)
    {
        std::array<char, 1024> bytes{};
        ssize_t got = 0;
        do {
            got = ::recv(connection, bytes.data(), bytes.size(), 0);
        } while (got > 0);
        return got < 0 ? errno : 0;
    }

    /// Calls a slow server with a timeout of one second.
    static http_reply call_slow_server(
        int pieces, duration pause, duration max_answer_time = duration{15000})
    {
        return call_server(slow_server(pieces, pause), max_answer_time);
    }

    static http_reply call_server(const slow_server& server,
                                  duration max_answer_time = duration{15000})
    {
        io_worker work("test", 16);
        http_client client;
        std::promise<http_reply> done;
        constexpr duration timeout{1000};
        work.spawn(
            call(client, server.endpoint(), timeout, done, max_answer_time));
        work.start();
        auto reply = done.get_future().get();
        work.stop();
        work.discard();
        return reply;
    }

    static boost::asio::awaitable<void>
    call(http_client& client,
         http_endpoint endpoint,
         duration timeout,
         std::promise<http_reply>& done,
         duration max_answer_time = duration{15000})
    {
        http_call request;
        request.target = "/";
        request.timeout = timeout;
        request.max_answer_time = max_answer_time;
        done.set_value(co_await client.call(endpoint, std::move(request)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);

} // namespace barleyfork
