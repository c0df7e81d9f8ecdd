/// Guards against answers whose end is misread, and against declared sizes that
/// are believed. An answer without a length must not be taken for whole
/// although its connection was reset: while the request is still being written,
/// the reset reaches the write alone, and the read sees an orderly end.

#include "backend_connection.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <new>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace barleyfork {

namespace {

namespace asio = boost::asio;
using ms = std::chrono::milliseconds;

/// Far more than the buffers of both sides take.
constexpr std::size_t long_request_bytes = 8000000;
constexpr std::size_t short_request_bytes = 10;
constexpr int small_window_bytes = 16384;
constexpr std::size_t read_bytes = 65536;
/// The time in which what was sent has arrived.
constexpr ms settling(100);
const std::string head_text = "HTTP/1.1 200 OK\r\n\r\n";
const std::string body_text = "a part or the whole";

/// How a server ends its connection after it has answered.
enum class ending
{
    /// Reads the whole request first.
    in_order,
    /// Closes its side, and is gone before it has read the request.
    in_order_then_reset,
    /// Resets the connection.
    reset,
    /// Closes while bytes of the request are unread.
    unread_bytes,
};

/// Returns the port.
std::uint16_t listen_on_loopback(int descriptor)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    ::bind(descriptor, generic, size);
    ::listen(descriptor, 1);
    ::getsockname(descriptor, generic, &size);
    return ntohs(address.sin_port);
}

