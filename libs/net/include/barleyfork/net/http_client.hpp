#ifndef BARLEYFORK_NET_HTTP_CLIENT_HPP
#define BARLEYFORK_NET_HTTP_CLIENT_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/net/url.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace barleyfork {

/// A small request: control traffic, never a caller's stream.
struct http_call
{
    std::string method = "GET";
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Until the answer begins.
    duration timeout{2000};
    /// Between the parts of an answer that began. A large answer over a full
    /// link takes long; giving it up only to ask again would keep the link
    /// full.
    duration longest_silence{1000};
    /// For the whole answer, from when it should have begun at the latest.
    duration longest_answer{15000};
    /// A new connection is given up after this, however long the call may
    /// take: the kernel's own tries come seconds apart.
    duration connect_timeout{1000};
    /// A larger body is no answer, in bytes.
    std::size_t largest_answer = 16 * 1024 * 1024;
};

/// The answer to a small request.
struct http_reply
{
    /// `timeout` or `connection_lost` where no whole answer came.
    failure error;
    /// True where no byte of the request was handed to a connection.
    bool not_sent = false;
    unsigned status = 0;
    std::string etag;
    std::string body;
};

/// Sends small HTTP/1.1 requests and keeps one idle connection an endpoint.
///
/// Belongs to one duty; several calls may be outstanding. A kept connection
/// that turns out to be closed is replaced before any byte is counted as sent.
class http_client
{
public:
    /// Sends one request and reads the whole answer.
    boost::asio::awaitable<http_reply> call(const http_endpoint& endpoint,
                                            http_call request);

private:
    using socket = boost::asio::ip::tcp::socket;

    std::map<std::string, std::vector<socket>> idle_;
};

} // namespace barleyfork

#endif
