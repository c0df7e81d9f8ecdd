#include "table_worker.hpp"

#include <barleyfork/net/ask.hpp>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

failure make_ring_full_failure()
{
    return make_failure(errc::store_unavailable,
                        "the task ring of the store worker is full");
}

} // namespace

table_worker::table_worker(daemon_context& context,
                           http_endpoint table,
                           http_endpoint objects)
    : context_(context),
      table_(std::move(table),
             duration(context.settings.platform->request_timeout_ms)),
      objects_(std::move(objects),
               duration(context.settings.platform->request_timeout_ms))
{
}

asio::awaitable<table_read> table_worker::read(std::string key)
{
    return run_on_store_worker<table_read>(
        [this, key = std::move(key)] { return table_.read(key); });
}

asio::awaitable<table_scan> table_worker::scan(std::string prefix,
                                               std::uint64_t since)
{
    return run_on_store_worker<table_scan>(
        [this, prefix = std::move(prefix), since] {
            return table_.scan(prefix, since);
        });
}

asio::awaitable<table_write> table_worker::write(std::string key,
                                                 std::uint64_t expected_version,
                                                 std::string value)
{
    return run_on_store_worker<table_write>([this,
                                             key = std::move(key),
                                             expected_version,
                                             value = std::move(value)] {
        return table_.write_and_verify(key, expected_version, value);
    });
}

asio::awaitable<failure> table_worker::put_object(std::string name,
                                                  std::string bytes)
{
    const auto work = [this, name, bytes] {
        return objects_.put(name, bytes);
    };
    auto result = co_await ask<failure>(context_.store, work);
    co_return result ? std::move(*result) : make_ring_full_failure();
}

asio::awaitable<std::string> table_worker::get_object(std::string digest)
{
    return read_object(&object_client::get, std::move(digest));
}

asio::awaitable<std::string> table_worker::get_unverified(std::string name)
{
    return read_object(&object_client::get_unverified, std::move(name));
}

template <typename Result>
asio::awaitable<Result>
table_worker::run_on_store_worker(std::function<asio::awaitable<Result>()> work)
{
    auto result = co_await ask<Result>(context_.store, work);
    if (result)
        co_return std::move(*result);
    Result failed;
    failed.error = make_ring_full_failure();
    co_return failed;
}

asio::awaitable<std::string> table_worker::read_object(object_reader reader,
                                                       std::string name)
{
    const auto work = [this, reader, name]() -> asio::awaitable<std::string> {
        std::string bytes;
        const auto error = co_await (objects_.*reader)(name, bytes);
        co_return error ? std::string() : bytes;
    };
    auto result = co_await ask<std::string>(context_.store, work);
    co_return result.value_or(std::string());
}

} // namespace barleyfork