void reset_on_close(int descriptor)
{
    const linger at_once{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

void read_to_the_end(int descriptor, std::size_t bytes)
{
    std::string part(read_bytes, '\0');
    while (bytes > 0) {
        const auto size = ::recv(descriptor, part.data(), part.size(), 0);
        if (size <= 0)
            return;
        bytes -= std::min(bytes, static_cast<std::size_t>(size));
    }
}

/// Accepts one connection on loopback with a small window, lets a script serve
/// it, and closes it.
class loopback_server
{
public:
    using script = std::function<void(int connection)>;

    explicit loopback_server(script serve)
        : serve_(std::move(serve)), listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        ::setsockopt(listener_,
                     SOL_SOCKET,
                     SO_RCVBUF,
                     &small_window_bytes,
                     sizeof(small_window_bytes));
        port_ = listen_on_loopback(listener_);
        thread_ = std::thread([this] {
            const int connection = ::accept(listener_, nullptr, nullptr);
            serve_(connection);
            ::close(connection);
        });
    }
    loopback_server(const loopback_server&) = delete;
    loopback_server& operator=(const loopback_server&) = delete;
    ~loopback_server()
    {
        thread_.join();
        ::close(listener_);
    }

    asio::ip::tcp::endpoint endpoint() const
    {
        return {asio::ip::address_v4::loopback(), port_};
    }

private:
    script serve_;
    int listener_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

void send_text(int connection, const std::string& text)
{
    ::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
}

/// Answers one request before it has read it, and ends its connection.
loopback_server::script answer_early(ending how, std::size_t request_bytes)
{
    return [=](int connection) {
        send_text(connection, head_text + body_text);
        std::this_thread::sleep_for(settling);
        if (how == ending::in_order)
            read_to_the_end(connection, request_bytes);
        if (how == ending::in_order_then_reset) {
            ::shutdown(connection, SHUT_WR);
            std::this_thread::sleep_for(settling);
        }
        if (how == ending::in_order_then_reset || how == ending::reset)
            reset_on_close(connection);
    };
}

/// Answers one request with a head and a body that ends before its size.
loopback_server::script answer_with_size(const std::string& size_lines)
{
    return [=](int connection) {
        read_to_the_end(connection, short_request_bytes);
        send_text(connection, "HTTP/1.1 200 OK\r\n" + size_lines + body_text);
    };
}

/// Answers each request of a connection with a length, and keeps it open.
void answer_and_keep(int connection)
{
    const auto text = "HTTP/1.1 200 OK\r\nContent-Length: " +
                      std::to_string(body_text.size()) + "\r\n\r\n" + body_text;
    std::string part(read_bytes, '\0');
    // A request of these tests arrives in one piece.
    while (::recv(connection, part.data(), part.size(), 0) > 0)
        send_text(connection, text);
}

/// Sends one request and notes its answer.
class noting_receiver : public answer_receiver
{
public:
    noting_receiver(std::size_t request_bytes,
                    std::function<void()> on_head,
                    std::function<void()> on_end)
        : request_bytes_(request_bytes), on_head_(std::move(on_head)),
          on_end_(std::move(on_end))
    {
    }

    outgoing_request on_send_started() override
    {
        outgoing_request request;
        request.head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                       std::to_string(request_bytes_) + "\r\n\r\n";
        request.body = std::make_shared<const std::string>(request_bytes_, 'x');
        return request;
    }

    bool on_head(const answer_head&) override
    {
        on_head_();
        return true;
    }

    void on_body(std::string_view bytes) override
    {
        body += bytes;
    }

    void on_end(exchange_result result) override
    {
        ended = result;
        on_end_();
    }

    std::string body;
    std::optional<exchange_result> ended;

private:
    std::size_t request_bytes_;
    std::function<void()> on_head_;
    std::function<void()> on_end_;
};

enum class reading
{
    at_once,
    /// After the server has ended the connection.
    late,
};

/// Returns how an exchange with such a server ends.
exchange_result exchange_with(const loopback_server::script& script,
                              std::size_t request_bytes,
                              reading when)
{
    loopback_server server(script);
    asio::io_context loop;
    timer_queue timers(loop.get_executor());
    const auto connection = std::make_shared<backend_connection>(
        loop.get_executor(), timers, server.endpoint(), 1, [](const auto&) {});
    asio::steady_timer pause(loop);
    const auto on_head = [&] {
        if (when == reading::at_once)
            return;
        connection->pause();
        pause.expires_after(4 * settling);
        pause.async_wait([connection](const auto&) { connection->resume(); });
    };
    const auto receiver = std::make_shared<noting_receiver>(
        request_bytes, on_head, [&loop] { loop.stop(); });
    connection->exchange("try-1", false, receiver);
    constexpr std::chrono::seconds patience(5);
    loop.run_for(patience);
    connection->cancel();
    CPPUNIT_ASSERT(receiver->ended);
    if (*receiver->ended == exchange_result::complete)
        CPPUNIT_ASSERT_EQUAL(body_text, receiver->body);
    return *receiver->ended;
}

exchange_result
exchange_with(ending how, std::size_t request_bytes, reading when)
{
    return exchange_with(answer_early(how, request_bytes), request_bytes, when);
}

} // namespace

class backend_connection_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(backend_connection_test);
    CPPUNIT_TEST(an_answer_that_is_reset_under_its_request_is_lost);
    CPPUNIT_TEST(an_answer_that_is_reset_after_its_request_is_lost);
    CPPUNIT_TEST(an_answer_that_ends_in_order_is_whole);
    CPPUNIT_TEST(a_connection_that_was_held_back_to_its_end_goes_on);
    CPPUNIT_TEST(a_declared_length_reserves_no_memory);
    CPPUNIT_TEST(a_declared_chunk_reserves_no_memory);
    CPPUNIT_TEST(an_exception_of_the_receiver_ends_its_exchange_only);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_answer_that_is_reset_under_its_request_is_lost()
    {
        for (const auto how : {ending::reset, ending::unread_bytes})
            for (const auto when : {reading::at_once, reading::late})
                CPPUNIT_ASSERT(exchange_with(how, long_request_bytes, when) ==
                               exchange_result::lost);
    }

    void an_answer_that_is_reset_after_its_request_is_lost()
    {
        for (const auto how : {ending::reset, ending::unread_bytes})
            for (const auto when : {reading::at_once, reading::late})
                CPPUNIT_ASSERT(exchange_with(how, short_request_bytes, when) ==
                               exchange_result::lost);
    }

    /// Its end has arrived, so that nothing of it is missing, whatever becomes
    /// of the rest of the request.
    void an_answer_that_ends_in_order_is_whole()
    {
        for (const auto how : {ending::in_order, ending::in_order_then_reset})
            for (const auto when : {reading::at_once, reading::late})
                for (const auto size :
                     {short_request_bytes, long_request_bytes})
                    CPPUNIT_ASSERT(exchange_with(how, size, when) ==
                                   exchange_result::complete);
    }

    /// Guards against a kept connection that nobody reads: its caller was slow
    /// until the end of the answer.
    void a_connection_that_was_held_back_to_its_end_goes_on()
    {
        loopback_server server(answer_and_keep);
        asio::io_context loop;
        timer_queue timers(loop.get_executor());
        const auto connection = std::make_shared<backend_connection>(
            loop.get_executor(), timers, server.endpoint(), 1, [](const auto&) {
            });
        const auto hold_back = [&connection] {
            connection->pause();
        };
        for (const char* id : {"try-1", "try-2"}) {
            const auto receiver = std::make_shared<noting_receiver>(
                short_request_bytes, hold_back, [&loop] { loop.stop(); });
            connection->exchange(id, false, receiver);
            constexpr std::chrono::seconds patience(2);
            loop.restart();
            loop.run_for(patience);
            CPPUNIT_ASSERT_MESSAGE(id, receiver->ended);
            CPPUNIT_ASSERT(*receiver->ended == exchange_result::complete);
        }
        connection->cancel();
    }

    /// Guards against an answer that ends the process by the length in its
    /// head, which no memory holds: it is lost like any that breaks off.
    void a_declared_length_reserves_no_memory()
    {
        for (const char* length : {"20000000000",
                                   "888888888888888888",
                                   "9223372036854775807",
                                   "18446744073709551615"})
            CPPUNIT_ASSERT_MESSAGE(
                length,
                exchange_with(
                    answer_with_size("Content-Length: " + std::string(length) +
                                     "\r\n\r\n"),
                    short_request_bytes,
                    reading::at_once) == exchange_result::lost);
    }

    /// Guards against an exception that leaves the loop, with all other
    /// exchanges.
    void an_exception_of_the_receiver_ends_its_exchange_only()
    {
        loopback_server server(answer_and_keep);
        asio::io_context loop;
        timer_queue timers(loop.get_executor());
        const auto connection = std::make_shared<backend_connection>(
            loop.get_executor(), timers, server.endpoint(), 1, [](const auto&) {
            });
        const auto receiver = std::make_shared<noting_receiver>(
            short_request_bytes,
            [] { throw std::bad_alloc(); },
            [&loop] { loop.stop(); });
        connection->exchange("try-1", false, receiver);
        constexpr std::chrono::seconds patience(2);
        loop.run_for(patience);
        CPPUNIT_ASSERT(receiver->ended);
        CPPUNIT_ASSERT(*receiver->ended == exchange_result::malformed);
        CPPUNIT_ASSERT(!connection->is_open());
    }

    /// Guards against the same by the size of a chunk.
    void a_declared_chunk_reserves_no_memory()
    {
        for (const char* size : {"fffffffff", "ffffffffffffffff"})
            CPPUNIT_ASSERT_MESSAGE(
                size,
                exchange_with(
                    answer_with_size("Transfer-Encoding: chunked\r\n\r\n" +
                                     std::string(size) + "\r\n"),
                    short_request_bytes,
                    reading::at_once) == exchange_result::lost);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_connection_test);

} // namespace barleyfork
