#ifndef BARLEYFORK_SCENARIO_SRC_CLUSTER_HPP
#define BARLEYFORK_SCENARIO_SRC_CLUSTER_HPP

#include <barleyfork/scenario/caller.hpp>

#include <barleyfork/daemon/daemon.hpp>
#include <barleyfork/net/io_worker.hpp>
#include <barleyfork/standins/engine_standin.hpp>
#include <barleyfork/standins/link_standin.hpp>
#include <barleyfork/standins/platform_standin.hpp>
#include <barleyfork/standins/service_standin.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace barleyfork::scenario {

/// What stands in a scenario.
struct cluster_options
{
    std::size_t daemons = 3;
    std::size_t engines = 3;
    std::size_t services = 1;
    /// Engines from this one on ignore fencing numbers.
    std::size_t ignoring_from = 1000;
    std::uint32_t engine_memory_mib = 40960;
    std::uint32_t adapter_slab_mib = 512;
    std::int64_t load_ms = 30;
    std::int64_t between_tokens_ms = 5;
    std::uint32_t server_slots = 64;
    std::uint32_t retry_percent = 20;
};

/// What a declaration in a scenario says.
struct declaration_options
{
    std::size_t models = 2;
    std::uint32_t version = 1;
    std::uint32_t memory_mib = 10240;
    std::uint32_t requests_per_second = 10000;
    std::uint32_t min_replicas = 1;
    std::uint32_t max_replicas = 64;
    std::uint32_t cell_servers = 50;
    /// Adapters over the first model.
    std::size_t adapters = 0;
    std::uint32_t adapter_mib = 256;
    /// Makes two declarations differ.
    std::string note = "scenario";
};

/// Real daemons in this process, each behind links that can be cut, in front
/// of stand-ins of everything else.
class cluster
{
public:
    explicit cluster(const cluster_options& options);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    /// Starts a daemon in a place; a later one has a new instance id.
    void start(std::size_t place);

    /// Ends a daemon at once; the platform's list still has it.
    void kill(std::size_t place);

    /// Ends a daemon gracefully; true where nothing was cut.
    bool drain(std::size_t place);

    /// Takes a place's instance off the platform's list.
    void unlist(std::size_t place);

    /// Cuts a place from the platform and from the other places.
    void cut(std::size_t place);

    /// Heals every cut.
    void heal();

    daemon* at(std::size_t place);

    /// The declaration as TOML.
    std::string declaration(const declaration_options& options) const;

    std::uint16_t platform_port() const noexcept
    {
        return platform_port_;
    }
    std::uint16_t engine_port(std::size_t index) const;
    std::uint16_t service_port(std::size_t index) const;
    std::size_t size() const noexcept
    {
        return places_.size();
    }

    /// Sends a small request and waits for the answer.
    static caller_answer call(std::uint16_t port,
                              const std::string& method,
                              const std::string& path,
                              const std::string& body = {});

    /// A call of a daemon's operator address.
    caller_answer operate(std::size_t place,
                          const std::string& method,
                          const std::string& path,
                          const std::string& body = {},
                          const std::string& name = "tester");

private:
    struct place
    {
        std::string instance;
        std::string address;
        std::unique_ptr<daemon> running;
        std::unique_ptr<link_standin> platform_link;
        std::unique_ptr<link_standin> peer_link;
        std::uint16_t platform_port = 0;
        std::size_t runs = 0;
    };

    std::string settings_of(const place& where, std::size_t index) const;
    void enlist(const place& where, std::size_t index, std::uint16_t port);

    cluster_options options_;
    io_worker loop_;
    platform_standin platform_;
    std::uint16_t platform_port_ = 0;
    std::vector<std::unique_ptr<engine_standin>> engines_;
    std::vector<std::uint16_t> engine_ports_;
    std::vector<std::unique_ptr<service_standin>> services_;
    std::vector<std::uint16_t> service_ports_;
    std::vector<std::unique_ptr<link_standin>> old_links_;
    std::vector<place> places_;
};

} // namespace barleyfork::scenario

#endif
