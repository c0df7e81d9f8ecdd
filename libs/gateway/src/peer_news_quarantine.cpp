/// The part of the news that tells which requests ended servers, and keeps in
/// the store which are refused for it.

#include "peer_news.hpp"

#include "peer_records.hpp"
#include "quarantine_row_codec.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/base/text.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

constexpr const char* quarantine_table = "barleyfork_quarantine";
constexpr std::int64_t retry_pause_ms = 700;
/// Suspected requests are kept apart by all daemons from their word on.
constexpr duration grave_pause{20};
/// Blames in one message; the gravest go first.
constexpr std::size_t most_told_blames = 512;
/// A row that others write at the same moment is read and written again.
constexpr int most_writes = 20;

} // namespace

void peer_news::on_server_ended(const server_id& server,
                                const ended_process& ended)
{
    const auto now = steady_now();
    auto& quarantine = context_.quarantine;
    log_event(log_level::warn, "server_ended")
        .with("server", server.value())
        .with("requests", static_cast<std::int64_t>(ended.in_flight.size()));
    for (const auto& blame :
         quarantine.on_crash(ended.in_flight, ended.crash, now)) {
        untold_blames_.push_back(blame);
        log_event(log_level::info, "request_blamed_for_crash")
            .with("server", server.value())
            .with("fingerprint", to_hexadecimal(blame.fingerprint))
            .with("crashes",
                  static_cast<std::int64_t>(
                      quarantine.crashes(blame.fingerprint)));
    }
    note_refusals(now);
    tell_blames_soon();
}

/// All that is blamed within one interval of the news is told at once, sooner
/// where a request is suspected by now; what was answered meanwhile is not
/// told.
void peer_news::tell_blames_soon()
{
    if (untold_blames_.empty())
        return;
    const auto now = steady_now();
    const bool grave = std::any_of(
        untold_blames_.begin(), untold_blames_.end(), [&](const auto& blame) {
            return context_.quarantine.suspected(blame.fingerprint, now);
        });
    const auto due = now + (grave ? grave_pause : context_.news_interval());
    if (telling_blames_at_ && *telling_blames_at_ <= due)
        return;
    telling_blames_at_ = due;
    context_.timers.add(due, [this, due] {
        if (telling_blames_at_ != due)
            return;
        telling_blames_at_.reset();
        tell_blames();
    });
}

void peer_news::tell_blames()
{
    const auto now = steady_now();
    if (holding_) {
        announce({});
        return;
    }
    const auto told = take_untold_blames();
    if (told.empty())
        return;
    auto message = make_crash_message(told, now);
    if (holder_ && hears_holder(now))
        link_.send(*holder_, message, false);
    else
        send_to_all(std::move(message), now);
}

/// The gravest of what was not told yet.
std::vector<told_blame> peer_news::take_untold_blames()
{
    const auto& quarantine = context_.quarantine;
    auto blames = std::exchange(untold_blames_, {});
    std::erase_if(blames, [&quarantine](const auto& blame) {
        return quarantine.crashes(blame.fingerprint) == 0;
    });
    std::stable_sort(
        blames.begin(), blames.end(), [&](const auto& one, const auto& other) {
            return quarantine.crashes(one.fingerprint) >
                   quarantine.crashes(other.fingerprint);
        });
    blames.resize(std::min(blames.size(), most_told_blames));
    std::vector<told_blame> told;
    told.reserve(blames.size());
    for (const auto& blame : blames)
        told.push_back({blame, duration{0}});
    return told;
}

schema::peer_message_record
peer_news::make_crash_message(std::span<const told_blame> told, time_point now)
{
    auto message = make_message(schema::message_kind::crashes);
    message.quarantine_digest = context_.quarantine.digest(now);
    for (const auto& blame : told)
        message.quarantine.push_back(to_record(blame));
    return message;
}

