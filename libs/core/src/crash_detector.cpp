#include <barleyfork/core/crash_detector.hpp>

#include <barleyfork/base/digest.hpp>

#include <algorithm>
#include <utility>

namespace barleyfork {

namespace {

crashed_process to_crashed_process(const server_process& process,
                                   const std::set<crash_suspect>& requests)
{
    return {hash64(process.server.value(), process.started_ms),
            {requests.begin(), requests.end()}};
}

} // namespace

std::optional<time_point> crash_detector::on_connection_broken(
    const listening_process& at, const broken_request& broken, time_point now)
{
    remove_expired(now);
    auto& known = record_of(at);
    record_broken(known, broken);
    if (known.probe_due)
        return std::nullopt;
    known.probe_due = true;
    const auto earliest = now + settling_period;
    known.probed_at =
        known.probed_at
            ? std::max(earliest, *known.probed_at + min_probe_interval)
            : earliest;
    return known.probed_at;
}

std::optional<time_point> crash_detector::on_request_abandoned(
    const listening_process& at, const crash_suspects& suspects, time_point now)
{
    remove_expired(now);
    auto& known = record_of(at);
    // The connections of an exited process have broken already.
    if (known.exited_at)
        return std::nullopt;
    record_abandoned(known, suspects, now);
    if (known.abandoned_probe_at &&
        now + min_abandoned_probe_delay <= *known.abandoned_probe_at)
        return std::nullopt;
    known.abandoned_probe_at = now + abandoned_probe_delay;
    return known.abandoned_probe_at;
}

void crash_detector::record_abandoned(server_record& known,
                                      const crash_suspects& suspects,
                                      time_point now)
{
    std::erase_if(known.abandoned,
                  [now](const auto& item) { return now >= item.second; });
    for (const auto suspect : suspects.all())
        if (known.abandoned.size() < max_recorded_suspects)
            known.abandoned[suspect] = now + abandoned_retention;
}

/// Adds the abandoned requests that count as in flight.
void crash_detector::add_abandoned(const server_record& known,
                                   time_point now,
                                   std::set<crash_suspect>& requests)
{
    for (const auto& [suspect, until] : known.abandoned)
        if (now < until)
            requests.insert(suspect);
}

/// Returns the record of a process's server, without what an earlier process
/// left there.
crash_detector::server_record&
crash_detector::record_of(const listening_process& at)
{
    auto& known = servers_[at.process.server];
    if (known.started_ms != at.process.started_ms)
        reset_for(known, at);
    return known;
}

/// Discards the records of an earlier process, which do not apply to this one.
void crash_detector::reset_for(server_record& known,
                               const listening_process& at)
{
    known.started_ms = at.process.started_ms;
    known.address = at.address;
    known.port = at.port;
    known.requests.clear();
    known.abandoned.clear();
    known.successor_requests.clear();
    known.unattributed_requests.clear();
    known.successor.reset();
    known.exited_at.reset();
}

void crash_detector::record_broken(server_record& known,
                                   const broken_request& broken)
{
    const bool later = known.exited_at && broken.sent_at >= *known.exited_at;
    auto& requests = later ? known.successor_requests : known.requests;
    for (const auto suspect : broken.suspects.all())
        if (requests.size() < max_recorded_suspects)
            requests.insert(suspect);
}

std::vector<crashed_process> crash_detector::on_probe(const server_id& server,
                                                      bool is_running,
                                                      time_point now)
{
    const auto found = servers_.find(server);
    if (found == servers_.end())
        return {};
    auto& known = found->second;
    known.probe_due = false;
    if (!is_running)
        known.unattributed_requests.merge(known.successor_requests);
    known.successor_requests.clear();
    auto requests = std::exchange(known.requests, {});
    if (!known.exited_at && !is_running) {
        known.exited_at = now;
        add_abandoned(known, now, requests);
        known.abandoned.clear();
    }
    std::vector<crashed_process> crashed;
    // A process that listens at the address of an exited one is its successor,
    // so a successful probe does not refute the exit.
    if (known.exited_at && !requests.empty())
        crashed.push_back(
            to_crashed_process({server, known.started_ms}, requests));
    if (known.successor && !known.unattributed_requests.empty())
        crashed.push_back(to_crashed_process(
            *known.successor, std::exchange(known.unattributed_requests, {})));
    return crashed;
}

/// Returns whether the process took the address after the known process exited.
bool crash_detector::is_successor_of(const listening_process& at,
                                     const server_record& known)
{
    return known.exited_at && known.port == at.port &&
           known.address == at.address &&
           at.process.started_ms > known.started_ms;
}

std::optional<crashed_process>
crash_detector::on_process_listed(const listening_process& at)
{
    std::set<crash_suspect> requests;
    for (auto& [server, known] : servers_) {
        if (known.successor || !is_successor_of(at, known))
            continue;
        known.successor = at.process;
        requests.merge(std::exchange(known.unattributed_requests, {}));
    }
    if (requests.empty())
        return std::nullopt;
    return to_crashed_process(at.process, requests);
}

void crash_detector::remove_expired(time_point now)
{
    std::erase_if(servers_, [now](const auto& item) {
        return !item.second.probe_due && now >= kept_until(item.second);
    });
}

time_point crash_detector::kept_until(const server_record& known)
{
    const auto memory = known.exited_at ? exited_retention : min_probe_interval;
    const auto probed_at = known.probed_at.value_or(time_point{});
    const auto abandoned_probe_at =
        known.abandoned_probe_at.value_or(time_point{});
    return std::max(probed_at + memory,
                    abandoned_probe_at + std::max(memory, abandoned_retention));
}

} // namespace barleyfork
