/// The client of control calls where the other side does not answer.

#include <barleyfork/net/duty.hpp>
#include <barleyfork/net/http_client.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace barleyfork {

namespace {

/// A listening socket whose queue is full: the kernel drops what opens
/// further connections, as a silent cut does.
class full_listener
{
public:
    full_listener()
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* address = reinterpret_cast<sockaddr*>(&address_);
        socklen_t size = sizeof(address_);
        ::bind(listener_, address, size);
        ::getsockname(listener_, address, &size);
        ::listen(listener_, 0);
        constexpr int enough_to_fill = 4;
        for (int i = 0; i < enough_to_fill; ++i) {
            const int filler =
                ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            ::connect(filler, address, size);
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
        ::close(listener_);
    }

    http_endpoint endpoint() const
    {
        return {"127.0.0.1", ntohs(address_.sin_port), ""};
    }

private:
    int listener_ = -1;
    sockaddr_in address_{};
    std::vector<int> fillers_;
};

} // namespace

class http_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_client_test);
    CPPUNIT_TEST(a_long_call_gives_up_a_hanging_connection_early);
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
        work.spawn(call(client, listener.endpoint(), done));
        work.start();
        auto reply = done.get_future();
        constexpr std::chrono::seconds bound{5};
        const bool ended = reply.wait_for(bound) == std::future_status::ready;
        work.stop();
        work.discard();
        CPPUNIT_ASSERT(ended);
        CPPUNIT_ASSERT(reply.get().not_sent);
    }

private:
    static boost::asio::awaitable<void> call(http_client& client,
                                             http_endpoint endpoint,
                                             std::promise<http_reply>& done)
    {
        http_call request;
        request.target = "/";
        request.timeout = duration{20000};
        done.set_value(co_await client.call(endpoint, std::move(request)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);

} // namespace barleyfork
