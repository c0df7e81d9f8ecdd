#include <barleyfork/core/crash_detector.hpp>

#include <barleyfork/base/digest.hpp>

#include <algorithm>

namespace barleyfork {

std::optional<time_point> crash_detector::on_broken(
    const server_process& process, std::uint64_t fingerprint, time_point now)
{
    forget_old(now);
    auto& known = servers_[process.server];
    if (known.started_ms != process.started_ms)
        known.requests.clear();
    known.started_ms = process.started_ms;
    if (known.requests.size() < most_requests)
        known.requests.insert(fingerprint);
    if (known.probe_due)
        return std::nullopt;
    known.probe_due = true;
    const auto earliest = now + settling;
    known.probed_at = known.probed_at
                          ? std::max(earliest, *known.probed_at + probe_pause)
                          : earliest;
    return known.probed_at;
}

std::optional<ended_process> crash_detector::on_probe(const server_id& server,
                                                      bool lives)
{
    const auto found = servers_.find(server);
    if (found == servers_.end() || !found->second.probe_due)
        return std::nullopt;
    auto& known = found->second;
    known.probe_due = false;
    const std::vector<std::uint64_t> requests(known.requests.begin(),
                                              known.requests.end());
    known.requests.clear();
    if (lives)
        return std::nullopt;
    return ended_process{hash64(server.value(), known.started_ms), requests};
}

void crash_detector::forget_old(time_point now)
{
    std::erase_if(servers_, [now](const auto& item) {
        return !item.second.probe_due &&
               now >= *item.second.probed_at + probe_pause;
    });
}

} // namespace barleyfork
