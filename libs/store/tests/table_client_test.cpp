/// Tests which answers of the table service are believed on a kept connection,
/// on which a copy of an earlier answer may come first.

#include <barleyfork/net/io_worker.hpp>
#include <barleyfork/store/table_client.hpp>
#include <barleyfork/testing/loopback_listener.hpp>

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace barleyfork {

namespace {

constexpr std::size_t ring_capacity = 16;

std::string answer_text(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Answers the requests on one connection in turn.
class scripted_table
{
public:
    explicit scripted_table(std::vector<std::string> bodies)
        : bodies_(std::move(bodies))
    {
        server_ = std::thread([this] { serve(); });
        worker_.start();
    }
    scripted_table(const scripted_table&) = delete;
    scripted_table& operator=(const scripted_table&) = delete;
    ~scripted_table()
    {
        worker_.stop();
        ::shutdown(listener_.socket(), SHUT_RDWR);
        server_.join();
    }

    table_write write()
    {
        return run<table_write>([this](auto& result) { return write(result); });
    }

    table_read read()
    {
        return run<table_read>([this](auto& result) { return read(result); });
    }

private:
    template <typename Result, typename Work>
    Result run(Work work)
    {
        std::promise<Result> promise;
        auto result = promise.get_future();
        worker_.spawn(work(promise));
        return result.get();
    }

    boost::asio::awaitable<void> write(std::promise<table_write>& result)
    {
        auto written = co_await client_.write("k", 0, "{}");
        result.set_value(std::move(written));
    }

    boost::asio::awaitable<void> read(std::promise<table_read>& result)
    {
        auto found = co_await client_.read("k");
        result.set_value(std::move(found));
    }

    void serve()
    {
        const int connection = ::accept(listener_.socket(), nullptr, nullptr);
        std::array<char, 4096> request{};
        for (const auto& body : bodies_) {
            if (::recv(connection, request.data(), request.size(), 0) <= 0)
                break;
            const auto text = answer_text(body);
            ::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
        }
        ::close(connection);
    }

    std::vector<std::string> bodies_;
    testing::loopback_listener listener_{1};
    std::thread server_;
    io_worker worker_{"table", ring_capacity};
    table_client client_{{"127.0.0.1", listener_.port(), ""}, duration{2000}};
};

} // namespace

class table_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_client_test);
    CPPUNIT_TEST(an_answer_from_before_a_write_does_not_confirm_it);
    CPPUNIT_TEST(a_row_of_another_key_is_no_answer);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_answer_from_before_a_write_does_not_confirm_it()
    {
        scripted_table table({R"({"version":7})", R"({"version":7})"});
        CPPUNIT_ASSERT(table.write().outcome == write_outcome::done);
        CPPUNIT_ASSERT(table.write().outcome == write_outcome::unknown);
    }

    void a_row_of_another_key_is_no_answer()
    {
        scripted_table table({R"({"key":"k","version":7,"value":{}})",
                              R"({"key":"other","version":8,"value":{}})"});
        CPPUNIT_ASSERT(!table.read().error);
        CPPUNIT_ASSERT(table.read().error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_client_test);

} // namespace barleyfork
