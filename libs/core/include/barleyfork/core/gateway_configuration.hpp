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

/// Whether requests of a route may be retried.
enum class call_kind : std::uint8_t
{
    /// A request may run more than once.
    idempotent,
    /// A request may run at most once for each client attempt.
    at_most_once,
    /// The response is a stream of events. A request may run at most once
    /// unless the stream is resumable.
    stream,
};

/// A service that receives a share of a route's requests.
struct service_share
{
    service_id service;
    std::uint32_t weight = 1;
};

/// Defines which requests go to which services, and the rules for them.
struct gateway_route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    call_kind kind = call_kind::at_most_once;
    /// Maximum time that a caller waits; zero if unlimited.
    duration timeout{0};
    /// A response within this time meets its target.
    duration latency_target{0};
    /// A pause between two events of a stream up to this length meets its
    /// target; zero if there is no target.
    duration pause_target{0};
    /// Target against which the queue of an engine is compared: the maximum
    /// latency target of this route and the less urgent routes of its services,
    /// so that no less urgent request is queued where one of this route is not.
    /// Set by `derive_from_entries`.
    duration queue_target{0};
    /// Target within which the queue of a server is kept: the minimum latency
    /// target of this route and the more urgent routes of its services, so that
    /// no less urgent request is queued where one of these would be late. Set
    /// by `derive_from_entries`.
    duration room_target{0};
    /// Zero is the most urgent priority.
    std::uint32_t priority = 0;
    /// Maximum number of backend servers on which one client attempt may run.
    std::uint32_t max_runs = 1;
    /// True if a broken stream may be resumed on another backend server.
    bool resumable = false;
    /// True if requests need no key even where organisations are declared.
    bool is_public = false;
    std::vector<service_share> services;

    /// Returns true if a request may run more than once.
    bool is_retryable() const noexcept
    {
        return kind == call_kind::idempotent ||
               (kind == call_kind::stream && resumable);
    }

    /// Returns how long a caller of a stream waits for the next event,
    /// including the first, before it closes the connection.
    duration caller_timeout() const noexcept;
};

/// A model that an engine service offers.
struct engine_model
{
    model_id id;
    std::uint32_t memory_mb = 0;
    /// Time of a load from the weight store.
    duration load_time{0};
    /// Times of a load from the backend server's own memory and disk.
    duration memory_load_time{0};
    duration disk_load_time{0};
    std::uint32_t adapters = 0;
    std::uint32_t adapter_mb = 0;
};

/// The capacity of each backend server of an engine service, and its models.
struct engine_options
{
    std::uint32_t slots = 0;
    std::uint64_t cache_tokens = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t max_adapters = 0;
    /// Maximum rate of loads from the weight store over all servers, per
    /// second.
    double loads_per_second = 0.0;
    std::vector<engine_model> models;
};

struct gateway_service
{
    service_id id;
    /// Maximum number of connections that one backend server accepts in total.
    std::uint32_t max_connections = 0;
    std::optional<engine_options> engine;
};

/// Limits on the size and duration of callers' requests.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = std::uint64_t{4} * 1024 * 1024;
    duration header_timeout{3000};
    duration idle_timeout{15000};
};

/// The rate of tokens that an organisation's requests may use, over all
/// daemons together.
struct token_quota
{
    /// Tokens per second; zero if there is no limit.
    double per_second = 0.0;
    /// Tokens that may be used at once on top of the rate.
    double burst = 0.0;
    /// Tokens of a request that states no token count.
    std::uint64_t plain_tokens = 0;
    /// False if the declared limit could not be decoded. Whatever is run may
    /// then exceed it, so all requests of the organisation are refused.
    bool is_readable = true;

    bool is_limited() const noexcept
    {
        return per_second > 0.0;
    }

    friend bool operator==(const token_quota&, const token_quota&) = default;
};

/// An organisation whose callers identify themselves by keys.
struct gateway_organisation
{
    organisation_id id;
    /// Digests of the keys (`content_digest`); the keys themselves are not
    /// retained.
    std::vector<std::string> key_digests;
    /// Takes precedence over the priority of the route; zero is the most
    /// urgent.
    std::optional<std::uint32_t> priority;
    token_quota quota;
    /// The share of the servers that the organisation may have relative to
    /// others when there is too little room: its rate of tokens. One without a
    /// limit counts as the largest one with a limit. Set by
    /// `derive_from_entries`.
    double share_weight = 1.0;
};

/// A part of a configuration that could not be used and is not in force.
struct configuration_fault
{
    /// Where it is, by the names and indexes of the fields.
    std::string place;
    /// Never contains the value at that place, which may be a key.
    std::string reason;

    friend bool operator==(const configuration_fault&,
                           const configuration_fault&) = default;
};

/// The order of requests by urgency: by the priority of the organisation, and
/// among its equals by that of the route.
struct request_precedence
{
    std::uint32_t organisation = 0;
    std::uint32_t route = 0;

    friend auto operator<=>(const request_precedence&,
                            const request_precedence&) = default;
};

/// One complete version of the operators' configuration.
struct gateway_configuration
{
    std::uint64_t version = 0;
    std::vector<gateway_route> routes;
    std::vector<gateway_service> services;
    caller_limits limits;
    /// Empty where callers need no keys.
    std::vector<gateway_organisation> organisations;
    /// The precedences of all routes with all organisations in ascending order;
    /// empty without organisations. Set by `derive_from_entries`.
    std::vector<request_precedence> precedences;
    /// All values of `request_priority` in ascending order. Set by
    /// `derive_from_entries`.
    std::vector<std::uint32_t> priorities;
    /// True if organisations are declared, even if none of the entries could
    /// be decoded: requests then need a key.
    bool requires_keys = false;
    /// What of this version is not in force.
    std::vector<configuration_fault> faults;

    const gateway_service* find_service(const service_id& id) const;
};

/// Returns the route of a request: among the routes of its host, the one with
/// the longest prefix of its path; null if there is none. `host` may include a
/// port.
const gateway_route* match_route(const gateway_configuration& configuration,
                                 std::string_view host,
                                 std::string_view path);

/// Sets what follows from all entries together: the targets of routes'
/// queues, the order of requests by urgency, and the shares of organisations.
void derive_from_entries(gateway_configuration& configuration);

/// Returns the priority of a request, 0 for the most urgent ones.
/// `organisation` is null for callers that need no key. Without organisations
/// it is the priority of the route; with them, the rank of the precedence.
std::uint32_t request_priority(const gateway_configuration& configuration,
                               const gateway_route& route,
                               const gateway_organisation* organisation);

/// Chooses a service of the route by weight; `draw` is a random number. Returns
/// null if the route has no services.
const service_id* choose_service(const gateway_route& route,
                                 std::uint64_t draw);

} // namespace barleyfork

#endif
