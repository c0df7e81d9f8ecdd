#ifndef BARLEYFORK_GATEWAY_ROW_STORE_HPP
#define BARLEYFORK_GATEWAY_ROW_STORE_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/base/time.hpp>
#include <barleyfork/core/store_version.hpp>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace barleyfork {

/// A row of a store table.
struct store_row
{
    std::string key;
    std::string value;
    /// Increases with every change; unknown if the row does not exist.
    store_version version;
    bool deleted = false;
};

/// The result of a read.
struct store_read
{
    /// `store_unavailable` if no usable response arrived; `conflict` if the
    /// store no longer has the requested changes.
    failure error;
    std::vector<store_row> rows;
    /// The newest version of the entire store at the time of the read. A failed
    /// read has at most an era.
    store_version version;
    /// The store's own steady clock at the read, in milliseconds.
    std::int64_t store_ms = 0;
};

/// Outcome of a conditional write.
enum class store_write_outcome : std::uint8_t
{
    done,
    /// The row has another version; nothing was written.
    conflict,
    /// Nothing was written: the store refused the write or was unreachable.
    refused,
    /// No response arrived; the write may have taken effect or may still do so.
    unknown,
};

struct store_write
{
    store_write_outcome end = store_write_outcome::unknown;
    /// The row's new version; only an era if nothing was written.
    store_version version;
    /// The store's own steady clock at the write, in milliseconds.
    std::int64_t store_ms = 0;
};

/// Interface of the store, which keeps rows in tables.
class row_store
{
public:
    virtual ~row_store() = default;

    /// Reads all rows of a table.
    virtual boost::asio::awaitable<store_read>
    read_table(std::string table) = 0;

    /// Reads one row; `rows` is empty if it does not exist.
    virtual boost::asio::awaitable<store_read> read_row(std::string table,
                                                        std::string key) = 0;

    /// Reads the rows that changed after `version`; waits up to `wait` for the
    /// first change.
    virtual boost::asio::awaitable<store_read>
    read_changes(std::string table, store_version version, duration wait) = 0;

    /// Writes a row if its version is still `expected`.
    virtual boost::asio::awaitable<store_write>
    write_row(std::string table,
              std::string key,
              std::string value,
              store_version expected) = 0;
};

} // namespace barleyfork

#endif
