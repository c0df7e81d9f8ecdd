#include <barleyfork/core/crash_quarantine.hpp>

#include <barleyfork/base/digest.hpp>

#include <algorithm>
#include <set>
#include <string_view>

namespace barleyfork {

namespace {

constexpr std::size_t max_doublings = 6;
/// Crashes past the threshold that the decision waits for to separate requests
/// that share the same crashes.
constexpr std::size_t max_undecided_crashes = 2;
/// Crashes of other requests that happen later than this after the last one of
/// a refused request do not count in its favour: it was not there.
constexpr duration max_report_delay{4000};
/// Crashes past the threshold that may happen before a part is refused, since
/// several requests with it run at once; these do not prolong its refusal.
constexpr std::size_t max_part_crashes_past_threshold = 5;
/// Parts that many responses clear prolong their trust only this often.
constexpr duration trust_precision{1000};

std::uint64_t mix_bits(std::uint64_t fingerprint)
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

bool crash_quarantine::on_answer(crash_suspect fingerprint, time_point now)
{
    const bool was_blamed = entries_.erase(fingerprint) > 0;
    const auto until = now + limits_.trust;
    auto& known_until = trusted_[fingerprint];
    if (known_until + trust_precision >= until)
        return was_blamed;
    known_until = until;
    trust_order_.emplace_back(until, fingerprint);
    while (trust_order_.front().first <= now ||
           trust_order_.size() > max_fingerprints)
    {
        const auto [trust_ends_at, oldest] = trust_order_.front();
        trust_order_.pop_front();
        const auto known = trusted_.find(oldest);
        if (known != trusted_.end() && known->second == trust_ends_at)
            trusted_.erase(known);
    }
    return was_blamed;
}

bool crash_quarantine::merge(const crash_blame& blame, time_point at)
{
    if (!entries_.contains(blame.fingerprint))
        make_room(at);
    auto& entry = entries_[blame.fingerprint];
    entry.suspect = blame.fingerprint;
    if (!entry.crashes.emplace(blame.crash, at).second)
        return false;
    entry.last_crash_at = std::max(entry.last_crash_at, at);
    return true;
}

/// Evicts one entry if the table is full: entries below the threshold first,
/// then those with the oldest last crash.
void crash_quarantine::make_room(time_point now)
{
    if (entries_.size() < max_fingerprints)
        return;
    expire(now);
    if (entries_.size() < max_fingerprints)
        return;
    const auto rank = [this](const entry& known) {
        return std::pair(known.crashes.size() >= limits_.refusal_threshold,
                         known.last_crash_at);
    };
    entries_.erase(
        std::min_element(entries_.begin(),
                         entries_.end(),
                         [&rank](const auto& left, const auto& right) {
                             return rank(left.second) < rank(right.second);
                         }));
}

bool crash_quarantine::is_trusted(std::uint64_t fingerprint,
                                  time_point now) const
{
    const auto found = trusted_.find(fingerprint);
    return found != trusted_.end() && now < found->second;
}

/// Returns the end of the refusal, or of the suspicion if the request is below
/// the threshold.
time_point crash_quarantine::refused_until(const entry& known) const
{
    const auto crashes = known.crashes.size();
    const auto before_first_refusal =
        limits_.refusal_threshold +
        (is_prompt_part(known.suspect) ? max_part_crashes_past_threshold : 0);
    const auto further =
        crashes > before_first_refusal ? crashes - before_first_refusal : 0;
    const auto factor = std::int64_t{1} << std::min(further, max_doublings);
    return known.last_crash_at + limits_.memory * factor;
}

bool crash_quarantine::is_settled(time_point blamed_at, time_point now) const
{
    return now >= blamed_at + limits_.settling_period;
}

std::size_t crash_quarantine::settled_crashes(const entry& known,
                                              time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        known.crashes.begin(), known.crashes.end(), [&](const auto& crash) {
            return is_settled(crash.second, now);
        }));
}

