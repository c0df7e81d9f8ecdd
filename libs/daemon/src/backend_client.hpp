#ifndef BARLEYFORK_DAEMON_SRC_BACKEND_CLIENT_HPP
#define BARLEYFORK_DAEMON_SRC_BACKEND_CLIENT_HPP

#include "daemon_context.hpp"

#include <barleyfork/core/memory_ledger.hpp>
#include <barleyfork/net/exchange.hpp>
#include <barleyfork/net/http_client.hpp>
#include <barleyfork/store/row_codec.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace barleyfork {

/// Talks to backend servers; lives on the backend duty.
class backend_client
{
public:
    explicit backend_client(daemon_context& context);

    /// Runs one try and feeds its parts into the exchange. Never throws for
    /// what the server does; the last part is always `end`.
    boost::asio::awaitable<void> run(std::shared_ptr<exchange> work);

    /// Asks an engine for its report; nothing where none came.
    boost::asio::awaitable<std::optional<engine_status>>
    report(http_endpoint endpoint);

    /// Sends an order once, on a connection of its own.
    boost::asio::awaitable<order_answer> send(http_endpoint endpoint,
                                              engine_order order);

private:
    struct attempt;

    boost::asio::awaitable<attempt_end> attempt_on(attempt& work);
    boost::asio::awaitable<bool> connect(attempt& work);
    boost::asio::awaitable<bool> crashed(const http_endpoint& endpoint,
                                         std::uint64_t boot);

    std::string next_exchange_id();

    daemon_context& context_;
    std::int64_t started_ms_ = wall_clock_ms();
    std::uint64_t exchanges_ = 0;
    http_client control_client_;
    std::map<std::string, std::vector<boost::asio::ip::tcp::socket>> idle_;
    /// The process that each engine last reported.
    std::map<std::string, std::uint64_t> boots_;
};

} // namespace barleyfork

#endif
