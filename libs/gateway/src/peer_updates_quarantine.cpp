/// The part of the peer updates that reports the requests to which crashes are
/// attributed, and stores the refused ones.

#include "peer_updates.hpp"

#include "peer_records.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/base/text.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

/// Delay of a report with a suspected request. All daemons separate suspected
/// requests only once they have the report.
constexpr duration suspect_report_delay{20};
/// Maximum number of attributions in one message; requests with the most
/// crashes are sent first.
constexpr std::size_t max_blames_per_message = 512;
constexpr std::size_t max_answered_per_message = 512;
/// Crashes from which on the holder reports a part of prompts to all daemons.
constexpr std::size_t min_reported_part_crashes = 2;
/// Intervals between reads of the stored refusals: until the first one
/// succeeds, by the holder, and by daemons that hear no holder.
constexpr duration first_read_interval{700};
constexpr duration holder_read_interval{2000};
constexpr duration cut_off_read_interval{1000};
/// A holder that is silent for less than this may only have been replaced.
constexpr duration cut_off_delay{4000};
constexpr std::int64_t read_poll_ms = 200;

std::int64_t count_requests(std::span<const crash_suspect> suspects)
{
    return std::count_if(suspects.begin(), suspects.end(), [](auto suspect) {
        return !is_prompt_part(suspect);
    });
}

} // namespace

void peer_updates::on_server_crashed(const server_id& server,
                                     const crashed_process& crashed)
{
    const auto now = steady_now();
    auto& quarantine = context_.quarantine;
    const auto& in_flight = crashed.in_flight;
    log_event(log_level::warn, "server_ended")
        .with("server", server.value())
        .with("requests", count_requests(in_flight));
    for (const auto& blame : quarantine.on_crash(in_flight, crashed.crash, now))
    {
        add_unsent_blame(blame, now);
        const auto crashes = quarantine.crashes(blame.fingerprint);
        // A first crash is attributed to each part that ran on the server.
        if (is_prompt_part(blame.fingerprint) &&
            crashes < min_reported_part_crashes)
            continue;
        log_event(log_level::info, "request_blamed_for_crash")
            .with("server", server.value())
            .with("fingerprint", to_hexadecimal(blame.fingerprint))
            .with("crashes", static_cast<std::int64_t>(crashes));
    }
    process_refusals(now);
    schedule_blames();
}

/// Adds an attribution to the next report. The holder, which reports to all
/// daemons, leaves out parts of prompts until a second crash is attributed to
/// them, since every part that ran on a server has the first one.
void peer_updates::add_unsent_blame(const crash_blame& blame, time_point now)
{
    const auto crashes = context_.quarantine.crashes(blame.fingerprint);
    if (!is_lease_holder_ || !is_prompt_part(blame.fingerprint) ||
        crashes > min_reported_part_crashes)
    {
        unsent_blames_.push_back(blame);
        return;
    }
    if (crashes < min_reported_part_crashes)
        return;
    for (const auto& known :
         context_.quarantine.attributions(blame.fingerprint, now))
        unsent_blames_.push_back(known.blame);
}

/// Schedules the report of all attributions within one update interval, or
/// earlier if a request is suspected already or a blamed part was answered.
/// Requests that get a response in the meantime are not reported.
void peer_updates::schedule_blames()
{
    const bool has_answered = !context_.unreported_answers.empty();
    if (unsent_blames_.empty() && !has_answered)
        return;
    const auto now = steady_now();
    const bool is_urgent =
        has_answered || std::any_of(unsent_blames_.begin(),
                                    unsent_blames_.end(),
                                    [&](const auto& blame) {
                                        return context_.quarantine.suspected(
                                            blame.fingerprint, now);
                                    });
    const auto due =
        now + (is_urgent ? suspect_report_delay : context_.update_interval());
    if (blames_due_at_ && *blames_due_at_ <= due)
        return;
    blames_due_at_ = due;
    context_.timers.add(due, [this, due] {
        if (blames_due_at_ != due)
            return;
        blames_due_at_.reset();
        send_blames();
    });
}

void peer_updates::send_blames()
{
    const auto now = steady_now();
    if (is_lease_holder_) {
        announce({});
        return;
    }
    const auto blames = take_unsent_blames();
    if (blames.empty() && context_.unreported_answers.empty())
        return;
    auto message = make_crash_message(blames, now);
    add_answered_parts(message);
    if (holder_ && is_holder_responsive(now))
        link_.send(*holder_, message, false);
    else
        send_to_all(std::move(message), now);
}

/// Removes all unsent attributions and returns those of the requests with the
/// most crashes, up to the maximum of one message.
std::vector<reported_blame> peer_updates::take_unsent_blames()
{
    const auto& quarantine = context_.quarantine;
    auto blames = std::exchange(unsent_blames_, {});
    std::erase_if(blames, [&quarantine](const auto& blame) {
        return quarantine.crashes(blame.fingerprint) == 0;
    });
    std::stable_sort(
        blames.begin(), blames.end(), [&](const auto& left, const auto& right) {
            return quarantine.crashes(left.fingerprint) >
                   quarantine.crashes(right.fingerprint);
        });
    blames.resize(std::min(blames.size(), max_blames_per_message));
    std::vector<reported_blame> reported;
    reported.reserve(blames.size());
    for (const auto& blame : blames)
        reported.push_back({blame, duration{0}});
    return reported;
}

schema::peer_message_record
peer_updates::make_crash_message(std::span<const reported_blame> blames,
                                 time_point now)
{
    auto message = make_message(schema::message_kind::crashes);
    message.quarantine_digest = context_.quarantine.digest(now);
    for (const auto& blame : blames)
        message.quarantine.push_back(to_record(blame));
    return message;
}

