#ifndef BARLEYFORK_GATEWAY_SRC_SUSPICION_STORE_HPP
#define BARLEYFORK_GATEWAY_SRC_SUSPICION_STORE_HPP

#include "gateway_context.hpp"

#include <boost/asio/awaitable.hpp>
#include <set>

namespace barleyfork {

/// Keeps in the store the crashes that are attributed to suspected requests
/// below the refusal threshold, in one row of each lease holder, so that they
/// are still counted after all daemons stopped. Used by one worker only.
class suspicion_store
{
public:
    explicit suspicion_store(gateway_context& context);

    /// Writes this daemon's row if it lacks an attribution that is known here.
    /// The holder calls this at each of its updates, so that a failed write is
    /// repeated, and only while it holds the lease.
    void keep();

    /// Forgets what is stored, since the store was restored from a backup that
    /// may lack it.
    void on_store_restored();

private:
    bool is_stored() const;
    boost::asio::awaitable<void> write();
    boost::asio::awaitable<void> write_row();
    boost::asio::awaitable<void> read_own_row();

    gateway_context& context_;
    /// The attributions in this daemon's row.
    std::set<crash_blame> stored_;
    /// The row's version as last known.
    store_version version_;
    bool is_writing_ = false;
    time_point next_write_at_{};
};

} // namespace barleyfork

#endif
