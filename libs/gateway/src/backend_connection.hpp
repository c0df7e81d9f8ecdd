#ifndef BARLEYFORK_GATEWAY_SRC_BACKEND_CONNECTION_HPP
#define BARLEYFORK_GATEWAY_SRC_BACKEND_CONNECTION_HPP

#include "http_text.hpp"
#include "timer_queue.hpp"

#include <barleyfork/base/time.hpp>
#include <barleyfork/net/received_body.hpp>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace barleyfork {

/// The result of one exchange on a connection.
enum class exchange_result : std::uint8_t
{
    /// The complete response was received.
    complete,
    /// No byte of the request was written to the connection.
    not_sent,
    /// The connection broke.
    lost,
    /// The received bytes are not a valid response.
    malformed,
};

/// Returns the name of a result for the log.
std::string_view exchange_result_name(exchange_result result) noexcept;

/// Receives the response to one request.
class answer_receiver
{
public:
    virtual ~answer_receiver() = default;

    /// Called just before the first byte of the request is written. Returns the
    /// request, which names the time that is left now. The receiver may cancel
    /// the exchange instead.
    virtual outgoing_request on_send_started() = 0;

    /// Returns false if the response belongs to an earlier request. The
    /// connection then discards that response and waits for the next one.
    virtual bool on_head(const answer_head& head) = 0;
    virtual void on_body(std::string_view bytes) = 0;

    /// Called last, after the connection has released the receiver.
    virtual void on_end(exchange_result result) = 0;
};

/// One connection to a backend server, for one exchange at a time.
///
/// The connection is reused only after an unambiguous exchange: the response
/// was framed and complete, no other bytes arrived, and the request had been
/// written completely. It carries each request id at most once, so that an
/// answer with the id of the current request is the answer to this send and no
/// late copy of the answer to an earlier one. Not thread-safe: used by one
/// worker thread only.
class backend_connection
    : public std::enable_shared_from_this<backend_connection>
{
public:
    using tcp = boost::asio::ip::tcp;
    /// Called after each exchange that leaves the connection idle and reusable.
    using idle_handler =
        std::function<void(const std::shared_ptr<backend_connection>&)>;

    /// `number` identifies the connection in the log.
    backend_connection(boost::asio::any_io_executor executor,
                       timer_queue& timers,
                       tcp::endpoint target,
                       std::uint64_t number,
                       idle_handler on_idle);
    backend_connection(const backend_connection&) = delete;
    backend_connection& operator=(const backend_connection&) = delete;

    /// Sends a request, after connecting if there is no connection yet. The
    /// connection must not have carried `request_id` before.
    void exchange(std::string_view request_id,
                  bool is_head_request,
                  std::shared_ptr<answer_receiver> receiver);

    /// Returns true if a request with this id was sent here. May also return
    /// true for another id, rarely.
    bool has_carried(std::string_view request_id) const;

    /// Aborts the exchange and closes the connection. The receiver is not
    /// called again.
    void cancel();

    /// Stops reading until `resume`, so that TCP flow control holds back the
    /// server.
    void pause() noexcept
    {
        paused_ = true;
    }

    void resume();

    bool is_paused() const noexcept
    {
        return paused_;
    }

    bool is_open() const noexcept
    {
        return state_ != state::closed;
    }

    std::uint64_t number() const noexcept
    {
        return number_;
    }

    /// Returns the number of exchanges so far, including the current one.
    std::size_t exchange_count() const noexcept
    {
        return carried_ids_.size();
    }

    /// Returns true if an earlier exchange used this connection. A late copy of
    /// the response to that exchange may then arrive in place of the current
    /// one.
    bool is_reused() const noexcept
    {
        return carried_ids_.size() > 1;
    }

    /// Returns true if the end of the connection was that of the response, so
    /// that the end of the server's process would have looked the same.
    bool ended_by_close() const noexcept
    {
        return ended_by_close_;
    }

    /// Returns true if the connection is idle at `now` for less than the given
    /// fraction of the server's idle timeout.
    bool is_usable(time_point now, double timeout_fraction) const noexcept;

private:
    using parser = boost::beast::http::response_parser<received_body>;

    enum class state : std::uint8_t
    {
        unconnected,
        connecting,
        busy,
        idle,
        closed,
    };

    /// Runs a handler of the socket. An exception that leaves it ends this
    /// exchange like an invalid response.
    template <class Handler>
    void run_guarded(Handler handler);
    void connect();
    void on_connected(const boost::system::error_code& error);
    void write();
    void on_written(const boost::system::error_code& error);
    void read();
    void on_read(const boost::system::error_code& error, std::size_t size);
    void parse();
    bool parse_step();
    bool skip_interim();
    bool report_head();
    void on_answer_complete();
    void finish(exchange_result result);
    void close();
    void start_parser();

    boost::asio::any_io_executor executor_;
    timer_queue& timers_;
    tcp::socket socket_;
    tcp::endpoint target_;
    std::uint64_t number_;
    idle_handler on_idle_;
    state state_ = state::unconnected;
    std::shared_ptr<answer_receiver> receiver_;
    outgoing_request request_;
    bool is_head_request_ = false;
    bool is_request_written_ = false;
    /// True if the write of the request received the reset of the connection,
    /// so that no read will.
    bool was_reset_under_request_ = false;
    /// True if the connection must not be reused, for example after an
    /// unsolicited response.
    bool must_close_ = false;
    bool ended_by_close_ = false;
    bool is_head_reported_ = false;
    /// True if the response being read belongs to an earlier request.
    bool is_stray_answer_ = false;
    /// Hashes of the ids of all requests so far.
    std::vector<std::uint64_t> carried_ids_;
    int stray_answer_count_ = 0;
    int interim_answer_count_ = 0;
    bool paused_ = false;
    bool reading_ = false;
    std::optional<parser> parser_;
    std::string unparsed_;
    std::array<char, 8192> buffer_{};
    timer_queue::timer_id connect_timer_ = 0;
    time_point idle_since_{};
    duration idle_timeout_;
};

} // namespace barleyfork

#endif
