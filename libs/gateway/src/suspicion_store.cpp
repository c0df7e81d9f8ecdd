#include "suspicion_store.hpp"

#include "quarantine_row_codec.hpp"

#include <barleyfork/base/log.hpp>

#include <string>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

/// Rows of daemons and rows of refused requests share a table; the keys of the
/// latter are hexadecimal.
std::string key_of(const instance_id& daemon)
{
    return "known_by:" + daemon.value();
}

} // namespace

suspicion_store::suspicion_store(gateway_context& context) : context_(context)
{
}

void suspicion_store::keep(suspicion_writer writer)
{
    if (is_writing_ || !context_.clock_of_store.is_known())
        return;
    const auto now = steady_now();
    const auto known = suspicions(writer);
    if (!writes_.is_due(writer, known, context_.daemons(), now))
        return;
    is_writing_ = true;
    writes_.on_started(now);
    context_.serving.spawn(write(writer));
}

void suspicion_store::on_read(std::span<const reported_blame> blames)
{
    writes_.on_read(blames);
}

void suspicion_store::on_store_restored()
{
    writes_.on_store_restored();
}

std::vector<reported_blame>
suspicion_store::suspicions(suspicion_writer writer) const
{
    const auto scope = writer == suspicion_writer::lease_holder
                           ? suspicion_scope::near_refusal
                           : suspicion_scope::all_requests;
    return context_.quarantine.suspicions(
        scope, steady_now(), suspicion_writes::max_blames(writer));
}

/// Writes the row, once more after a write that failed for its version.
asio::awaitable<void> suspicion_store::write(suspicion_writer writer)
{
    const bool is_stored = co_await write_row(writer);
    if (!is_stored) {
        co_await read_own_row();
        co_await write_row(writer);
    }
    is_writing_ = false;
}

/// Returns whether the row is stored.
asio::awaitable<bool> suspicion_store::write_row(suspicion_writer writer)
{
    const auto blames = suspicions(writer);
    context_.measures.count_store_call(store_purpose::members,
                                       "keep_suspicions");
    const auto written = co_await context_.platform.store->write_row(
        quarantine_table,
        key_of(context_.self),
        encode_suspicions(blames, context_.clock_of_store.estimate(boot_now())),
        version_);
    if (written.end != store_write_outcome::done)
        co_return false;
    version_ = written.version;
    writes_.on_written(blames);
    log_event(log_level::info, "suspicions_stored")
        .with("writer",
              writer == suspicion_writer::lease_holder ? "holder" : "cut_off")
        .with("attributions", static_cast<std::int64_t>(blames.size()))
        .with("row_version", static_cast<std::int64_t>(version_.number()));
    co_return true;
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
