#include <barleyfork/core/pool_choice.hpp>

#include <barleyfork/base/digest.hpp>

#include <algorithm>
#include <tuple>

namespace barleyfork {

namespace {

/// Interval between two requests to a silent daemon.
constexpr duration probe_interval{3000};

auto rank_of(const pool_candidate& candidate)
{
    return std::tuple(-candidate.link_mbps,
                      hash64(candidate.instance.value(), hash64("quota")),
                      candidate.instance);
}

} // namespace

void pool_choice::set_candidates(std::vector<pool_candidate> candidates)
{
    std::sort(
        candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
            return rank_of(a) < rank_of(b);
        });
    ranked_.clear();
    for (auto& candidate : candidates)
        ranked_.push_back(std::move(candidate.instance));
    std::erase_if(silent_, [this](const auto& item) {
        return std::find(ranked_.begin(), ranked_.end(), item.first) ==
               ranked_.end();
    });
    choose();
}

void pool_choice::choose()
{
    const auto first =
        std::find_if(ranked_.begin(), ranked_.end(), [this](const auto& id) {
            return !silent_.contains(id);
        });
    if (first != ranked_.end())
        current_ = *first;
    else
        current_ = ranked_.empty() ? instance_id() : ranked_.front();
}

void pool_choice::on_silent(const instance_id& instance, time_point now)
{
    silent_.insert_or_assign(instance, now + probe_interval);
    choose();
}

void pool_choice::on_answer(const instance_id& instance)
{
    if (silent_.erase(instance) > 0)
        choose();
}

std::optional<instance_id> pool_choice::next_probe(time_point now)
{
    for (const auto& id : ranked_) {
        if (id == current_)
            break;
        const auto found = silent_.find(id);
        if (found == silent_.end() || now < found->second)
            continue;
        found->second = now + probe_interval;
        return id;
    }
    return std::nullopt;
}

} // namespace barleyfork
