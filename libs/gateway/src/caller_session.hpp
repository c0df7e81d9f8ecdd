#ifndef BARLEYFORK_GATEWAY_SRC_CALLER_SESSION_HPP
#define BARLEYFORK_GATEWAY_SRC_CALLER_SESSION_HPP

#include "caller_port.hpp"
#include "gateway_call.hpp"
#include "gateway_context.hpp"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

namespace barleyfork {

/// One connection of a caller: reads requests one after the other and writes
/// their answers. While a request runs the connection is still read, so that
/// a caller that leaves is noticed at once. Belongs to one duty.
class caller_session : public caller_port,
                       public std::enable_shared_from_this<caller_session>
{
public:
    using tcp = boost::asio::ip::tcp;

    caller_session(gateway_context& context, tcp::socket socket);
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    void start();

    /// The daemon drains: an idle connection closes, a busy one after its
    /// answer.
    void drain();

    /// Cuts the connection, whatever it does.
    void cut();

    bool is_closed() const noexcept
    {
        return closed_;
    }

    void send_whole(const answer_head& head, std::string_view body) override;
    void begin_stream(const answer_head& head) override;
    void send_part(std::string_view bytes) override;
    void end_stream() override;
    std::size_t unsent() const override;
    void abort() override;

private:
    using parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void on_read(const boost::system::error_code& error, std::size_t size);
    void start_parser();
    void parse();
    void on_request();
    void refuse(unsigned status);
    void on_caller_gone();
    void answer_done();
    void append_connection_header(std::string& out) const;
    void flush();
    bool keep_unsent();
    void on_written(const boost::system::error_code& error);
    void begin_close();
    void close();
    void set_timer(duration wait);
    void on_timer();

    gateway_context& context_;
    tcp::socket socket_;
    std::string address_;
    std::optional<parser> parser_;
    std::string unread_;
    std::array<char, 4096> buffer_{};
    std::shared_ptr<gateway_call> call_;
    std::string pending_;
    std::string writing_;
    memory_budget::share unsent_memory_;
    timer_queue::timer_id timer_ = 0;
    bool reading_ = false;
    bool keep_alive_ = true;
    bool head_request_ = false;
    /// HTTP/1.0 callers don't know the chunked coding.
    bool chunked_ = true;
    bool request_begun_ = false;
    bool closing_ = false;
    bool closed_ = false;
};

} // namespace barleyfork

#endif
