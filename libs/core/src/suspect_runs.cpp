#include <barleyfork/core/suspect_runs.hpp>

#include <algorithm>

namespace barleyfork {

void suspect_runs::begin(std::uint64_t fingerprint, const server_id& server)
{
    servers_.insert_or_assign(fingerprint, server);
}

void suspect_runs::end(std::uint64_t fingerprint)
{
    servers_.erase(fingerprint);
}

bool suspect_runs::runs(std::uint64_t fingerprint) const
{
    return servers_.contains(fingerprint);
}

bool suspect_runs::is_server_occupied(const server_id& server) const
{
    return std::any_of(
        servers_.begin(), servers_.end(), [&server](const auto& item) {
            return item.second == server;
        });
}

} // namespace barleyfork
