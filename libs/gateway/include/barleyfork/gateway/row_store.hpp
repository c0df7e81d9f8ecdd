#ifndef BARLEYFORK_GATEWAY_ROW_STORE_HPP
#define BARLEYFORK_GATEWAY_ROW_STORE_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/base/time.hpp>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace barleyfork {

/// A row of the store.
struct store_row
{
    std::string key;
    std::string value;
    /// Grows with every change; 0 where the row does not exist.
    std::uint64_t version = 0;
    bool deleted = false;
};

/// The answer to a read.
struct store_read
{
    /// `store_unavailable` where no usable answer came; `conflict` where the
    /// store no longer has the changes asked for.
    failure error;
    std::vector<store_row> rows;
    /// The newest version of the whole store at that moment.
    std::uint64_t version = 0;
    /// The store's own steady clock at that moment, in milliseconds.
    std::int64_t store_ms = 0;
};

/// How a conditional write ended.
enum class store_write_end : std::uint8_t
{
    done,
    /// The row has another version; nothing was written.
    conflict,
    /// Nothing was written: the store refused or could not be reached.
    refused,
    /// No answer came; the write may have taken effect or still may.
    unknown,
};

struct store_write
{
    store_write_end end = store_write_end::unknown;
    std::uint64_t version = 0;
    /// The store's own steady clock at the write, in milliseconds.
    std::int64_t store_ms = 0;
};

/// A store of rows in tables, as the gateway needs it.
class row_store
{
public:
    virtual ~row_store() = default;

    /// All rows of a table.
    virtual boost::asio::awaitable<store_read>
    read_table(std::string table) = 0;

    /// One row; `rows` is empty where it does not exist.
    virtual boost::asio::awaitable<store_read> read_row(std::string table,
                                                        std::string key) = 0;

    /// The rows changed after `version`; waits up to `wait` for the first.
    virtual boost::asio::awaitable<store_read>
    read_changes(std::string table, std::uint64_t version, duration wait) = 0;

    /// Writes a row that must still have `expected` as its version.
    virtual boost::asio::awaitable<store_write>
    write_row(std::string table,
              std::string key,
              std::string value,
              std::uint64_t expected) = 0;
};

} // namespace barleyfork

#endif
