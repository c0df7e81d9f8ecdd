#include <barleyfork/core/server_choice.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace barleyfork {

namespace {

/// Delay of the next first event by each running request, in ms.
constexpr double ms_per_running_request = 0.5;
/// Age at which a reported queue is assumed to have drained, in ms.
constexpr double report_ttl_ms = 500.0;
/// Age at which all requests that a report shows as running are assumed to have
/// ended.
constexpr duration running_report_lifetime{5000};
/// Assumed prompt tokens of a waiting request that is known only from a report.
constexpr double assumed_prompt_tokens = 1500.0;
/// Cost of a server on which all recent requests failed, in ms.
constexpr double failure_penalty_ms = 2000.0;
/// Ranks servers on which the request was already attempted last, in ms.
constexpr double tried_penalty_ms = 10000.0;
/// Cost of paid traffic and of network latency by distance, in ms.
constexpr std::array<double, 3> engine_distance_ms{0.0, 4.0, 60.0};
constexpr std::array<double, 3> plain_distance_ms{0.0, 4.0, 30.0};
/// Cost of opening a connection for the server and the network, in ms.
constexpr double connect_ms = 8.0;
/// Costs that differ by less are treated as equal, in ms.
constexpr double tie_ms = 2.0;
/// Multiple of the usual queue of the candidates up to which differences of
/// their queues may be due to work that is not reported yet.
constexpr double max_uncertain_queues = 2.0;

/// Returns the part of the cost that depends neither on the queue nor on the
/// distance of the server, in ms.
double fixed_cost(const server_candidate& candidate)
{
    return candidate.load.failure_rate * failure_penalty_ms +
           (candidate.tried ? tried_penalty_ms : 0.0) +
           (candidate.connected ? 0.0 : connect_ms);
}

/// Returns the requests that the server reported in excess of this daemon's
/// own, with a weight that decreases with the age of the report.
double reported_by_others(std::uint64_t reported,
                          std::uint32_t own,
                          const load_view& load)
{
    if (!load.reported || reported <= own)
        return 0.0;
    const auto age = static_cast<double>(load.report_age.count());
    const double report_weight = std::max(0.0, 1.0 - age / report_ttl_ms);
    return report_weight * static_cast<double>(reported - own);
}

/// Chooses at random among the candidates whose cost exceeds the lowest cost by
/// at most `band_ms`; prefers candidates with an open connection.
template <typename Cost>
std::optional<std::size_t>
choose_cheapest(std::span<const server_candidate> candidates,
                Cost cost,
                double band_ms,
                std::uint64_t draw)
{
    std::vector<double> costs;
    costs.reserve(candidates.size());
    for (const auto& candidate : candidates)
        costs.push_back(cost(candidate));
    if (costs.empty())
        return std::nullopt;
    const double max_cost =
        *std::min_element(costs.begin(), costs.end()) + band_ms;
    std::vector<std::size_t> cheapest;
    std::vector<std::size_t> connected;
    for (std::size_t i = 0; i < costs.size(); ++i) {
        if (costs[i] > max_cost)
            continue;
        cheapest.push_back(i);
        if (candidates[i].connected)
            connected.push_back(i);
    }
    const auto& from = connected.empty() ? cheapest : connected;
    return from[draw % from.size()];
}

/// Returns how many requests of other daemons a server holds, by its report or
/// by their updates.
double outstanding_of_others(const load_view& load)
{
    return std::max(reported_by_others(std::uint64_t{load.reported_running} +
                                           load.reported_waiting,
                                       load.own_outstanding,
                                       load),
                    static_cast<double>(load.peer_outstanding));
}

/// Returns the usual time that a request waits at the candidates, in ms.
double usual_queue_ms(std::span<const server_candidate> candidates,
                      const engine_work& work)
{
    if (candidates.empty())
        return 0.0;
    const double own_ms =
        work.base_ms +
        static_cast<double>(work.prompt_tokens) * work.ms_per_token;
    std::vector<double> queues;
    queues.reserve(candidates.size());
    for (const auto& candidate : candidates)
        queues.push_back(expected_first_event_ms(candidate, work) - own_ms);
    const auto middle =
        queues.begin() + static_cast<std::ptrdiff_t>(queues.size() / 2);
    std::nth_element(queues.begin(), middle, queues.end());
    return std::max(*middle, 0.0);
}

} // namespace

