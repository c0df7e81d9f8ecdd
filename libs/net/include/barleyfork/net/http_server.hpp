#ifndef BARLEYFORK_NET_HTTP_SERVER_HPP
#define BARLEYFORK_NET_HTTP_SERVER_HPP

#include <barleyfork/base/time.hpp>
#include <barleyfork/net/duty.hpp>

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
    /// From a request's first byte to its last.
    duration header_timeout{15000};
    duration write_timeout{30000};
    /// An open connection without a request is closed after this time.
    duration idle_timeout{60000};
};

/// A request whose body has been read whole.
struct http_incoming
{
    std::string method;
    /// The path without the query.
    std::string path;
    std::string query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    /// A header's value, or nothing.
    std::string_view header(std::string_view name) const;

    /// The digest of the bearer key, or empty where there is none.
    std::string bearer_digest() const;
};

/// A small answer that is sent whole.
struct http_outgoing
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Writes the answer to one request: whole, or as a stream.
class http_responder
{
public:
    virtual ~http_responder() = default;

    /// Sends a whole answer; false where the client is gone.
    virtual boost::asio::awaitable<bool> send(http_outgoing answer) = 0;

    /// Begins a streamed answer; false where the client is gone.
    virtual boost::asio::awaitable<bool> begin(http_outgoing head) = 0;

    /// Sends a part of a streamed answer; false where the client is gone.
    virtual boost::asio::awaitable<bool> write(std::string_view bytes) = 0;

    /// Ends a streamed answer as whole.
    virtual boost::asio::awaitable<bool> finish() = 0;

    /// Cuts the connection: what was sent is not whole.
    virtual void abort() = 0;

    /// True where the client closed its side.
    virtual bool client_gone() = 0;
};

/// Handles one request by writing one answer.
using http_handler = std::function<boost::asio::awaitable<void>(
    const http_incoming&, http_responder&)>;

/// An HTTP/1.1 server on one duty's thread.
class http_server
{
public:
    http_server(duty& owner, http_limits limits, http_handler handler);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Listens; the port really taken, or 0 on failure with the reason
    /// logged. Call before the duty starts, or on its thread.
    std::uint16_t listen(const std::string& address, std::uint16_t port);

    /// Takes no further connections and closes idle ones; open ones finish
    /// their request. On the duty's thread.
    void stop_accepting();

    /// Cuts every connection at once. On the duty's thread.
    void abort_connections();

    /// Open connections. On the duty's thread.
    std::size_t connections() const noexcept;

    /// Requests being handled. On the duty's thread.
    std::size_t active_requests() const noexcept;

private:
    struct state;

    std::shared_ptr<state> state_;
};

} // namespace barleyfork

#endif
