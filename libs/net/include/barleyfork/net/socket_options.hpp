#ifndef BARLEYFORK_NET_SOCKET_OPTIONS_HPP
#define BARLEYFORK_NET_SOCKET_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>

namespace barleyfork {

/// Disables the delay of small writes, and makes the kernel detect within
/// seconds that the peer has closed or that the network path drops packets.
void set_liveness_options(boost::asio::ip::tcp::socket& socket);

/// Sets whether closing the socket resets its connection and discards unsent
/// bytes, instead of delivering them.
void set_reset_on_close(boost::asio::ip::tcp::socket& socket, bool resets);

} // namespace barleyfork

#endif
