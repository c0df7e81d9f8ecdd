#ifndef BARLEYFORK_GATEWAY_SRC_BACKEND_CONNECTION_HPP
#define BARLEYFORK_GATEWAY_SRC_BACKEND_CONNECTION_HPP

#include "http_text.hpp"
#include "timer_queue.hpp"

#include <barleyfork/base/time.hpp>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace barleyfork {

/// How one exchange on a connection ended.
enum class exchange_end : std::uint8_t
{
    /// The whole answer came.
    whole,
    /// No byte of the request was handed to the connection.
    not_sent,
    /// The connection broke.
    lost,
    /// What came is no answer.
    malformed,
};

/// The name of an end in the log.
std::string_view exchange_end_name(exchange_end end) noexcept;

/// Takes in the answer to one request.
class answer_receiver
{
public:
    virtual ~answer_receiver() = default;

    /// The request's bytes are being handed over from now on.
    virtual void on_sending() = 0;

    /// False where the answer belongs to an earlier request: it is read and
    /// dropped, and the next one is awaited.
    virtual bool on_head(const answer_head& head) = 0;
    virtual void on_body(std::string_view bytes) = 0;

    /// The last call; the connection has let go of the receiver.
    virtual void on_end(exchange_end end) = 0;
};

/// One connection to a backend server, for one exchange at a time.
///
/// It is kept for another exchange only if this one left no doubt: the answer
/// was framed and whole, nothing came beside it, and the request had been
/// written whole. Belongs to one duty.
class backend_connection
    : public std::enable_shared_from_this<backend_connection>
{
public:
    using tcp = boost::asio::ip::tcp;
    /// Called once when the connection is idle and good for another exchange.
    using idle_handler =
        std::function<void(const std::shared_ptr<backend_connection>&)>;

    backend_connection(boost::asio::any_io_executor executor,
                       timer_queue& timers,
                       tcp::endpoint target,
                       idle_handler on_idle);
    backend_connection(const backend_connection&) = delete;
    backend_connection& operator=(const backend_connection&) = delete;

    /// Sends a request, connecting first where that is still to be done.
    void exchange(std::string request,
                  bool head_only,
                  std::shared_ptr<answer_receiver> receiver);

    /// Gives the exchange up: closes the connection; the receiver is not
    /// called any more.
    void cancel();

    /// Reads nothing more for now: what the server sends on waits there.
    void pause() noexcept
    {
        paused_ = true;
    }

    /// Reads on.
    void resume();

    bool is_open() const noexcept
    {
        return state_ != state::closed;
    }

    /// True where an earlier exchange used this connection: a late copy of its
    /// answer may come in place of this one's.
    bool is_reused() const noexcept
    {
        return exchanges_ > 1;
    }

    /// True where the kept connection may be used until `now` at least.
    bool is_usable(time_point now, double share_of_timeout) const noexcept;

private:
    using parser =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    enum class state : std::uint8_t
    {
        fresh,
        connecting,
        busy,
        idle,
        closed,
    };

    void connect();
    void on_connected(const boost::system::error_code& error);
    void write();
    void read();
    void on_read(const boost::system::error_code& error, std::size_t size);
    void parse();
    bool parse_some();
    bool skip_interim();
    bool report_head();
    void on_whole();
    void finish(exchange_end end);
    void close();
    void start_parser();

    boost::asio::any_io_executor executor_;
    timer_queue& timers_;
    tcp::socket socket_;
    tcp::endpoint target_;
    idle_handler on_idle_;
    state state_ = state::fresh;
    std::shared_ptr<answer_receiver> receiver_;
    std::string request_;
    bool head_only_ = false;
    bool written_ = false;
    /// Something came that was not asked for: not kept.
    bool doubtful_ = false;
    bool head_reported_ = false;
    /// The answer being read belongs to an earlier request.
    bool stray_ = false;
    std::size_t exchanges_ = 0;
    int stray_answers_ = 0;
    int interim_answers_ = 0;
    bool paused_ = false;
    bool reading_ = false;
    std::optional<parser> parser_;
    std::string unread_;
    std::array<char, 8192> buffer_{};
    timer_queue::timer_id connect_timer_ = 0;
    time_point idle_since_{};
    duration idle_timeout_;
};

} // namespace barleyfork

#endif
