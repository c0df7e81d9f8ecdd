#ifndef BARLEYFORK_DAEMON_SRC_TABLE_WORKER_HPP
#define BARLEYFORK_DAEMON_SRC_TABLE_WORKER_HPP

#include "daemon_context.hpp"

#include <barleyfork/store/object_client.hpp>
#include <barleyfork/store/table_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace barleyfork {

/// Gives other workers access to the platform's table and object store: each
/// call runs on the store worker. A full ring is reported as an unreachable
/// service.
class table_worker
{
public:
    table_worker(daemon_context& context,
                 http_endpoint table,
                 http_endpoint objects);

    boost::asio::awaitable<table_read> read(std::string key);
    boost::asio::awaitable<table_scan> scan(std::string prefix,
                                            std::uint64_t since);

    /// See `table_client::write_and_verify`.
    boost::asio::awaitable<table_write>
    write(std::string key, std::uint64_t expected_version, std::string value);

    boost::asio::awaitable<failure> put_object(std::string name,
                                               std::string bytes);

    /// Returns the object's bytes, or an empty string where the read failed.
    boost::asio::awaitable<std::string> get_object(std::string digest);

    /// Returns the bytes as `get_object` does, for an object whose name is not
    /// its digest.
    boost::asio::awaitable<std::string> get_unverified(std::string name);

private:
    using object_reader = boost::asio::awaitable<failure> (object_client::*)(
        std::string, std::string&);

    /// Runs a call on the store worker; fails with `store_unavailable` where
    /// the ring is full.
    template <typename Result>
    boost::asio::awaitable<Result>
    run_on_store_worker(std::function<boost::asio::awaitable<Result>()> work);

    boost::asio::awaitable<std::string> read_object(object_reader reader,
                                                    std::string name);

    daemon_context& context_;
    table_client table_;
    object_client objects_;
};

} // namespace barleyfork

#endif
