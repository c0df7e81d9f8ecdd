#include "load_board.hpp"

#include <algorithm>

namespace barleyfork {

namespace {

/// Weight of the newest time to first token in the average.
constexpr double newest_share = 0.2;

} // namespace

void load_board::begin(const server_id& server, std::uint64_t fingerprint)
{
    loads_[server].fingerprints.push_back(fingerprint);
}

void load_board::end(const server_id& server, std::uint64_t fingerprint)
{
    auto& prints = loads_[server].fingerprints;
    const auto found = std::find(prints.begin(), prints.end(), fingerprint);
    if (found != prints.end())
        prints.erase(found);
}

void load_board::reported(const server_id& server,
                          std::uint32_t load,
                          time_point now)
{
    auto& entry = loads_[server];
    entry.reported = load;
    entry.reported_at = now;
}

void load_board::first_token(const server_id& server, double milliseconds)
{
    auto& average = loads_[server].first_token_ms;
    average += newest_share * (milliseconds - average);
}

void load_board::suspect(const server_id& server, time_point until)
{
    loads_[server].suspect_until = until;
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

std::vector<std::uint64_t> load_board::in_flight(const server_id& server) const
{
    const auto found = loads_.find(server);
    return found == loads_.end() ? std::vector<std::uint64_t>()
                                 : found->second.fingerprints;
}

} // namespace barleyfork