std::size_t crash_quarantine::crashes_by(const entry& known, time_point until)
{
    return static_cast<std::size_t>(std::count_if(
        known.crashes.begin(), known.crashes.end(), [&](const auto& crash) {
            return crash.second <= until;
        }));
}

/// Returns the number of crashes that happened without the other one.
std::size_t crash_quarantine::settled_crashes_without(const entry& known,
                                                      const entry& other,
                                                      time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        known.crashes.begin(), known.crashes.end(), [&](const auto& crash) {
            return is_settled(crash.second, now) &&
                   !other.crashes.contains(crash.first);
        }));
}

/// Returns whether another suspect, which is not of `request`, may be the
/// cause: fewer than `refusal_threshold` of this one's crashes happened without
/// it, and `is_candidate` is true for it.
template <class Predicate>
bool crash_quarantine::has_other_suspect(const entry& known,
                                         const crash_suspects& request,
                                         time_point now,
                                         Predicate is_candidate) const
{
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
        const auto& other = item.second;
        return !request.contains(item.first) && is_candidate(other) &&
               settled_crashes_without(known, other, now) <
                   limits_.refusal_threshold;
    });
}

bool crash_quarantine::is_part_refused(const entry& known,
                                       const crash_suspects& request,
                                       time_point now) const
{
    // A single request is retried only so often, so it can't explain more.
    const bool exceeds_requests =
        settled_crashes(known, now) >=
        limits_.refusal_threshold + max_part_crashes_past_threshold;
    const auto is_candidate = [&](const entry& other) {
        return !exceeds_requests || is_prompt_part(other.suspect);
    };
    return !has_other_suspect(known, request, now, is_candidate);
}

/// Requests that no crash separates are refused after the doubt, but not beside
/// a part of prompts that may be the cause: each further crash that it causes
/// tells it apart.
bool crash_quarantine::is_request_refused(const entry& known,
                                          const crash_suspects& request,
                                          time_point now) const
{
    const auto settled = settled_crashes(known, now);
    const auto reported_by = known.last_crash_at + max_report_delay;
    const auto has_as_many = [&](const entry& other) {
        return crashes_by(other, reported_by) >= settled;
    };
    if (!has_other_suspect(known, request, now, has_as_many))
        return true;
    const auto is_ahead = [&](const entry& other) {
        return other.crashes.size() > known.crashes.size() ||
               (is_prompt_part(other.suspect) && has_as_many(other));
    };
    return settled >= limits_.refusal_threshold + max_undecided_crashes &&
           settled_crashes(known, now - limits_.doubt) >=
               limits_.refusal_threshold &&
           !has_other_suspect(known, request, now, is_ahead);
}

bool crash_quarantine::meets_refusal_rule(const entry& known,
                                          const crash_suspects& request,
                                          time_point now) const
{
    if (settled_crashes(known, now) < limits_.refusal_threshold ||
        now >= refused_until(known))
        return false;
    return is_prompt_part(known.suspect)
               ? is_part_refused(known, request, now)
               : is_request_refused(known, request, now);
}

/// Returns whether the suspect is refused in any request that it belongs to.
bool crash_quarantine::meets_refusal_rule(const entry& known,
                                          time_point now) const
{
    return meets_refusal_rule(known, {known.suspect, {}}, now);
}

bool crash_quarantine::suspected(std::uint64_t fingerprint,
                                 time_point now) const
{
    const auto found = entries_.find(fingerprint);
    return found != entries_.end() && is_near_refusal(found->second) &&
           now < refused_until(found->second) && !is_trusted(fingerprint, now);
}

/// Returns whether one more crash brings the suspect to the threshold.
bool crash_quarantine::is_near_refusal(const entry& known) const
{
    return known.crashes.size() + 1 >= limits_.refusal_threshold;
}

bool crash_quarantine::refused(std::uint64_t fingerprint, time_point now) const
{
    const auto found = entries_.find(fingerprint);
    return found != entries_.end() && meets_refusal_rule(found->second, now) &&
           !is_trusted(fingerprint, now);
}

