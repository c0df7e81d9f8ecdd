#ifndef BARLEYFORK_NET_SOCKETS_HPP
#define BARLEYFORK_NET_SOCKETS_HPP

#include <barleyfork/base/time.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace barleyfork {

/// Opens, binds and listens; false on failure, with the reason logged.
bool open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                   const std::string& address,
                   std::uint16_t port);

/// True where a kept connection is open and holds no bytes that nobody asked
/// for; only such a one may be used again.
bool is_quiet(boost::asio::ip::tcp::socket& socket);

/// A time point of ours as Asio's timers take it.
inline std::chrono::steady_clock::time_point to_deadline(time_point at)
{
    return std::chrono::steady_clock::time_point(at.time_since_epoch());
}

} // namespace barleyfork

#endif
