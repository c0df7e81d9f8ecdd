#ifndef BARLEYFORK_NET_SOCKET_OPTIONS_HPP
#define BARLEYFORK_NET_SOCKET_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>

namespace barleyfork {

/// Sends small writes at once, and makes the kernel find out within seconds
/// that the other end is gone or the way to it is silent.
void set_live_options(boost::asio::ip::tcp::socket& socket);

} // namespace barleyfork

#endif
