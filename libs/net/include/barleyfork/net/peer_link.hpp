#ifndef BARLEYFORK_NET_PEER_LINK_HPP
#define BARLEYFORK_NET_PEER_LINK_HPP

#include <barleyfork/base/time.hpp>
#include <barleyfork/net/io_worker.hpp>
#include <barleyfork/schema/peer_generated.h>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace barleyfork {

/// Address and port on which a peer listens.
struct peer_address
{
    std::string address;
    std::uint16_t port = 0;
};

/// Exchanges authenticated frames between daemons; belongs to one worker.
///
/// Messages are one-way. A message that can't be delivered is dropped: senders
/// repeat every message until it is out of date.
class peer_link
{
public:
    using receiver = std::function<void(schema::peer_message_record)>;

    /// `receive` is called on `owner`, which outlives the link. `secret`
    /// authenticates frames; `own_address` is the source of connections.
    peer_link(io_worker& owner,
              std::string own_address,
              std::string secret,
              receiver receive);

    /// Listens; returns the bound port, or 0 on failure.
    std::uint16_t listen(const std::string& address, std::uint16_t port);

    /// Sends a message; callable from any thread. With `fresh_connection` the
    /// kept connection is dropped first, since it may be unresponsive.
    void send(const peer_address& to,
              const schema::peer_message_record& message,
              bool fresh_connection);

    /// Sends one message to several peers and encodes it once. Must be called
    /// on the owner's thread.
    void broadcast(const std::vector<peer_address>& to,
                   const schema::peer_message_record& message);

    /// Returns the number of bytes sent since the start.
    std::uint64_t bytes_sent() const noexcept
    {
        return bytes_sent_;
    }
    /// Returns the number of bytes received since the start.
    std::uint64_t bytes_received() const noexcept
    {
        return bytes_received_;
    }

private:
    using socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> receive_loop(socket connection);
    void bind_source(socket& connection,
                     boost::system::error_code& error) const;
    boost::asio::awaitable<void>
    deliver(peer_address to, std::string frame, bool fresh_connection);

    io_worker& owner_;
    std::string own_address_;
    std::string secret_;
    receiver receive_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::map<std::string, std::shared_ptr<socket>> connections_;
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::atomic<std::uint64_t> bytes_received_{0};
};

} // namespace barleyfork

#endif
