#ifndef BARLEYFORK_GATEWAY_SRC_CALLER_SESSION_HPP
#define BARLEYFORK_GATEWAY_SRC_CALLER_SESSION_HPP

#include "caller_port.hpp"
#include "gateway_call.hpp"
#include "gateway_context.hpp"

#include <barleyfork/net/received_body.hpp>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>

namespace barleyfork {

/// One connection of a caller. Reads requests one after another and writes
/// their responses. The connection is also read while a request runs, so that
/// a disconnect of the caller is noticed at once. Not thread-safe: used by one
/// worker thread only.
class caller_session : public caller_port,
                       public std::enable_shared_from_this<caller_session>
{
public:
    using tcp = boost::asio::ip::tcp;

    caller_session(gateway_context& context, tcp::socket socket);
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    void start();

    /// Closes the connection if it is idle. While the daemon drains, a busy
    /// connection closes after its response.
    void drain();

    /// Closes the connection at once and ends a running call.
    void close_now();

    bool is_closed() const noexcept
    {
        return closed_;
    }

    void send_answer(const answer_head& head, std::string_view body) override;
    void begin_stream(const answer_head& head) override;
    void send_stream_part(std::string_view bytes) override;
    void end_stream() override;
    std::size_t unsent_bytes() const override;
    void abort() override;

private:
    using parser = boost::beast::http::request_parser<received_body>;

    void read();
    void on_read(const boost::system::error_code& error, std::size_t size);
    /// Runs a handler of the socket or a timer. An exception that leaves it
    /// ends this connection, as if its caller had left.
    template <class Handler>
    void run_guarded(Handler handler);
    void start_parser();
    caller_limits limits() const;
    duration wait_limit() const;
    void begin_request();
    void start_waiting();
    void parse();
    bool refuse_by_key();
    void on_request();
    void reject(unsigned status);
    void on_caller_disconnected();
    void finish_answer();
    void append_connection_header(std::string& out) const;
    void flush();
    bool reserve_request_memory();
    void refuse_for_memory();
    bool reserve_unsent_memory();
    void log_no_memory(std::size_t unsent) const;
    std::string write_answer(const answer_head& head,
                             std::string_view body) const;
    void on_written(const boost::system::error_code& error);
    void begin_closing();
    void close();
    void set_timer(duration wait);
    void on_timer();

    gateway_context& context_;
    tcp::socket socket_;
    std::string address_;
    std::optional<parser> parser_;
    std::string unparsed_;
    std::array<char, 4096> buffer_{};
    std::shared_ptr<gateway_call> call_;
    std::string pending_;
    std::string writing_;
    memory_budget::share request_memory_;
    memory_budget::share unsent_memory_;
    timer_queue::timer_id timer_ = 0;
    /// When the connection became idle or its request began.
    time_point waits_since_{};
    bool reading_ = false;
    bool keep_alive_ = true;
    bool is_head_request_ = false;
    /// False for HTTP/1.0 callers, which do not support the chunked coding.
    bool uses_chunked_coding_ = true;
    /// True while a response is incomplete whose end is that of the connection.
    bool ends_with_connection_ = false;
    bool has_request_begun_ = false;
    /// True once the key of the request that is being read was checked.
    bool is_key_checked_ = false;
    bool closing_ = false;
    bool closed_ = false;
};

} // namespace barleyfork

#endif
