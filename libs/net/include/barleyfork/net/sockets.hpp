#ifndef BARLEYFORK_NET_SOCKETS_HPP
#define BARLEYFORK_NET_SOCKETS_HPP

#include <barleyfork/base/time.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace barleyfork {

/// Opens, binds and listens; returns false on failure, whose reason is logged.
bool open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                   const std::string& address,
                   std::uint16_t port);

/// Returns true if a kept connection is open and has no unsolicited bytes
/// pending; only such a connection may be reused.
bool is_reusable_connection(boost::asio::ip::tcp::socket& socket);

/// Converts a time point to the type that Asio's timers use.
inline std::chrono::steady_clock::time_point to_deadline(time_point at)
{
    return std::chrono::steady_clock::time_point(at.time_since_epoch());
}

} // namespace barleyfork

#endif
