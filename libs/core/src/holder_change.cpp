#include <barleyfork/core/holder_change.hpp>

#include <tuple>

namespace barleyfork {

std::optional<std::size_t>
choose_successor(std::span<const successor_candidate> candidates,
                 time_point now)
{
    const auto rank = [](const successor_candidate& candidate) {
        return std::tie(
            candidate.link_mbps, candidate.started_ms, candidate.id);
    };
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& candidate = candidates[i];
        const bool silent = candidate.heard_at == time_point{} ||
                            now >= candidate.heard_at + successor_silence;
        if (silent || (best && rank(candidate) <= rank(candidates[*best])))
            continue;
        best = i;
    }
    return best;
}

} // namespace barleyfork
