#ifndef BARLEYFORK_NET_SOCKET_OPTIONS_HPP
#define BARLEYFORK_NET_SOCKET_OPTIONS_HPP

#include <barleyfork/base/time.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace barleyfork {

/// Time within which a server that is alive takes or acknowledges bytes.
inline constexpr duration max_server_stall{3500};

/// Disables the delay of small writes, and makes the kernel detect that the
/// peer has closed or that the network path drops packets: after `max_stall`
/// without progress of unacknowledged bytes. A peer that does not read makes no
/// progress either.
void set_liveness_options(boost::asio::ip::tcp::socket& socket,
                          duration max_stall);

/// Sets whether closing the socket resets its connection and discards unsent
/// bytes, instead of delivering them.
void set_reset_on_close(boost::asio::ip::tcp::socket& socket, bool resets);

} // namespace barleyfork

#endif
