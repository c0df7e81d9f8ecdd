#include "restorable_store.hpp"

#include <utility>

namespace barleyfork {

namespace asio = boost::asio;

restorable_store::restorable_store(std::unique_ptr<row_store> store,
                                   store_clock& clock,
                                   era_handler on_era)
    : store_(std::move(store)), clock_(clock), on_era_(std::move(on_era))
{
}

asio::awaitable<store_read> restorable_store::read_table(std::string table)
{
    auto result = co_await store_->read_table(std::move(table));
    clock_.observe(result.store_ms, boot_now());
    era_ = on_era_(result.version.era());
    co_return result;
}

asio::awaitable<store_read> restorable_store::read_row(std::string table,
                                                       std::string key)
{
    auto result = co_await store_->read_row(std::move(table), std::move(key));
    clock_.observe(result.store_ms, boot_now());
    era_ = on_era_(result.version.era());
    co_return result;
}

asio::awaitable<store_read> restorable_store::read_changes(
    std::string table, store_version version, duration wait)
{
    auto result =
        co_await store_->read_changes(std::move(table), version, wait);
    clock_.observe(result.store_ms, boot_now());
    era_ = on_era_(result.version.era());
    co_return result;
}

asio::awaitable<store_write> restorable_store::write_row(std::string table,
                                                         std::string key,
                                                         std::string value,
                                                         store_version expected)
{
    if (expected.is_known() && expected.era() < era_)
        co_return store_write{store_write_outcome::conflict, {0, era_}, 0};
    auto result = co_await store_->write_row(
        std::move(table), std::move(key), std::move(value), expected);
    clock_.observe(result.store_ms, boot_now());
    era_ = on_era_(result.version.era());
    co_return result;
}

} // namespace barleyfork
