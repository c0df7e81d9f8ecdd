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

/// Sends requests and orders to backend servers. Runs on the backend worker;
/// not thread-safe.
class backend_client
{
public:
    explicit backend_client(daemon_context& context);

    /// Performs one attempt and pushes the parts of the response into the
    /// exchange. Does not throw on a failure of the server; the last part is
    /// always `end`.
    boost::asio::awaitable<void> run(std::shared_ptr<exchange> work);

    /// Fetches an engine's report; empty if no valid report arrives.
    boost::asio::awaitable<std::optional<engine_status>>
    report(http_endpoint endpoint);

    /// Sends an order once, over a dedicated connection.
    boost::asio::awaitable<order_answer> send(http_endpoint endpoint,
                                              engine_order order);

private:
    struct attempt;

    boost::asio::awaitable<attempt_outcome> perform_attempt(attempt& work);
    boost::asio::awaitable<bool> connect(attempt& work);
    boost::asio::awaitable<bool> has_crashed(const http_endpoint& endpoint,
                                             std::uint64_t boot);

    std::string next_exchange_id();

    daemon_context& context_;
    std::int64_t started_ms_ = wall_clock_ms();
    std::uint64_t exchange_count_ = 0;
    http_client control_client_;
    std::map<std::string, std::vector<boost::asio::ip::tcp::socket>>
        idle_sockets_;
    /// The boot number (process) that each engine last reported, by endpoint.
    std::map<std::string, std::uint64_t> last_boots_;
};

} // namespace barleyfork

#endif
