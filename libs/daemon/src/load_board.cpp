#include "load_board.hpp"

#include <algorithm>

namespace barleyfork {

namespace {

/// Weight of the newest time to first token in the moving average.
constexpr double newest_weight = 0.2;

} // namespace

load_board::load_board(std::uint32_t max_limit) : max_limit_(max_limit) {}

load_board::server_load& load_board::at(const server_id& server)
{
    return loads_.try_emplace(server, max_limit_).first->second;
}

void load_board::begin(const server_id& server, std::uint64_t fingerprint)
{
    at(server).fingerprints.push_back(fingerprint);
}

void load_board::end(const server_id& server, std::uint64_t fingerprint)
{
    auto& prints = at(server).fingerprints;
    const auto found = std::find(prints.begin(), prints.end(), fingerprint);
    if (found != prints.end())
        prints.erase(found);
}

void load_board::record_load(const server_id& server,
                             std::uint32_t load,
                             time_point now)
{
    auto& entry = at(server);
    entry.reported = load;
    entry.reported_at = now;
}

void load_board::record_first_token(const server_id& server,
                                    double milliseconds,
                                    double target_ms,
                                    time_point now)
{
    auto& load = at(server);
    load.first_token_ms += newest_weight * (milliseconds - load.first_token_ms);
    load.limit.on_first_token(
        milliseconds, target_ms, outstanding(server), now);
}

void load_board::suspect(const server_id& server, time_point until)
{
    at(server).suspect_until = until;
}

void load_board::fill(replica_candidate& candidate, time_point now) const
{
    const auto found = loads_.find(candidate.server);
    if (found == loads_.end())
        return;
    const auto& load = found->second;
    candidate.own_outstanding =
        static_cast<std::uint32_t>(load.fingerprints.size());
    candidate.reported_outstanding = load.reported;
    candidate.reported_at = load.reported_at;
    candidate.first_token_ms = load.first_token_ms;
    candidate.suspect = now < load.suspect_until;
}

std::uint32_t load_board::outstanding(const server_id& server) const
{
    const auto found = loads_.find(server);
    return found == loads_.end()
               ? 0
               : static_cast<std::uint32_t>(found->second.fingerprints.size());
}

std::uint32_t load_board::limit(const server_id& server) const
{
    const auto found = loads_.find(server);
    return found == loads_.end() ? max_limit_ : found->second.limit.limit();
}

std::vector<std::uint64_t> load_board::in_flight(const server_id& server) const
{
    const auto found = loads_.find(server);
    return found == loads_.end() ? std::vector<std::uint64_t>()
                                 : found->second.fingerprints;
}

} // namespace barleyfork