/// Tells of each request that is refused from now on, and has it kept by the
/// holder, or by all where none is heard. A request may come to be refused
/// without news of its own, since another that looked like it was answered.
void peer_news::note_refusals(time_point now)
{
    std::set<std::uint64_t> refused;
    for (const auto& told : context_.quarantine.refusals(now))
        refused.insert(told.blame.fingerprint);
    const bool keeps = holding_ || !hears_holder(now);
    for (const auto fingerprint : refused) {
        if (noted_refusals_.insert(fingerprint).second)
            log_event(log_level::warn, "refusal_in_force")
                .with("fingerprint", to_hexadecimal(fingerprint))
                .with("crashes",
                      static_cast<std::int64_t>(
                          context_.quarantine.crashes(fingerprint)))
                .with(
                    "for_ms",
                    context_.quarantine.refused_for(fingerprint, now).count());
        if (keeps && kept_refusals_.insert(fingerprint).second)
            context_.serving.spawn(keep_refusal(fingerprint));
    }
    const auto is_over = [&refused](auto fingerprint) {
        return !refused.contains(fingerprint);
    };
    std::erase_if(noted_refusals_, is_over);
    std::erase_if(kept_refusals_, is_over);
}

void peer_news::take_blames(std::span<const told_blame> told)
{
    const auto now = steady_now();
    for (const auto& entry : told)
        if (context_.quarantine.merge(entry.blame, now - entry.age) && holding_)
            untold_blames_.push_back(entry.blame);
    if (!told.empty())
        note_refusals(now);
    if (holding_)
        tell_blames_soon();
}

void peer_news::on_crashes(const schema::peer_message_record& message)
{
    if (message.pass_on)
        pass_on(message);
    take_blames(blames_of(message));
    const auto now = steady_now();
    const auto& quarantine = context_.quarantine;
    if (message.asks_refusals &&
        message.quarantine_digest != quarantine.digest(now))
        link_.send({message.address, message.port},
                   make_crash_message(quarantine.refusals(now), now),
                   false);
}

/// A daemon that was away, or that the holder has not heard, refuses other
/// requests than the holder does: both tell the other.
void peer_news::compare_refusals(const schema::peer_message_record& message,
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

/// What must outlive all daemons lies in the store.
asio::awaitable<void> peer_news::keep_refusal(std::uint64_t fingerprint)
{
    const auto key = to_hexadecimal(fingerprint);
    std::uint64_t expected = 0;
    for (int i = 0; i < most_writes; ++i) {
        const auto text =
            encode_refusal(fingerprint,
                           context_.quarantine.refusals(steady_now()),
                           wall_clock_ms());
        context_.measures.count_store_call(store_purpose::members,
                                           "keep_refusal");
        const auto written = co_await context_.platform.store->write_row(
            quarantine_table, key, text, expected);
        if (written.end == store_write_end::done)
            co_return;
        if (written.end != store_write_end::conflict) {
            co_await sleep_for_ms(retry_pause_ms);
            continue;
        }
        const auto read =
            co_await context_.platform.store->read_row(quarantine_table, key);
        if (read.error || read.rows.empty())
            continue;
        expected = read.rows.front().version;
        // Another daemon tells of the same crashes.
        if (decode_refusal(read.rows.front().value, wall_clock_ms()).size() >=
            context_.quarantine.crashes(fingerprint))
            co_return;
    }
    log_event(log_level::warn, "refusal_not_kept").with("fingerprint", key);
}

asio::awaitable<void> peer_news::read_refusals()
{
    for (;;) {
        context_.measures.count_store_call(store_purpose::members,
                                           "read_refusals");
        const auto read =
            co_await context_.platform.store->read_table(quarantine_table);
        if (!read.error) {
            for (const auto& row : read.rows)
                if (!row.deleted)
                    take_blames(decode_refusal(row.value, wall_clock_ms()));
            co_return;
        }
        co_await sleep_for_ms(retry_pause_ms);
    }
}

} // namespace barleyfork
