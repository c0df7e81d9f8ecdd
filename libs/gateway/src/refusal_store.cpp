#include "refusal_store.hpp"

#include "quarantine_row_codec.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/base/text.hpp>

#include <algorithm>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

constexpr std::int64_t retry_delay_ms = 700;
/// Maximum number of attempts to write a row, which is read and written again
/// if other daemons write it at the same time.
constexpr int max_write_attempts = 20;

} // namespace

refusal_store::refusal_store(gateway_context& context) : context_(context) {}

void refusal_store::keep(const std::set<std::uint64_t>& refused)
{
    std::erase_if(stored_, [&refused](auto fingerprint) {
        return !refused.contains(fingerprint);
    });
    for (const auto fingerprint : refused)
        if (stored_.insert(fingerprint).second)
            pending_.push_back(fingerprint);
    if (pending_.empty() || is_writing_ || !context_.clock_of_store.is_known())
        return;
    is_writing_ = true;
    context_.serving.spawn(write_pending());
}

void refusal_store::on_store_restored()
{
    stored_.clear();
    pending_.clear();
}

asio::awaitable<void> refusal_store::write_pending()
{
    while (!pending_.empty()) {
        const auto fingerprint = pending_.front();
        pending_.pop_front();
        if (co_await write(fingerprint))
            continue;
        log_event(log_level::warn, "refusal_not_kept")
            .with("fingerprint", to_hexadecimal(fingerprint));
        stored_.erase(fingerprint);
    }
    is_writing_ = false;
}

/// Writes a refusal, or finds that another daemon has stored as many crashes of
/// the request. Returns false if the store did not respond in time.
asio::awaitable<bool> refusal_store::write(std::uint64_t fingerprint)
{
    auto& store = *context_.platform.store;
    const auto key = to_hexadecimal(fingerprint);
    store_version expected;
    for (int i = 0; i < max_write_attempts; ++i) {
        context_.measures.count_store_call(store_purpose::members,
                                           "keep_refusal");
        const auto written = co_await store.write_row(
            quarantine_table,
            key,
            encode_refusal(fingerprint,
                           context_.quarantine.refusals(steady_now()),
                           context_.clock_of_store.estimate(boot_now())),
            expected);
        if (written.end == store_write_outcome::done) {
            log_event(log_level::info, "refusal_stored")
                .with("fingerprint", key)
                .with("row_version",
                      static_cast<std::int64_t>(written.version.number()));
            co_return true;
        }
        if (written.end != store_write_outcome::conflict)
            co_await sleep_for_ms(retry_delay_ms);
        const auto read = co_await store.read_row(quarantine_table, key);
        if (read.error) {
            co_await sleep_for_ms(retry_delay_ms);
            continue;
        }
        expected =
            read.rows.empty() ? store_version() : read.rows.front().version;
        if (!read.rows.empty() &&
            decode_blames(read.rows.front().value,
                          context_.clock_of_store.estimate(boot_now()))
                    .size() >= context_.quarantine.crashes(fingerprint))
            co_return true;
    }
    co_return false;
}

asio::awaitable<std::optional<std::vector<reported_blame>>>
refusal_store::read_new()
{
    auto& store = *context_.platform.store;
    const bool is_full_read = !position_.is_known();
    context_.measures.count_store_call(store_purpose::members, "read_refusals");
    store_read read;
    if (is_full_read)
        read = co_await store.read_table(quarantine_table);
    else
        read = co_await store.read_changes(
            quarantine_table, position_, duration{0});
    const bool is_of_other_era =
        !is_full_read && read.version.era() != position_.era();
    if (is_of_other_era || kind_of(read.error.code) == errc::conflict)
        position_ = store_version();
    if (read.error || is_of_other_era)
        co_return std::nullopt;
    position_ = std::max(position_, read.version);
    std::vector<reported_blame> blames;
    for (const auto& row : read.rows) {
        const auto decoded = decode_blames(
            row.value, context_.clock_of_store.estimate(boot_now()));
        blames.insert(blames.end(), decoded.begin(), decoded.end());
    }
    if (is_full_read || !read.rows.empty())
        log_event(log_level::info, "refusals_read")
            .with("rows", static_cast<std::int64_t>(read.rows.size()))
            .with("store_version",
                  static_cast<std::int64_t>(read.version.number()));
    co_return blames;
}

} // namespace barleyfork
