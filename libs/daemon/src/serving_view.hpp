#ifndef BARLEYFORK_DAEMON_SRC_SERVING_VIEW_HPP
#define BARLEYFORK_DAEMON_SRC_SERVING_VIEW_HPP

#include <barleyfork/core/catalog.hpp>
#include <barleyfork/core/crash_quarantine.hpp>
#include <barleyfork/net/url.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace barleyfork {

/// A backend server to which requests may be sent.
struct serving_server
{
    server_entry entry;
    http_endpoint endpoint;
    /// False if its URL can't be used.
    bool reachable = true;
};

/// A model version that is ready on a server.
struct serving_replica
{
    /// Index into `serving_view::servers`.
    std::size_t server = 0;
    std::uint32_t version = 0;
};

/// Indices of the servers of each plain service.
using service_servers =
    std::unordered_map<std::string, std::vector<std::size_t>>;

/// The state from which the caller worker routes; immutable and shared.
struct serving_view
{
    std::uint64_t revision = 0;
    std::shared_ptr<const catalog> config;
    /// The staged catalog, set once its decision is overdue.
    std::shared_ptr<const catalog> undecided;
    /// Shared by all views of one catalog.
    std::shared_ptr<const std::vector<serving_server>> servers =
        std::make_shared<std::vector<serving_server>>();
    /// By server index: false while the server is shutting down, so that it
    /// receives no new requests.
    std::vector<bool> usable;
    std::unordered_map<model_id, std::vector<serving_replica>> replicas;
    service_servers services;
    /// The number of live daemons among which organisation limits are divided.
    std::size_t live_daemon_count = 1;
    /// Instances that are no longer on the platform's list.
    std::set<instance_id> gone;
    /// Crashes attributed to requests, by this daemon and by its peers.
    std::vector<crash_blame> quarantine;
};

} // namespace barleyfork

#endif
