#include <barleyfork/core/server_choice.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace barleyfork {

namespace {

/// A running request slows the next first event by about this, in ms.
constexpr double running_ms = 0.5;
/// A reported queue is taken to be gone after this.
constexpr double report_life_ms = 500.0;
/// Tokens of a prompt that is known only as a reported waiting request.
constexpr double usual_prompt_tokens = 1500.0;
/// What a failing server costs beyond a sound one, in ms.
constexpr double failure_ms = 2000.0;
/// A server that this request was on before comes last.
constexpr double tried_ms = 10000.0;
/// Paid traffic and the way itself, as milliseconds.
constexpr std::array<double, 3> engine_distance_ms{0.0, 4.0, 60.0};
constexpr std::array<double, 3> plain_distance_ms{0.0, 4.0, 30.0};
/// What opening a connection costs the server and the way, as milliseconds.
constexpr double connect_ms = 8.0;
/// Costs that differ by less are equal, in ms.
constexpr double tie_ms = 2.0;

double standing_cost(const server_candidate& candidate)
{
    return candidate.load.failure * failure_ms +
           (candidate.tried ? tried_ms : 0.0) +
           (candidate.connected ? 0.0 : connect_ms);
}

/// What the server reported beyond this daemon's own, fading with age.
double reported_beyond(std::uint32_t reported,
                       std::uint32_t own,
                       const load_view& load)
{
    if (!load.reported || reported <= own)
        return 0.0;
    const auto age = static_cast<double>(load.report_age.count());
    const double fresh = std::max(0.0, 1.0 - age / report_life_ms);
    return fresh * static_cast<double>(reported - own);
}

/// Picks by chance among the candidates that cost about as little as the
/// cheapest; those to which a connection is open go first.
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
    const double bound =
        *std::min_element(costs.begin(), costs.end()) + band_ms;
    std::vector<std::size_t> cheap;
    std::vector<std::size_t> connected;
    for (std::size_t i = 0; i < costs.size(); ++i) {
        if (costs[i] > bound)
            continue;
        cheap.push_back(i);
        if (candidates[i].connected)
            connected.push_back(i);
    }
    const auto& from = connected.empty() ? cheap : connected;
    return from[draw % from.size()];
}

} // namespace

double expected_first_event_ms(const server_candidate& candidate,
                               const engine_work& work)
{
    const auto& load = candidate.load;
    const double known =
        static_cast<double>(load.own_waiting_tokens + load.peer_tokens);
    const double reported =
        usual_prompt_tokens * load.urgent_share *
        reported_beyond(load.reported_waiting, load.own_waiting, load);
    const double queue_ms = std::max(known, reported) * work.ms_per_token;
    const double waited = static_cast<double>(load.oldest_wait.count());
    const double running =
        running_ms * static_cast<double>(std::max(load.reported_running,
                                                  load.own_outstanding +
                                                      load.peer_outstanding));
    const double own =
        static_cast<double>(work.prompt_tokens) * work.ms_per_token;
    return work.base_ms + own + running + std::max(queue_ms, waited - own);
}

double expected_answer_ms(const server_candidate& candidate, double service_ms)
{
    const auto& load = candidate.load;
    const double beyond =
        std::max(reported_beyond(load.reported_running + load.reported_waiting,
                                 load.own_outstanding,
                                 load),
                 static_cast<double>(load.peer_outstanding));
    const double busy = static_cast<double>(load.own_outstanding) + beyond;
    const double slots = std::max<double>(candidate.slots, 1.0);
    const double waited = static_cast<double>(load.oldest_wait.count());
    return std::max(service_ms * (1.0 + busy / slots), waited);
}

std::optional<std::size_t>
choose_engine(std::span<const server_candidate> candidates,
              const engine_work& work,
              std::uint64_t draw)
{
    return choose_cheapest(
        candidates,
        [&work](const server_candidate& candidate) {
            const auto away = static_cast<std::size_t>(candidate.away);
            return expected_first_event_ms(candidate, work) +
                   engine_distance_ms.at(away) + standing_cost(candidate);
        },
        std::max(work.uncertainty_ms, tie_ms),
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
                   plain_distance_ms.at(away) + standing_cost(candidate);
        },
        tie_ms,
        draw);
}

} // namespace barleyfork
