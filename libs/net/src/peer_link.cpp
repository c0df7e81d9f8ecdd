#include <barleyfork/net/peer_link.hpp>

#include <barleyfork/base/log.hpp>
#include <barleyfork/net/frame.hpp>
#include <barleyfork/net/sockets.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace barleyfork {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t max_kept_connections = 512;
constexpr duration connect_timeout{1000};
constexpr duration write_timeout{2000};
constexpr duration frame_timeout{5000};
constexpr std::int64_t accept_pause_ms = 20;
/// The memory for a payload grows by at most this much before its bytes arrive.
constexpr std::size_t payload_piece_bytes = std::size_t{64} * 1024;

/// Reads a payload of `length` bytes, which its sender has only declared so
/// far. Returns false if it did not arrive.
asio::awaitable<bool> read_payload(boost::beast::tcp_stream& stream,
                                   std::size_t length,
                                   std::string& out)
{
    out.clear();
    while (out.size() < length) {
        const auto begin = out.size();
        const auto size = std::min(length - begin, payload_piece_bytes);
        out.resize(begin + size);
        auto [error, received] = co_await asio::async_read(
            stream, asio::buffer(out.data() + begin, size), as_result);
        if (error)
            co_return false;
    }
    co_return true;
}

} // namespace

peer_link::peer_link(io_worker& owner,
                     std::string own_address,
                     std::string secret,
                     receiver receive)
    : owner_(owner), own_address_(std::move(own_address)),
      secret_(std::move(secret)), receive_(std::move(receive)),
      acceptor_(owner.executor())
{
}

std::uint16_t peer_link::listen(const std::string& address, std::uint16_t port)
{
    if (!open_acceptor(acceptor_, address, port))
        return 0;
    owner_.spawn_duty([this] { return accept_loop(); });
    return acceptor_.local_endpoint().port();
}

void peer_link::send(const peer_address& to,
                     const schema::peer_message_record& message,
                     bool fresh_connection)
{
    auto frame = encode_frame(message, secret_);
    owner_.try_post([this, to, frame = std::move(frame), fresh_connection] {
        owner_.spawn(deliver(to, frame, fresh_connection));
    });
}

void peer_link::broadcast(const std::vector<peer_address>& to,
                          const schema::peer_message_record& message)
{
    const auto frame = encode_frame(message, secret_);
    for (const auto& peer : to)
        owner_.spawn(deliver(peer, frame, false));
}

asio::awaitable<void> peer_link::accept_loop()
{
    for (;;) {
        auto [error, connection] = co_await acceptor_.async_accept(as_result);
        if (error) {
            co_await sleep_for_ms(accept_pause_ms);
            continue;
        }
        owner_.spawn(receive_loop(std::move(connection)));
    }
}

/// Reads frames until the peer closes or breaks the protocol. The wait for a
/// frame's header has no limit; the payload must arrive within
/// `frame_timeout`.
asio::awaitable<void> peer_link::receive_loop(socket connection)
{
    boost::beast::tcp_stream stream(std::move(connection));
    std::string header(frame_header_bytes, '\0');
    std::string payload;
    for (;;) {
        stream.expires_never();
        auto [header_error, header_size] =
            co_await asio::async_read(stream, asio::buffer(header), as_result);
        std::size_t length = 0;
        if (header_error || decode_frame_length(header, length))
            co_return;
        stream.expires_after(frame_timeout);
        if (!co_await read_payload(stream, length, payload))
            co_return;
        bytes_received_ += header.size() + payload.size();
        schema::peer_message_record message;
        const auto error = decode_frame(header, payload, secret_, message);
        if (error) {
            log_event(log_level::warn, "peer_frame_refused")
                .with("error", error.message());
            co_return;
        }
        receive_(std::move(message));
    }
}

/// Binds to the configured address, so that peers see this daemon under it.
void peer_link::bind_source(socket& connection,
                            boost::system::error_code& error) const
{
    const auto own = asio::ip::make_address(own_address_, error);
    if (error || own.is_unspecified())
        return;
    const tcp::endpoint source(own, 0);
    connection.open(source.protocol(), error);
    if (!error)
        connection.bind(source, error);
}

/// Sends on the kept connection, or on a new one if that fails. Frames to one
/// peer may overtake each other, so a connection carries one frame at a time.
asio::awaitable<void>
peer_link::deliver(peer_address to, std::string frame, bool fresh_connection)
{
    const auto key = to.address + ":" + std::to_string(to.port);
    std::shared_ptr<socket> kept;
    const auto found = connections_.find(key);
    if (found != connections_.end()) {
        if (!fresh_connection)
            kept = found->second;
        connections_.erase(found);
    }
    for (int attempt = 0; attempt < 2; ++attempt) {
        boost::beast::tcp_stream stream(owner_.executor());
        if (kept) {
            stream.socket() = std::move(*kept);
            kept.reset();
        }
        else {
            boost::system::error_code error;
            const auto ip = asio::ip::make_address(to.address, error);
            if (!error)
                bind_source(stream.socket(), error);
            stream.expires_after(connect_timeout);
            auto [connect_error] = co_await stream.async_connect(
                tcp::endpoint(ip, to.port), as_result);
            if (error || connect_error)
                co_return;
        }
        stream.expires_after(write_timeout);
        auto [error, size] =
            co_await asio::async_write(stream, asio::buffer(frame), as_result);
        if (error)
            continue;
        bytes_sent_ += size;
        if (connections_.size() < max_kept_connections)
            connections_[key] =
                std::make_shared<socket>(stream.release_socket());
        co_return;
    }
}

} // namespace barleyfork
