#include <barleyfork/net/socket_options.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

constexpr int first_probe_delay_s = 1;
constexpr int probe_interval_s = 1;
constexpr int max_lost_probes = 3;

template <int Level, int Name>
using int_option = asio::detail::socket_option::integer<Level, Name>;

} // namespace

void set_liveness_options(asio::ip::tcp::socket& socket, duration max_stall)
{
    // A socket whose peer has closed rejects options; its next read or write
    // reports the error.
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(
        int_option<IPPROTO_TCP, TCP_KEEPIDLE>(first_probe_delay_s), ignored);
    socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPINTVL>(probe_interval_s),
                      ignored);
    socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPCNT>(max_lost_probes),
                      ignored);
    socket.set_option(int_option<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                          static_cast<int>(max_stall.count())),
                      ignored);
}

void set_reset_on_close(asio::ip::tcp::socket& socket, bool resets)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(resets, 0), ignored);
}

} // namespace barleyfork
