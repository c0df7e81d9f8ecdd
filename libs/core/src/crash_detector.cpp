#include <barleyfork/core/crash_detector.hpp>

#include <barleyfork/base/digest.hpp>

#include <algorithm>
#include <utility>

namespace barleyfork {

namespace {

ended_process to_ended(const server_process& process,
                       const std::set<std::uint64_t>& requests)
{
    return {hash64(process.server.value(), process.started_ms),
            {requests.begin(), requests.end()}};
}

} // namespace

std::optional<time_point> crash_detector::on_broken(
    const listening_process& at, const broken_request& broken, time_point now)
{
    forget_old(now);
    auto& known = servers_[at.process.server];
    if (known.started_ms != at.process.started_ms)
        restart(known, at);
    note(known, broken);
    if (known.probe_due)
        return std::nullopt;
    known.probe_due = true;
    const auto earliest = now + settling;
    known.probed_at = known.probed_at
                          ? std::max(earliest, *known.probed_at + probe_pause)
                          : earliest;
    return known.probed_at;
}

/// What is known of an earlier process is no news of this one.
void crash_detector::restart(suspicion& known, const listening_process& at)
{
    known.started_ms = at.process.started_ms;
    known.address = at.address;
    known.port = at.port;
    known.requests.clear();
    known.later_requests.clear();
    known.nameless_requests.clear();
    known.successor.reset();
    known.ended_at.reset();
}

void crash_detector::note(suspicion& known, const broken_request& broken)
{
    const bool later = known.ended_at && broken.sent_at >= *known.ended_at;
    auto& requests = later ? known.later_requests : known.requests;
    if (requests.size() < most_requests)
        requests.insert(broken.fingerprint);
}

std::vector<ended_process>
crash_detector::on_probe(const server_id& server, bool lives, time_point now)
{
    const auto found = servers_.find(server);
    if (found == servers_.end() || !found->second.probe_due)
        return {};
    auto& known = found->second;
    known.probe_due = false;
    if (!lives)
        known.nameless_requests.merge(known.later_requests);
    known.later_requests.clear();
    const auto requests = std::exchange(known.requests, {});
    if (!known.ended_at && !lives)
        known.ended_at = now;
    std::vector<ended_process> ended;
    // What listens where a process ended is its successor.
    if (known.ended_at && !requests.empty())
        ended.push_back(to_ended({server, known.started_ms}, requests));
    if (known.successor && !known.nameless_requests.empty())
        ended.push_back(to_ended(*known.successor,
                                 std::exchange(known.nameless_requests, {})));
    return ended;
}

/// True where the process took the address after the known one.
bool crash_detector::succeeds(const listening_process& at,
                              const suspicion& known)
{
    return known.ended_at && known.port == at.port &&
           known.address == at.address &&
           at.process.started_ms > known.started_ms;
}

std::optional<ended_process>
crash_detector::on_listed(const listening_process& at)
{
    std::set<std::uint64_t> requests;
    for (auto& [server, known] : servers_) {
        if (known.successor || !succeeds(at, known))
            continue;
        known.successor = at.process;
        requests.merge(std::exchange(known.nameless_requests, {}));
    }
    if (requests.empty())
        return std::nullopt;
    return to_ended(at.process, requests);
}

void crash_detector::forget_old(time_point now)
{
    std::erase_if(servers_, [now](const auto& item) {
        const auto& known = item.second;
        const auto memory = known.ended_at ? ended_memory : probe_pause;
        return !known.probe_due && now >= *known.probed_at + memory;
    });
}

} // namespace barleyfork
