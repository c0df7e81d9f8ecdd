#include <barleyfork/core/crash_quarantine.hpp>

#include <algorithm>

namespace barleyfork {

crash_quarantine::crash_quarantine(duration memory) : memory_(memory) {}

std::vector<crash_blame>
crash_quarantine::on_crash(std::span<const std::uint64_t> in_flight,
                           std::uint64_t crash,
                           time_point now)
{
    std::vector<crash_blame> blamed;
    const std::set<std::uint64_t> distinct(in_flight.begin(), in_flight.end());
    // Whoever was present at another crash is the likelier cause; the
    // newcomers beside it are not blamed.
    const bool any_known =
        std::any_of(distinct.begin(), distinct.end(), [this](auto print) {
            return crashes(print) != 0;
        });
    for (const auto fingerprint : distinct) {
        if (any_known && crashes(fingerprint) == 0)
            continue;
        const crash_blame blame{fingerprint, crash};
        if (entries_[fingerprint].crashes.contains(crash))
            continue;
        merge(blame, now);
        blamed.push_back(blame);
    }
    return blamed;
}

void crash_quarantine::on_answer(std::uint64_t fingerprint)
{
    const auto found = entries_.find(fingerprint);
    if (found != entries_.end() &&
        found->second.crashes.size() < refusal_threshold)
        entries_.erase(found);
}

void crash_quarantine::merge(const crash_blame& blame, time_point now)
{
    auto& entry = entries_[blame.fingerprint];
    if (entry.crashes.insert(blame.crash).second)
        entry.changed_at = now;
}

bool crash_quarantine::refused(std::uint64_t fingerprint, time_point now) const
{
    const auto found = entries_.find(fingerprint);
    return found != entries_.end() &&
           found->second.crashes.size() >= refusal_threshold &&
           now < found->second.changed_at + memory_;
}

std::size_t crash_quarantine::crashes(std::uint64_t fingerprint) const
{
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() ? 0 : found->second.crashes.size();
}

void crash_quarantine::expire(time_point now)
{
    std::erase_if(entries_, [this, now](const auto& item) {
        return now >= item.second.changed_at + memory_;
    });
}

} // namespace barleyfork
