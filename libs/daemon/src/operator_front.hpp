#ifndef BARLEYFORK_DAEMON_SRC_OPERATOR_FRONT_HPP
#define BARLEYFORK_DAEMON_SRC_OPERATOR_FRONT_HPP

#include "apply_coordinator.hpp"
#include "control.hpp"
#include "daemon_context.hpp"
#include "table_worker.hpp"

#include <barleyfork/net/http_server.hpp>

#include <boost/asio/awaitable.hpp>
#include <string>

namespace barleyfork {

/// HTTP interface for operators, on its own address. Runs on the operator
/// worker. Every request must carry the operator key.
class operator_front
{
public:
    operator_front(daemon_context& context,
                   table_worker& table,
                   control& decisions);

    boost::asio::awaitable<void> handle(const http_incoming& incoming,
                                        http_responder& out);

private:
    using handler = boost::asio::awaitable<http_outgoing> (operator_front::*)(
        const http_incoming&);

    struct route
    {
        std::string_view method;
        std::string_view path;
        handler run;
    };

    boost::asio::awaitable<http_outgoing> apply(const http_incoming& in);
    boost::asio::awaitable<http_outgoing>
    configuration(const http_incoming& in);
    boost::asio::awaitable<http_outgoing> history(const http_incoming& in);
    boost::asio::awaitable<http_outgoing> status(const http_incoming& in);
    boost::asio::awaitable<http_outgoing> explain(const http_incoming& in);
    boost::asio::awaitable<http_outgoing> drain(const http_incoming& in);
    boost::asio::awaitable<http_outgoing> trace(const http_incoming& in);

    daemon_context& context_;
    table_worker& table_;
    control& control_;
    apply_coordinator coordinator_;
};

} // namespace barleyfork

#endif
