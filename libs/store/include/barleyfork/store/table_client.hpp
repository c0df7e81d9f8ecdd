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

/// Result of a scan: the rows and the table version that they reflect.
struct table_scan
{
    failure error;
    std::uint64_t version = 0;
    std::vector<table_row> rows;
};

/// Result of reading one row; `error` is set where the table service could
/// not be reached.
struct table_read
{
    failure error;
    table_row row;
};

/// Result of a conditional write; `version` is the new version where the
/// outcome is `done`.
struct table_write
{
    write_outcome outcome = write_outcome::unknown;
    std::uint64_t version = 0;
    failure error;
};

/// Client of the table service's HTTP protocol.
///
/// A write whose response is lost has the outcome `unknown`, because the write
/// may have taken effect; so has one whose response names a version that was
/// known before the write was sent, as it belongs to an earlier call. Not
/// thread-safe: an object belongs to one worker.
class table_client
{
public:
    table_client(http_endpoint endpoint, duration timeout);

    /// Reads one row.
    boost::asio::awaitable<table_read> read(std::string key);

    /// Reads the rows whose key has the prefix and that changed after table
    /// version `since`.
    boost::asio::awaitable<table_scan> scan(std::string prefix,
                                            std::uint64_t since);

    /// Writes one row if its version is still `expected_version` (0: the row
    /// is absent).
    boost::asio::awaitable<table_write>
    write(std::string key, std::uint64_t expected_version, std::string value);

    /// Writes as `write` does. Where the response is lost or the versions
    /// conflict, reads the row again: a row that equals `value` is taken for
    /// this write, so `value` must contain an id unique to the write.
    boost::asio::awaitable<table_write> write_and_verify(
        std::string key, std::uint64_t expected_version, std::string value);

    /// Return the number of read (scans included) and write requests sent
    /// since the start.
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
    /// The newest version in any response; versions come from one counter.
    std::uint64_t newest_ = 0;
};

} // namespace barleyfork

#endif
