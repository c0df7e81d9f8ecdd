#ifndef BARLEYFORK_STORE_TABLE_CLIENT_HPP
#define BARLEYFORK_STORE_TABLE_CLIENT_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/core/cell_controller.hpp>
#include <barleyfork/net/http_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace barleyfork {

/// A row of the table service. `version` is 0 where the row is absent.
struct table_row
{
    std::string key;
    std::uint64_t version = 0;
    /// A JSON document.
    std::string value;
};

/// The rows of a scan and the table's version that they reflect.
struct table_scan
{
    failure error;
    std::uint64_t version = 0;
    std::vector<table_row> rows;
};

/// One row as read; `error` where the table could not be reached.
struct table_read
{
    failure error;
    table_row row;
};

/// How a conditional write ended, with the new version where it is done.
struct table_write
{
    write_outcome outcome = write_outcome::unknown;
    std::uint64_t version = 0;
    failure error;
};

/// Speaks the table service's HTTP protocol.
///
/// A write whose answer is lost is `unknown`: it may have taken effect.
/// Belongs to one duty.
class table_client
{
public:
    table_client(http_endpoint endpoint, duration timeout);

    /// Reads one row.
    boost::asio::awaitable<table_read> read(std::string key);

    /// Reads rows whose key has the prefix and that changed after `since`.
    boost::asio::awaitable<table_scan> scan(std::string prefix,
                                            std::uint64_t since);

    /// Writes one row if it still has `expected_version` (0: is absent).
    boost::asio::awaitable<table_write>
    write(std::string key, std::uint64_t expected_version, std::string value);

    /// As `write`, and where the answer is lost or another row stands, reads
    /// the row again: a row that equals `value` byte for byte is this
    /// write's own, so `value` must carry an id of its own.
    boost::asio::awaitable<table_write> write_and_verify(
        std::string key, std::uint64_t expected_version, std::string value);

    /// Requests sent since the start: reads and writes.
    std::uint64_t reads() const noexcept
    {
        return reads_;
    }
    std::uint64_t writes() const noexcept
    {
        return writes_;
    }

private:
    http_endpoint endpoint_;
    duration timeout_;
    http_client client_;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
};

} // namespace barleyfork

#endif
