#include "suspicion_store.hpp"

#include "quarantine_row_codec.hpp"

#include <barleyfork/base/log.hpp>

#include <algorithm>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

/// Interval between two writes; crashes within it share one write.
constexpr duration write_interval{1000};
/// Maximum number of attributions in the row, 6.2 KB at most.
constexpr std::size_t max_blames_per_row = 64;

/// Rows of daemons and rows of refused requests share a table; the keys of the
/// latter are hexadecimal.
std::string key_of(const instance_id& daemon)
{
    return "known_by:" + daemon.value();
}

std::set<crash_blame> to_set(std::span<const reported_blame> blames)
{
    std::set<crash_blame> found;
    for (const auto& entry : blames)
        found.insert(entry.blame);
    return found;
}

} // namespace

suspicion_store::suspicion_store(gateway_context& context) : context_(context)
{
}

void suspicion_store::keep()
{
    const auto now = steady_now();
    if (is_writing_ || now < next_write_at_ || is_stored() ||
        !context_.clock_of_store.is_known())
        return;
    is_writing_ = true;
    next_write_at_ = now + write_interval;
    context_.serving.spawn(write());
}

void suspicion_store::on_store_restored()
{
    stored_.clear();
}

bool suspicion_store::is_stored() const
{
    const auto known = to_set(
        context_.quarantine.suspicions(steady_now(), max_blames_per_row));
    return std::includes(
        stored_.begin(), stored_.end(), known.begin(), known.end());
}

asio::awaitable<void> suspicion_store::write()
{
    co_await write_row();
    is_writing_ = false;
}

asio::awaitable<void> suspicion_store::write_row()
{
    const auto blames =
        context_.quarantine.suspicions(steady_now(), max_blames_per_row);
    context_.measures.count_store_call(store_purpose::members,
                                       "keep_suspicions");
    const auto written = co_await context_.platform.store->write_row(
        quarantine_table,
        key_of(context_.self),
        encode_suspicions(blames, context_.clock_of_store.estimate(boot_now())),
        version_);
    if (written.end != store_write_outcome::done) {
        co_await read_own_row();
        co_return;
    }
    version_ = written.version;
    stored_ = to_set(blames);
    log_event(log_level::info, "suspicions_stored")
        .with("attributions", static_cast<std::int64_t>(blames.size()))
        .with("row_version", static_cast<std::int64_t>(version_.number()));
}

/// Reads the version for the next write. What an earlier process of this
/// instance wrote is taken over, since that write replaces it.
asio::awaitable<void> suspicion_store::read_own_row()
{
    const auto read = co_await context_.platform.store->read_row(
        quarantine_table, key_of(context_.self));
    if (read.error)
        co_return;
    version_ = store_version();
    for (const auto& row : read.rows) {
        version_ = row.version;
        const auto now = steady_now();
        for (const auto& entry : decode_blames(
                 row.value, context_.clock_of_store.estimate(boot_now())))
            context_.quarantine.merge(entry.blame, now - entry.age);
    }
}

} // namespace barleyfork
