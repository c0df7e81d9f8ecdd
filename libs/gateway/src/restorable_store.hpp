#ifndef BARLEYFORK_GATEWAY_SRC_RESTORABLE_STORE_HPP
#define BARLEYFORK_GATEWAY_SRC_RESTORABLE_STORE_HPP

#include "store_clock.hpp"

#include <barleyfork/gateway/row_store.hpp>

#include <functional>
#include <memory>

namespace barleyfork {

/// Reports the era and the clock of each response of another store, and refuses
/// writes that expect a row version of an earlier era: after a restore the same
/// number may belong to another row state.
///
/// A write whose response names a version that was known before the write was
/// sent ends as unknown: that is the response to an earlier call.
class restorable_store : public row_store
{
public:
    /// Called with the version in each response; one that only names an era
    /// served nothing. Returns the newest known era.
    using version_handler = std::function<std::uint64_t(store_version)>;

    /// `clock` must outlive this object.
    restorable_store(std::unique_ptr<row_store> store,
                     store_clock& clock,
                     version_handler on_version);

    boost::asio::awaitable<store_read> read_table(std::string table) override;
    boost::asio::awaitable<store_read> read_row(std::string table,
                                                std::string key) override;
    boost::asio::awaitable<store_read> read_changes(std::string table,
                                                    store_version version,
                                                    duration wait) override;
    boost::asio::awaitable<store_write>
    write_row(std::string table,
              std::string key,
              std::string value,
              store_version expected) override;

private:
    void observe(store_version version, std::int64_t store_ms, time_point sent);

    std::unique_ptr<row_store> store_;
    store_clock& clock_;
    version_handler on_version_;
    std::uint64_t era_ = 0;
    /// The newest version in any response.
    store_version newest_;
};

} // namespace barleyfork

#endif
