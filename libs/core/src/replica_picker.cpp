#include <barleyfork/core/replica_picker.hpp>

#include <barleyfork/base/digest.hpp>

#include <algorithm>
#include <vector>

namespace barleyfork {

namespace {

/// Number of requests by which a cached prefix reduces the cost.
constexpr double affinity_credit = 1.5;
/// Number of requests to which the cost of the paid link between regions is
/// equal.
constexpr double link_cost = 4.0;
/// Ranks suspects behind all other replicas.
constexpr double suspect_cost = 1e6;
/// Age at which a report has half of its weight.
constexpr double report_half_life_ms = 1000.0;
/// Time to first token that costs as much as one queued request, in
/// milliseconds.
constexpr double delay_unit_ms = 100.0;

/// Returns the index of the candidate for a prompt prefix, by rendezvous
/// hashing.
std::size_t find_affine_index(std::span<const replica_candidate> candidates,
                              std::uint64_t key)
{
    std::size_t best = 0;
    std::uint64_t best_score = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto score = hash64(candidates[i].server.value(), key);
        if (i != 0 && score <= best_score)
            continue;
        best = i;
        best_score = score;
    }
    return best;
}

double cost_of(const replica_candidate& candidate, time_point now)
{
    const auto age = static_cast<double>((now - candidate.reported_at).count());
    const double report_weight =
        report_half_life_ms / (report_half_life_ms + age);
    double cost = candidate.own_outstanding;
    cost += report_weight * candidate.reported_outstanding;
    cost += candidate.first_token_ms / delay_unit_ms;
    cost += candidate.is_in_other_region ? link_cost : 0.0;
    cost += candidate.suspect ? suspect_cost : 0.0;
    return cost;
}

/// Chooses the cheapest of two random candidates and the candidate for the
/// cached prefix.
class power_of_two_picker : public replica_picker
{
public:
    std::optional<std::size_t>
    pick(std::span<const replica_candidate> candidates,
         const pick_context& request,
         time_point now) const override
    {
        if (candidates.empty())
            return std::nullopt;
        const auto size = candidates.size();
        const auto first = (request.random & 0xffffffff) % size;
        auto second = (request.random >> 32) % size;
        if (second == first)
            second = (first + 1) % size;
        std::vector<std::size_t> choices{first, second};
        const bool has_affinity = request.affinity_key != 0;
        if (has_affinity)
            choices.push_back(
                find_affine_index(candidates, request.affinity_key));
        // If both random candidates are suspect or in another region, all
        // candidates are compared.
        if (is_costly(candidates[first]) && is_costly(candidates[second]))
            for (std::size_t i = 0; i < size; ++i)
                choices.push_back(i);
        std::size_t best = first;
        double best_cost = 0.0;
        for (std::size_t i = 0; i < choices.size(); ++i) {
            double cost = cost_of(candidates[choices[i]], now);
            if (has_affinity && i == 2)
                cost -= affinity_credit;
            if (i != 0 && cost >= best_cost)
                continue;
            best = choices[i];
            best_cost = cost;
        }
        return best;
    }

private:
    static bool is_costly(const replica_candidate& candidate)
    {
        return candidate.suspect || candidate.is_in_other_region;
    }
};

/// Chooses uniformly at random. A baseline for comparisons.
class random_picker : public replica_picker
{
public:
    std::optional<std::size_t>
    pick(std::span<const replica_candidate> candidates,
         const pick_context& request,
         time_point) const override
    {
        if (candidates.empty())
            return std::nullopt;
        return request.random % candidates.size();
    }
};

/// Chooses the replica with the lowest reported load. A baseline for
/// comparisons.
class least_reported_picker : public replica_picker
{
public:
    std::optional<std::size_t>
    pick(std::span<const replica_candidate> candidates,
         const pick_context&,
         time_point) const override
    {
        if (candidates.empty())
            return std::nullopt;
        const auto best = std::min_element(
            candidates.begin(), candidates.end(), [](auto& a, auto& b) {
                return a.reported_outstanding < b.reported_outstanding;
            });
        return static_cast<std::size_t>(best - candidates.begin());
    }
};

} // namespace

std::unique_ptr<replica_picker> make_replica_picker(std::string_view name)
{
    if (name == "power_of_two")
        return std::make_unique<power_of_two_picker>();
    if (name == "random")
        return std::make_unique<random_picker>();
    if (name == "least_reported")
        return std::make_unique<least_reported_picker>();
    return nullptr;
}

} // namespace barleyfork
