#include "restorable_store.hpp"

#include <barleyfork/base/log.hpp>

#include <algorithm>
#include <utility>

namespace barleyfork {

namespace asio = boost::asio;

restorable_store::restorable_store(std::unique_ptr<row_store> store,
                                   store_clock& clock,
                                   version_handler on_version)
    : store_(std::move(store)), clock_(clock),
      on_version_(std::move(on_version))
{
}

void restorable_store::observe(store_version version,
                               std::int64_t store_ms,
                               time_point sent)
{
    clock_.observe_call(store_ms, sent, boot_now());
    era_ = on_version_(version);
    newest_ = std::max(newest_, version);
}

asio::awaitable<store_read> restorable_store::read_table(std::string table)
{
    const auto sent = boot_now();
    auto result = co_await store_->read_table(std::move(table));
    observe(result.version, result.store_ms, sent);
    co_return result;
}

asio::awaitable<store_read> restorable_store::read_row(std::string table,
                                                       std::string key)
{
    const auto sent = boot_now();
    auto result = co_await store_->read_row(std::move(table), std::move(key));
    observe(result.version, result.store_ms, sent);
    co_return result;
}

asio::awaitable<store_read> restorable_store::read_changes(
    std::string table, store_version version, duration wait)
{
    const auto sent = boot_now();
    auto result =
        co_await store_->read_changes(std::move(table), version, wait);
    observe(result.version, result.store_ms, sent);
    co_return result;
}

asio::awaitable<store_write> restorable_store::write_row(std::string table,
                                                         std::string key,
                                                         std::string value,
                                                         store_version expected)
{
    if (expected.is_known() && expected.era() < era_)
        co_return store_write{store_write_outcome::conflict, {0, era_}, 0};
    const auto known = newest_;
    const auto sent = boot_now();
    auto result = co_await store_->write_row(
        std::move(table), std::move(key), std::move(value), expected);
    observe(result.version, result.store_ms, sent);
    if (result.end == store_write_outcome::done && result.version <= known) {
        log_event(log_level::warn, "store_answer_outdated")
            .with("version", static_cast<std::int64_t>(result.version.number()))
            .with("known", static_cast<std::int64_t>(known.number()));
        result.end = store_write_outcome::unknown;
    }
    co_return result;
}

} // namespace barleyfork
