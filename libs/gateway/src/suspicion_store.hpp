#ifndef BARLEYFORK_GATEWAY_SRC_SUSPICION_STORE_HPP
#define BARLEYFORK_GATEWAY_SRC_SUSPICION_STORE_HPP

#include "gateway_context.hpp"

#include <barleyfork/core/suspicion_writes.hpp>

#include <boost/asio/awaitable.hpp>
#include <span>
#include <vector>

namespace barleyfork {

/// Keeps in the store the crashes that are attributed to suspects below the
/// refusal threshold, in one row of each daemon that writes: the lease holder,
/// so that they are still counted after all daemons stopped, and daemons that
/// hear no holder, so that theirs add up. Used by one worker only.
class suspicion_store
{
public:
    explicit suspicion_store(gateway_context& context);

    /// Writes this daemon's row if an attribution that is known here is not
    /// stored. A writer calls this again and again, so that a failed write is
    /// repeated.
    void keep(suspicion_writer writer);

    /// Records what rows in the store contain.
    void on_read(std::span<const reported_blame> blames);

    /// Forgets what is stored, since the store was restored from a backup that
    /// may lack it.
    void on_store_restored();

private:
    std::vector<reported_blame> suspicions(suspicion_writer writer) const;
    boost::asio::awaitable<void> write(suspicion_writer writer);
    boost::asio::awaitable<bool> write_row(suspicion_writer writer);
    boost::asio::awaitable<void> read_own_row();

    gateway_context& context_;
    suspicion_writes writes_;
    /// The version of this daemon's row as last known.
    store_version version_;
    bool is_writing_ = false;
};

} // namespace barleyfork

#endif
