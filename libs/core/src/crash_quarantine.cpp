#include <barleyfork/core/crash_quarantine.hpp>

#include <barleyfork/base/digest.hpp>

#include <algorithm>
#include <set>
#include <string_view>

namespace barleyfork {

namespace {

constexpr std::size_t most_doublings = 6;
/// Crashes past the threshold that tell requests apart.
constexpr std::size_t most_doubtful = 2;

std::uint64_t scrambled(std::uint64_t fingerprint)
{
    return hash64(std::string_view(), fingerprint);
}

} // namespace

crash_quarantine::crash_quarantine(quarantine_limits limits) : limits_(limits)
{
}

std::vector<crash_blame>
crash_quarantine::on_crash(std::span<const std::uint64_t> in_flight,
                           std::uint64_t crash,
                           time_point now)
{
    std::vector<crash_blame> blamed;
    const std::set<std::uint64_t> distinct(in_flight.begin(), in_flight.end());
    for (const auto fingerprint : distinct) {
        if (is_trusted(fingerprint, now))
            continue;
        const auto known = entries_.find(fingerprint);
        if (known != entries_.end() && known->second.crashes.contains(crash))
            continue;
        const crash_blame blame{fingerprint, crash};
        merge(blame, now);
        blamed.push_back(blame);
    }
    return blamed;
}

void crash_quarantine::on_answer(std::uint64_t fingerprint, time_point now)
{
    entries_.erase(fingerprint);
    const auto until = now + limits_.trust;
    trusted_[fingerprint] = until;
    trust_order_.emplace_back(until, fingerprint);
    while (trust_order_.front().first <= now ||
           trust_order_.size() > most_entries) {
        const auto [ended_at, oldest] = trust_order_.front();
        trust_order_.pop_front();
        const auto known = trusted_.find(oldest);
        if (known != trusted_.end() && known->second == ended_at)
            trusted_.erase(known);
    }
}

bool crash_quarantine::merge(const crash_blame& blame, time_point at)
{
    if (!entries_.contains(blame.fingerprint))
        make_room(at);
    auto& entry = entries_[blame.fingerprint];
    if (!entry.crashes.emplace(blame.crash, at).second)
        return false;
    entry.changed_at = std::max(entry.changed_at, at);
    return true;
}

/// Suspicions give way before refusals, old ones first.
void crash_quarantine::make_room(time_point now)
{
    if (entries_.size() < most_entries)
        return;
    expire(now);
    if (entries_.size() < most_entries)
        return;
    const auto rank = [this](const entry& known) {
        return std::pair(known.crashes.size() >= limits_.refusal_threshold,
                         known.changed_at);
    };
    entries_.erase(
        std::min_element(entries_.begin(),
                         entries_.end(),
                         [&rank](const auto& one, const auto& other) {
                             return rank(one.second) < rank(other.second);
                         }));
}

bool crash_quarantine::is_trusted(std::uint64_t fingerprint,
                                  time_point now) const
{
    const auto found = trusted_.find(fingerprint);
    return found != trusted_.end() && now < found->second;
}

/// The end of the refusal, or of the suspicion where it is not refused yet.
time_point crash_quarantine::refused_until(const entry& known) const
{
    const auto crashes = known.crashes.size();
    const auto further = crashes > limits_.refusal_threshold
                             ? crashes - limits_.refusal_threshold
                             : 0;
    const auto factor = std::int64_t{1} << std::min(further, most_doublings);
    return known.changed_at + limits_.memory * factor;
}

bool crash_quarantine::is_settled(time_point blamed_at, time_point now) const
{
    return now >= blamed_at + limits_.settling;
}

std::size_t crash_quarantine::settled_crashes(const entry& known,
                                              time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        known.crashes.begin(), known.crashes.end(), [&](const auto& crash) {
            return is_settled(crash.second, now);
        }));
}

/// True where another request met `at_least` crashes, and this one fewer than
/// `refusal_threshold` without the other: the other may be the cause.
bool crash_quarantine::has_rival(const entry& known,
                                 std::size_t at_least,
                                 time_point now) const
{
    const auto alone = [&](const entry& other) {
        return static_cast<std::size_t>(std::count_if(
            known.crashes.begin(), known.crashes.end(), [&](const auto& crash) {
                return is_settled(crash.second, now) &&
                       !other.crashes.contains(crash.first);
            }));
    };
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
        const auto& other = item.second;
        return &other != &known && other.crashes.size() >= at_least &&
               alone(other) < limits_.refusal_threshold;
    });
}

bool crash_quarantine::is_condemned(const entry& known, time_point now) const
{
    const auto settled = settled_crashes(known, now);
    if (settled < limits_.refusal_threshold || now >= refused_until(known))
        return false;
    if (!has_rival(known, settled, now))
        return true;
    return settled >= limits_.refusal_threshold + most_doubtful &&
           settled_crashes(known, now - limits_.doubt) >=
               limits_.refusal_threshold &&
           !has_rival(known, known.crashes.size() + 1, now);
}

bool crash_quarantine::suspected(std::uint64_t fingerprint,
                                 time_point now) const
{
    const auto found = entries_.find(fingerprint);
    return found != entries_.end() &&
           found->second.crashes.size() + 1 >= limits_.refusal_threshold &&
           now < refused_until(found->second) && !is_trusted(fingerprint, now);
}

bool crash_quarantine::refused(std::uint64_t fingerprint, time_point now) const
{
    const auto found = entries_.find(fingerprint);
    return found != entries_.end() && is_condemned(found->second, now) &&
           !is_trusted(fingerprint, now);
}

duration crash_quarantine::refused_for(std::uint64_t fingerprint,
                                       time_point now) const
{
    const auto found = entries_.find(fingerprint);
    return found == entries_.end()
               ? duration{0}
               : std::max(refused_until(found->second) - now, duration{0});
}

std::size_t crash_quarantine::crashes(std::uint64_t fingerprint) const
{
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() ? 0 : found->second.crashes.size();
}

std::vector<told_blame> crash_quarantine::refusals(time_point now) const
{
    std::vector<told_blame> told;
    for (const auto& [fingerprint, known] : entries_) {
        if (!is_condemned(known, now))
            continue;
        for (const auto& [crash, blamed_at] : known.crashes)
            told.push_back({{fingerprint, crash}, now - known.changed_at});
    }
    return told;
}

std::uint64_t crash_quarantine::digest(time_point now) const
{
    std::uint64_t sum = 0;
    for (const auto& [fingerprint, known] : entries_)
        if (is_condemned(known, now))
            sum ^= scrambled(fingerprint);
    return sum;
}

void crash_quarantine::expire(time_point now)
{
    std::erase_if(entries_, [this, now](const auto& item) {
        // What was refused is remembered as long again, for its next crash.
        const auto& known = item.second;
        const bool suspected = known.crashes.size() < limits_.refusal_threshold;
        const auto until = refused_until(known);
        return now >= (suspected ? until : until + (until - known.changed_at));
    });
}

} // namespace barleyfork