bool crash_quarantine::suspected(const crash_suspects& request,
                                 time_point now) const
{
    if (entries_.empty())
        return false;
    const auto all = request.all();
    return std::any_of(all.begin(), all.end(), [&](auto suspect) {
        return suspected(suspect, now);
    });
}

std::optional<crash_suspect>
crash_quarantine::refusal_cause(const crash_suspects& request,
                                time_point now) const
{
    if (entries_.empty())
        return std::nullopt;
    for (const auto suspect : request.all()) {
        const auto found = entries_.find(suspect);
        if (found != entries_.end() && !is_trusted(suspect, now) &&
            meets_refusal_rule(found->second, request, now))
            return suspect;
    }
    return std::nullopt;
}

std::size_t crash_quarantine::crashes(const crash_suspects& request) const
{
    std::size_t most = 0;
    for (const auto suspect : request.all())
        most = std::max(most, crashes(suspect));
    return most;
}

duration crash_quarantine::remaining_refusal(std::uint64_t fingerprint,
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

std::vector<reported_blame>
crash_quarantine::attributions(crash_suspect fingerprint, time_point now) const
{
    std::vector<reported_blame> reported;
    const auto found = entries_.find(fingerprint);
    if (found != entries_.end())
        append_report(fingerprint, found->second, now, reported);
    return reported;
}

std::vector<reported_blame> crash_quarantine::refusals(time_point now) const
{
    std::vector<reported_blame> reported;
    for (const auto& [fingerprint, known] : entries_)
        if (meets_refusal_rule(known, now))
            append_report(fingerprint, known, now, reported);
    return reported;
}

bool crash_quarantine::is_in(suspicion_scope scope, const entry& known) const
{
    const bool has_all_requests = scope == suspicion_scope::all_requests;
    return is_near_refusal(known) ||
           (has_all_requests && !is_prompt_part(known.suspect));
}

std::vector<reported_blame> crash_quarantine::suspicions(
    suspicion_scope scope, time_point now, std::size_t limit) const
{
    std::vector<std::pair<std::uint64_t, const entry*>> suspects;
    for (const auto& [fingerprint, known] : entries_)
        if (is_in(scope, known) && now < refused_until(known) &&
            !is_trusted(fingerprint, now) && !meets_refusal_rule(known, now))
            suspects.emplace_back(fingerprint, &known);
    std::stable_sort(suspects.begin(),
                     suspects.end(),
                     [](const auto& left, const auto& right) {
                         return left.second->crashes.size() >
                                right.second->crashes.size();
                     });
    std::vector<reported_blame> reported;
    for (const auto& [fingerprint, known] : suspects) {
        if (reported.size() + known->crashes.size() > limit)
            break;
        append_report(fingerprint, *known, now, reported);
    }
    return reported;
}

void crash_quarantine::append_report(std::uint64_t fingerprint,
                                     const entry& known,
                                     time_point now,
                                     std::vector<reported_blame>& reported)
{
    for (const auto& [crash, blamed_at] : known.crashes)
        reported.push_back({{fingerprint, crash}, now - known.last_crash_at});
}

std::uint64_t crash_quarantine::digest(time_point now) const
{
    std::uint64_t sum = 0;
    for (const auto& [fingerprint, known] : entries_)
        if (meets_refusal_rule(known, now))
            sum ^= mix_bits(fingerprint);
    return sum;
}

void crash_quarantine::expire(time_point now)
{
    std::erase_if(entries_, [this, now](const auto& item) {
        // After a refusal the entry is retained for the same time again, so
        // that the next crash doubles the refusal.
        const auto& known = item.second;
        const bool suspected = known.crashes.size() < limits_.refusal_threshold;
        const auto until = refused_until(known);
        return now >=
               (suspected ? until : until + (until - known.last_crash_at));
    });
}

} // namespace barleyfork
