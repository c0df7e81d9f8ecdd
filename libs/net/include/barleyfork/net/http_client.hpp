#ifndef BARLEYFORK_NET_HTTP_CLIENT_HPP
#define BARLEYFORK_NET_HTTP_CLIENT_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/net/url.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace barleyfork {

/// A small request of control traffic; never used for a caller's stream.
struct http_call
{
    std::string method = "GET";
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Time until the response begins.
    duration timeout{2000};
    /// Maximum time between the parts of a response that has begun. A large
    /// response takes long on a saturated link; aborting and retrying it would
    /// keep the link saturated.
    duration max_silence{1000};
    /// Maximum time for the complete response, counted from the end of
    /// `timeout`.
    duration max_answer_time{15000};
    /// Time limit for a new connection, however long the call may take: the
    /// kernel retries the handshake only at intervals of seconds.
    duration connect_timeout{1000};
    /// False for a call whose answer must be its own: on a connection that
    /// carried other calls, a late copy of an earlier answer would be taken for
    /// it.
    bool may_share_connection = true;
    /// Maximum size of the body in bytes; a larger one is an error.
    std::size_t max_answer_bytes = 16 * 1024 * 1024;
};

/// The response to a small request.
struct http_reply
{
    /// `timeout` or `connection_lost` if no complete response was received.
    failure error;
    /// True if no byte of the request was passed to a connection.
    bool not_sent = false;
    unsigned status = 0;
    std::string etag;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Returns the first value of a header, or an empty string if it is absent.
    /// The case of `name` is ignored.
    std::string_view header(std::string_view name) const;
};

/// Sends small HTTP/1.1 requests and keeps idle connections per endpoint.
///
/// Belongs to one worker; several calls may be in flight. A kept connection
/// that has been closed is replaced before any byte is counted as sent. One
/// that stays idle for too long is closed at the next call to any endpoint.
class http_client
{
public:
    static constexpr duration default_max_idle_time{60000};

    explicit http_client(duration max_idle_time = default_max_idle_time);

    /// Sends one request and reads the complete response.
    boost::asio::awaitable<http_reply> call(const http_endpoint& endpoint,
                                            http_call request);

private:
    using socket = boost::asio::ip::tcp::socket;

    struct idle_connection
    {
        socket stream;
        time_point since{};
    };

    void close_idle(time_point now);

    duration max_idle_time_;
    time_point swept_at_{};
    std::map<std::string, std::vector<idle_connection>> idle_;
};

} // namespace barleyfork

#endif