/// Logs each request that is refused from now on. Stores the refusals, by the
/// holder or, while no holder is responsive, by every daemon, and the
/// suspicions. A request may become refused without a new crash of its own,
/// because another request that met the same crashes got a response.
void peer_updates::process_refusals(time_point now)
{
    std::set<std::uint64_t> refused;
    for (const auto& reported : context_.quarantine.refusals(now))
        refused.insert(reported.blame.fingerprint);
    for (const auto fingerprint : refused) {
        if (logged_refusals_.insert(fingerprint).second)
            log_event(log_level::warn, "refusal_in_force")
                .with("fingerprint", to_hexadecimal(fingerprint))
                .with("crashes",
                      static_cast<std::int64_t>(
                          context_.quarantine.crashes(fingerprint)))
                .with("for_ms",
                      context_.quarantine.remaining_refusal(fingerprint, now)
                          .count());
    }
    std::erase_if(logged_refusals_, [&refused](auto fingerprint) {
        return !refused.contains(fingerprint);
    });
    if (!is_lease_holder_ && is_holder_responsive(now))
        return;
    refusals_.keep(refused);
    if (is_lease_holder_)
        suspicions_.keep(suspicion_writer::lease_holder);
    else if (is_cut_off(now) && watch_.readers().is_reader())
        suspicions_.keep(suspicion_writer::cut_off);
}

/// Returns whether this daemon hears no holder. After the loss of a holder,
/// which is soon replaced, all daemons know the same.
bool peer_updates::is_cut_off(time_point now) const
{
    const auto heard_at = std::max(holder_last_seen_at_, started_at_);
    return !is_lease_holder_ && now >= heard_at + cut_off_delay;
}

/// Merges the attributions of another daemon or of the store. Parts that were
/// answered here are cleared at the others instead.
void peer_updates::merge_blames(std::span<const reported_blame> blames)
{
    const auto now = steady_now();
    auto& quarantine = context_.quarantine;
    for (const auto& entry : blames) {
        const auto suspect = entry.blame.fingerprint;
        if (is_prompt_part(suspect) && quarantine.is_trusted(suspect, now))
            context_.unreported_answers.insert(suspect);
        else if (quarantine.merge(entry.blame, now - entry.age) &&
                 is_lease_holder_)
            add_unsent_blame(entry.blame, now);
    }
    if (!blames.empty())
        process_refusals(now);
    if (is_lease_holder_ || !context_.unreported_answers.empty())
        schedule_blames();
}

/// Adds parts that were answered; those beyond the maximum are sent with the
/// next message.
void peer_updates::add_answered_parts(schema::peer_message_record& message)
{
    auto& unsent = context_.unreported_answers;
    const auto count = std::min(unsent.size(), max_answered_per_message);
    const auto last =
        std::next(unsent.begin(), static_cast<std::ptrdiff_t>(count));
    message.answered_parts.assign(unsent.begin(), last);
    unsent.erase(unsent.begin(), last);
}

void peer_updates::apply_answered_parts(
    const schema::peer_message_record& message)
{
    const auto now = steady_now();
    for (const auto part : message.answered_parts) {
        if (!is_prompt_part(part) || context_.quarantine.is_trusted(part, now))
            continue;
        context_.quarantine.on_answer(part, now);
        if (is_lease_holder_)
            context_.unreported_answers.insert(part);
    }
    if (is_lease_holder_)
        schedule_blames();
}

void peer_updates::on_crashes(const schema::peer_message_record& message)
{
    if (message.pass_on)
        relay_to_neighbours(message);
    apply_answered_parts(message);
    merge_blames(extract_blames(message));
    const auto now = steady_now();
    const auto& quarantine = context_.quarantine;
    if (message.asks_refusals &&
        message.quarantine_digest != quarantine.digest(now))
        link_.send({message.address, message.port},
                   make_crash_message(quarantine.refusals(now), now),
                   false);
}

/// Compares the refusals of the holder with those of this daemon. They differ
/// if this daemon was disconnected or its reports did not reach the holder;
/// then both send their refusals to each other.
void peer_updates::compare_refusals(const schema::peer_message_record& message,
                                    time_point now)
{
    if (message.quarantine_digest == context_.quarantine.digest(now)) {
        refusals_differ_.ends();
        return;
    }
    if (!refusals_differ_.holds(now))
        return;
    auto answer = make_crash_message(context_.quarantine.refusals(now), now);
    answer.asks_refusals = true;
    link_.send({message.address, message.port}, answer, false);
}

/// Reads the stored refusals at the start, and from then on while the messages
/// of other daemons do not suffice: the holder does not hear of refusals by
/// daemons that are cut off from it, and those do not hear the holder.
asio::awaitable<void> peer_updates::follow_refusals()
{
    bool has_read = false;
    time_point read_at{};
    for (;;) {
        const auto now = steady_now();
        const auto interval = !has_read          ? first_read_interval
                              : is_lease_holder_ ? holder_read_interval
                                                 : cut_off_read_interval;
        const bool relies_on_messages =
            has_read && !is_lease_holder_ && !is_cut_off(now);
        if (now < read_at + interval || relies_on_messages) {
            co_await sleep_for_ms(read_poll_ms);
            continue;
        }
        read_at = now;
        const auto blames = co_await refusals_.read_new();
        if (!blames)
            continue;
        has_read = true;
        suspicions_.on_read(*blames);
        merge_blames(*blames);
    }
}

} // namespace barleyfork
