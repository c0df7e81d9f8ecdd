#ifndef BARLEYFORK_GATEWAY_PLATFORM_PORT_HPP
#define BARLEYFORK_GATEWAY_PLATFORM_PORT_HPP

#include <barleyfork/core/backend_directory.hpp>
#include <barleyfork/core/gateway_configuration.hpp>
#include <barleyfork/core/placement_controller.hpp>
#include <barleyfork/gateway/call_codec.hpp>
#include <barleyfork/gateway/row_store.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace barleyfork {

/// How an order to an engine ended, and what it said.
struct order_reply
{
    engine_answer answer = engine_answer::unknown;
};

/// An engine's report on itself.
struct report_reply
{
    failure error;
    engine_word word;
};

/// Where an engine listens.
struct engine_address
{
    server_id server;
    std::string address;
    std::uint16_t port = 0;
};

/// Orders and reports of engines.
class engine_client
{
public:
    virtual ~engine_client() = default;

    virtual boost::asio::awaitable<order_reply>
    send_order(engine_address to, engine_command command, order_sender by) = 0;

    virtual boost::asio::awaitable<report_reply>
    read_report(engine_address from) = 0;
};

/// All that the gateway needs of a platform. Implemented once for each
/// platform, which then holds every name of its wire.
struct platform_port
{
    std::unique_ptr<call_codec> codec;
    std::unique_ptr<row_store> store;
    std::unique_ptr<engine_client> engines;

    /// Where the operators' configuration lies.
    std::string configuration_table;
    std::string configuration_key;
    /// Where backend servers register.
    std::string server_table;

    /// Decodes a configuration; `invalid_input` where it can't be used.
    failure (*decode_configuration)(std::string_view bytes,
                                    gateway_configuration& out) = nullptr;

    /// Decodes a backend server's entry; `invalid_input` where it names no
    /// server to use.
    failure (*decode_server)(std::string_view id,
                             std::string_view bytes,
                             backend_entry& out) = nullptr;

    /// The path at which the balancer asks whether this daemon is ready.
    std::string readiness_path;
};

} // namespace barleyfork

#endif
