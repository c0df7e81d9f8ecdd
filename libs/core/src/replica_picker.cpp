#include <barleyfork/core/replica_picker.hpp>

#include <barleyfork/base/digest.hpp>

#include <algorithm>
#include <vector>

namespace barleyfork {

namespace {

/// Extra requests that a cached prefix is worth.
constexpr double affinity_credit = 1.5;
/// Extra requests that a trip across the paid link costs.
constexpr double link_cost = 4.0;
/// Keeps suspects behind every other replica.
constexpr double suspect_cost = 1e6;
/// A report loses half of its say in this time.
constexpr double report_half_life_ms = 1000.0;
/// Milliseconds of first-token time that count like one queued request.
constexpr double delay_unit_ms = 100.0;

std::size_t affine_index(std::span<const replica_candidate> candidates,
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
    const double trust = report_half_life_ms / (report_half_life_ms + age);
    double cost = candidate.own_outstanding;
    cost += trust * candidate.reported_outstanding;
    cost += candidate.first_token_ms / delay_unit_ms;
    cost += candidate.across_link ? link_cost : 0.0;
    cost += candidate.suspect ? suspect_cost : 0.0;
    return cost;
}

/// Two random candidates and the one with the cached prefix; least cost wins.
class power_of_two_picker : public replica_picker
{
public:
    std::optional<std::size_t>
    pick(std::span<const replica_candidate> candidates,
         const pick_request& request,
         time_point now) const override
    {
        if (candidates.empty())
            return std::nullopt;
        const auto size = candidates.size();
        const auto first = (request.random & 0xffffffff) % size;
        auto second = (request.random >> 32) % size;
        if (second == first)
            second = (first + 1) % size;
        std::vector<std::size_t> tries{first, second};
        const bool affine = request.affinity_key != 0;
        if (affine)
            tries.push_back(affine_index(candidates, request.affinity_key));
        // Away from the common case, look at all rather than at a bad pair.
        if (is_costly(candidates[first]) && is_costly(candidates[second]))
            for (std::size_t i = 0; i < size; ++i)
                tries.push_back(i);
        std::size_t best = first;
        double best_cost = 0.0;
        for (std::size_t i = 0; i < tries.size(); ++i) {
            double cost = cost_of(candidates[tries[i]], now);
            if (affine && i == 2)
                cost -= affinity_credit;
            if (i != 0 && cost >= best_cost)
                continue;
            best = tries[i];
            best_cost = cost;
        }
        return best;
    }

private:
    static bool is_costly(const replica_candidate& candidate)
    {
        return candidate.suspect || candidate.across_link;
    }
};

/// Baseline: any replica with the same chance.
class random_picker : public replica_picker
{
public:
    std::optional<std::size_t>
    pick(std::span<const replica_candidate> candidates,
         const pick_request& request,
         time_point) const override
    {
        if (candidates.empty())
            return std::nullopt;
        return request.random % candidates.size();
    }
};

/// Baseline: the least loaded in the last report.
class least_reported_picker : public replica_picker
{
public:
    std::optional<std::size_t>
    pick(std::span<const replica_candidate> candidates,
         const pick_request&,
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
