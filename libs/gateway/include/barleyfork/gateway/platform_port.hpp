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

/// The result of an order to an engine.
struct order_result
{
    engine_answer answer = engine_answer::unknown;
    /// How long the engine turns everything away, if its answer named that.
    std::optional<duration> rejects_requests_for;
};

/// The result of reading an engine's report on its own state.
struct report_result
{
    failure error;
    engine_snapshot word;
    /// How long the engine turns everything away, if its answer named that.
    std::optional<duration> rejects_requests_for;
};

/// The address at which an engine listens.
struct engine_address
{
    server_id server;
    std::string address;
    std::uint16_t port = 0;
};

/// Sends orders to engines and reads their reports.
class engine_client
{
public:
    virtual ~engine_client() = default;

    virtual boost::asio::awaitable<order_result>
    send_order(engine_address to, engine_command command, order_sender by) = 0;

    virtual boost::asio::awaitable<report_result>
    read_report(engine_address from) = 0;
};

/// Everything that the gateway needs from a platform. There is one
/// implementation for each platform, and it alone contains the names of that
/// platform's wire format.
struct platform_port
{
    std::unique_ptr<call_codec> codec;
    std::unique_ptr<row_store> store;
    std::unique_ptr<engine_client> engines;

    /// The table and key under which the operators' configuration is stored.
    std::string configuration_table;
    std::string configuration_key;
    /// The table in which backend servers register.
    std::string server_table;

    /// Decodes a configuration. Returns `invalid_input` if the configuration
    /// cannot be used.
    failure (*decode_configuration)(std::string_view bytes,
                                    gateway_configuration& out) = nullptr;

    /// Returns a configuration that decodes to the same as `bytes` and contains
    /// the keys' digests instead of the keys.
    std::string (*conceal_keys)(std::string_view bytes) = nullptr;

    /// Decodes a backend server's entry. Returns `invalid_input` if the entry
    /// does not describe a usable server.
    failure (*decode_server)(std::string_view id,
                             std::string_view bytes,
                             backend_entry& out) = nullptr;

    /// The path of the load balancer's readiness check.
    std::string readiness_path;
};

} // namespace barleyfork

#endif
