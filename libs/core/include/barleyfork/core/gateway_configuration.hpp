#ifndef BARLEYFORK_CORE_GATEWAY_CONFIGURATION_HPP
#define BARLEYFORK_CORE_GATEWAY_CONFIGURATION_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace barleyfork {

using service_id = strong_id<struct service_tag>;

/// What a route allows to be repeated.
enum class call_kind : std::uint8_t
{
    /// May run more than once.
    idempotent,
    /// May run at most once for each try of the caller.
    at_most_once,
    /// Answered by a stream of events; at most once unless resumable.
    stream,
};

/// A service that takes a share of a route's requests.
struct service_share
{
    service_id service;
    std::uint32_t weight = 1;
};

/// Which requests go to which services, and how they may be treated.
struct gateway_route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    call_kind kind = call_kind::at_most_once;
    /// The longest time a caller is kept waiting; zero where there is none.
    duration timeout{0};
    /// An answer within this time meets its target.
    duration latency_target{0};
    /// A pause between events of a stream up to this still meets its target;
    /// zero where there is none.
    duration longest_pause{0};
    /// What the queues before an engine are measured against: the longest
    /// target among this route and the less urgent ones of its services, so
    /// that no less urgent request is queued where this one is not. Set by
    /// `set_queue_targets`.
    duration queue_target{0};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Backend servers that one try of a caller may run on.
    std::uint32_t max_runs = 1;
    /// A stream that broke may go on at another backend server.
    bool resumable = false;
    std::vector<service_share> services;

    /// True where a second run does no harm.
    bool repeatable() const noexcept
    {
        return kind == call_kind::idempotent ||
               (kind == call_kind::stream && resumable);
    }

    /// How long a caller of a stream waits for its next event, the first one
    /// included, before it leaves.
    duration caller_patience() const noexcept;
};

/// A model that an engine service offers.
struct engine_model
{
    model_id id;
    std::uint32_t memory_mb = 0;
    /// A load from the weight store.
    duration load_time{0};
    /// Loads from the backend server's own memory and disk.
    duration memory_load_time{0};
    duration disk_load_time{0};
    std::uint32_t adapters = 0;
    std::uint32_t adapter_mb = 0;
};

/// What the backend servers of an engine service have room for.
struct engine_options
{
    std::uint32_t slots = 0;
    std::uint64_t cache_tokens = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t max_adapters = 0;
    /// Loads a second that the weight store allows over all servers.
    double loads_per_second = 0.0;
    std::vector<engine_model> models;
};

struct gateway_service
{
    service_id id;
    /// Connections that one backend server takes from all callers.
    std::uint32_t max_connections = 0;
    std::optional<engine_options> engine;
};

/// Limits on what callers may send and how long they may take.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = std::uint64_t{4} * 1024 * 1024;
    duration header_timeout{3000};
    duration idle_timeout{15000};
};

/// One version of the operators' configuration, whole.
struct gateway_configuration
{
    std::uint64_t version = 0;
    std::vector<gateway_route> routes;
    std::vector<gateway_service> services;
    caller_limits limits;

    const gateway_service* find_service(const service_id& id) const;
};

/// The route of a request: among those of its host, the one with the longest
/// prefix of its path; null where there is none. `host` may carry a port.
const gateway_route* match_route(const gateway_configuration& configuration,
                                 std::string_view host,
                                 std::string_view path);

/// Sets every route's `queue_target` from the targets and priorities of all.
void set_queue_targets(gateway_configuration& configuration);

/// Picks a service by the weights of the route; `draw` is a random number.
/// Null where the route names none.
const service_id* choose_service(const gateway_route& route,
                                 std::uint64_t draw);

} // namespace barleyfork

#endif
