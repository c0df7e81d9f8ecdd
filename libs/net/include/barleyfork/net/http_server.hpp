#ifndef BARLEYFORK_NET_HTTP_SERVER_HPP
#define BARLEYFORK_NET_HTTP_SERVER_HPP

#include <barleyfork/base/time.hpp>
#include <barleyfork/net/io_worker.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace barleyfork {

/// Limits on what clients may send.
struct http_limits
{
    std::uint32_t max_connections = 1024;
    std::uint32_t max_body_bytes = 4 * 1024 * 1024;
    std::uint32_t max_header_bytes = 16 * 1024;
    /// Time from the first byte of a request to its last.
    duration header_timeout{15000};
    duration write_timeout{30000};
    /// Time after which an open connection without a request is closed.
    duration idle_timeout{60000};
};

/// A request whose body has been read completely.
struct http_incoming
{
    std::string method;
    /// The path without the query.
    std::string path;
    std::string query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    /// Returns the value of a header, or an empty string if it is absent.
    std::string_view header(std::string_view name) const;

    /// Returns the digest of the bearer key, or an empty string without a key.
    std::string bearer_digest() const;
};

/// A response that is sent in one piece, or the head of a streamed one.
struct http_outgoing
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Writes the response to one request, in one piece or as a stream.
class http_responder
{
public:
    virtual ~http_responder() = default;

    /// Sends a complete response; returns false if the connection is closed.
    virtual boost::asio::awaitable<bool> send(http_outgoing answer) = 0;

    /// Begins a streamed response; returns false if the connection is closed.
    virtual boost::asio::awaitable<bool> begin(http_outgoing head) = 0;

    /// Sends a part of a streamed response; returns false if the connection is
    /// closed.
    virtual boost::asio::awaitable<bool> write(std::string_view bytes) = 0;

    /// Ends a streamed response as complete.
    virtual boost::asio::awaitable<bool> finish() = 0;

    /// Closes the connection, which marks the response as incomplete.
    virtual void abort() = 0;

    /// Returns true if the client closed its side of the connection.
    virtual bool has_client_closed() = 0;
};

/// Handles one request by writing one response.
using http_handler = std::function<boost::asio::awaitable<void>(
    const http_incoming&, http_responder&)>;

/// An HTTP/1.1 server on one worker's thread.
class http_server
{
public:
    http_server(io_worker& owner, http_limits limits, http_handler handler);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Listens; returns the bound port, or 0 on failure, whose reason is
    /// logged. Must be called before the worker starts, or on its thread.
    std::uint16_t listen(const std::string& address, std::uint16_t port);

    /// Stops accepting connections and closes idle ones; the others finish
    /// their request. Must be called on the worker's thread.
    void stop_accepting();

    /// Closes every connection at once. Must be called on the worker's thread.
    void abort_connections();

    /// Returns the number of open connections. Must be called on the worker's
    /// thread.
    std::size_t connections() const noexcept;

    /// Returns the number of requests in flight. Must be called on the worker's
    /// thread.
    std::size_t active_requests() const noexcept;

private:
    struct state;

    std::shared_ptr<state> state_;
};

} // namespace barleyfork

#endif
