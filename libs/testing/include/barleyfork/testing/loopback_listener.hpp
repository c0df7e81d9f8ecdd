#ifndef BARLEYFORK_TESTING_LOOPBACK_LISTENER_HPP
#define BARLEYFORK_TESTING_LOOPBACK_LISTENER_HPP

#include <cstdint>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace barleyfork::testing {

/// A listening socket on a free port of loopback, closed at its end.
class loopback_listener
{
public:
    /// `backlog` is the number of connections that wait to be accepted.
    explicit loopback_listener(int backlog)
    {
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address_);
        ::bind(socket_, generic_address(), size);
        ::getsockname(socket_, generic_address(), &size);
        ::listen(socket_, backlog);
    }
    loopback_listener(const loopback_listener&) = delete;
    loopback_listener& operator=(const loopback_listener&) = delete;
    ~loopback_listener()
    {
        ::close(socket_);
    }

    int socket() const noexcept
    {
        return socket_;
    }

    sockaddr* generic_address() noexcept
    {
        return reinterpret_cast<sockaddr*>(&address_);
    }

    std::uint16_t port() const noexcept
    {
        return ntohs(address_.sin_port);
    }

private:
    int socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address_{};
};

} // namespace barleyfork::testing

#endif
