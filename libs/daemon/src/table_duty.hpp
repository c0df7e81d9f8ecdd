#ifndef BARLEYFORK_DAEMON_SRC_TABLE_DUTY_HPP
#define BARLEYFORK_DAEMON_SRC_TABLE_DUTY_HPP

#include "daemon_context.hpp"

#include <barleyfork/store/object_client.hpp>
#include <barleyfork/store/table_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace barleyfork {

/// The platform's services as seen from other duties: each call runs on the
/// store duty. A full ring counts as a service that can't be reached.
class table_duty
{
public:
    table_duty(daemon_context& context,
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

    /// The object's bytes, or empty where they could not be had.
    boost::asio::awaitable<std::string> get_object(std::string digest);

    /// As `get_object` for an object whose name is not its digest.
    boost::asio::awaitable<std::string> get_unchecked(std::string name);

private:
    using object_reader = boost::asio::awaitable<failure> (object_client::*)(
        std::string, std::string&);

    /// Runs a call on the store duty; a full ring is its failure.
    template <typename Result>
    boost::asio::awaitable<Result>
    on_store(std::function<boost::asio::awaitable<Result>()> work);

    boost::asio::awaitable<std::string> read_object(object_reader reader,
                                                    std::string name);

    daemon_context& context_;
    table_client table_;
    object_client objects_;
};

} // namespace barleyfork

#endif
