#include <barleyfork/net/socket_options.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

constexpr int first_probe_s = 1;
constexpr int probe_interval_s = 1;
constexpr int lost_probes = 3;
constexpr int unacknowledged_ms = 3500;

template <int Level, int Name>
using int_option = asio::detail::socket_option::integer<Level, Name>;

} // namespace

void set_live_options(asio::ip::tcp::socket& socket)
{
    // A socket whose peer is gone already refuses options; its next read or
    // write tells so.
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPIDLE>(first_probe_s),
                      ignored);
    socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPINTVL>(probe_interval_s),
                      ignored);
    socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPCNT>(lost_probes),
                      ignored);
    socket.set_option(
        int_option<IPPROTO_TCP, TCP_USER_TIMEOUT>(unacknowledged_ms), ignored);
}

} // namespace barleyfork
