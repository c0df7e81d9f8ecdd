#include <barleyfork/net/sockets.hpp>

#include <barleyfork/base/log.hpp>

namespace barleyfork {

using tcp = boost::asio::ip::tcp;

bool open_acceptor(tcp::acceptor& acceptor,
                   const std::string& address,
                   std::uint16_t port)
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address, error);
    const tcp::endpoint endpoint(ip, port);
    if (!error)
        acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections,
                        error);
    if (!error)
        return true;
    log_event(log_level::error, "listen_failed")
        .with("address", address)
        .with("port", port)
        .with("error", error.message());
    return false;
}

bool is_reusable_connection(tcp::socket& socket)
{
    char byte = 0;
    boost::system::error_code error;
    socket.non_blocking(true, error);
    socket.receive(
        boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == boost::asio::error::would_block;
}

} // namespace barleyfork