double expected_admission_ms(const server_candidate& candidate,
                             const engine_work& work)
{
    const auto& load = candidate.load;
    const double others = outstanding_of_others(load);
    const double slots = std::max<double>(candidate.slots, 1.0);
    const double above_slots = std::max(
        static_cast<double>(load.own_outstanding) + others + 1.0 - slots, 0.0);
    const double slot_ms = work.usual_total_ms * above_slots / slots;
    if (candidate.cache_tokens == 0)
        return slot_ms;
    const auto memory = static_cast<double>(candidate.cache_tokens);
    const double above_memory = std::max(
        static_cast<double>(load.own_memory_tokens + work.memory_tokens) +
            others * work.usual_memory_tokens - memory,
        0.0);
    return std::max(slot_ms, work.usual_total_ms * above_memory / memory);
}

double expected_first_event_ms(const server_candidate& candidate,
                               const engine_work& work)
{
    const auto& load = candidate.load;
    const double known =
        static_cast<double>(load.own_waiting_tokens + load.peer_tokens);
    const double reported =
        assumed_prompt_tokens * load.urgent_share *
        reported_by_others(load.reported_waiting, load.own_waiting, load);
    const double queue_ms =
        std::max(std::max(known, reported) * work.ms_per_token * load.slowness,
                 expected_admission_ms(candidate, work));
    const double waited_ms = static_cast<double>(load.oldest_wait.count());
    const auto known_running = load.own_outstanding + load.peer_outstanding;
    const bool is_report_current =
        load.reported && load.report_age < running_report_lifetime;
    const double running_delay_ms =
        ms_per_running_request *
        static_cast<double>(is_report_current
                                ? std::max(load.reported_running, known_running)
                                : known_running);
    const double own_ms = static_cast<double>(work.prompt_tokens) *
                          work.ms_per_token * load.slowness;
    return work.base_ms * load.slowness + own_ms + running_delay_ms +
           std::max(queue_ms, waited_ms - own_ms);
}

double expected_answer_ms(const server_candidate& candidate, double service_ms)
{
    const auto& load = candidate.load;
    const double others = outstanding_of_others(load);
    const double in_flight = static_cast<double>(load.own_outstanding) + others;
    const double slots = std::max<double>(candidate.slots, 1.0);
    const double waited_ms = static_cast<double>(load.oldest_wait.count());
    return std::max(service_ms * load.slowness * (1.0 + in_flight / slots),
                    waited_ms);
}

std::optional<std::size_t>
choose_engine(std::span<const server_candidate> candidates,
              const engine_work& work,
              std::uint64_t draw)
{
    const double uncertainty_ms =
        std::min(work.uncertainty_ms,
                 max_uncertain_queues * usual_queue_ms(candidates, work));
    return choose_cheapest(
        candidates,
        [&work](const server_candidate& candidate) {
            const auto away = static_cast<std::size_t>(candidate.away);
            return expected_first_event_ms(candidate, work) +
                   engine_distance_ms.at(away) + fixed_cost(candidate);
        },
        std::max(uncertainty_ms, tie_ms),
        draw);
}

std::optional<std::size_t>
choose_plain_server(std::span<const server_candidate> candidates,
                    double service_ms,
                    std::uint64_t draw)
{
    return choose_cheapest(
        candidates,
        [service_ms](const server_candidate& candidate) {
            const auto away = static_cast<std::size_t>(candidate.away);
            return expected_answer_ms(candidate, service_ms) +
                   plain_distance_ms.at(away) + fixed_cost(candidate);
        },
        tie_ms,
        draw);
}

} // namespace barleyfork
