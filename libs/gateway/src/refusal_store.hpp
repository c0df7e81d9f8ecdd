#ifndef BARLEYFORK_GATEWAY_SRC_REFUSAL_STORE_HPP
#define BARLEYFORK_GATEWAY_SRC_REFUSAL_STORE_HPP

#include "gateway_context.hpp"

#include <barleyfork/core/crash_quarantine.hpp>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace barleyfork {

/// Keeps the refusals of requests that crash servers in the store, so that they
/// persist when all daemons stop. Used by one worker only.
class refusal_store
{
public:
    explicit refusal_store(gateway_context& context);

    /// Writes those of the refused requests that this daemon has not stored
    /// yet, one after the other.
    void keep(const std::set<std::uint64_t>& refused);

    /// Forgets which refusals are stored, since the store was restored from a
    /// backup that may lack them.
    void on_store_restored();

    /// Reads the stored refusals and suspicions that are new since the last
    /// read; all of them at first and after a restore. Returns nothing if the
    /// read failed.
    boost::asio::awaitable<std::optional<std::vector<reported_blame>>>
    read_new();

private:
    boost::asio::awaitable<void> write_pending();
    boost::asio::awaitable<bool> write(std::uint64_t fingerprint);

    gateway_context& context_;
    /// Refusals that this daemon stored or is about to store.
    std::set<std::uint64_t> stored_;
    std::deque<std::uint64_t> pending_;
    bool is_writing_ = false;
    /// The version of the store up to which the refusals are read.
    store_version position_;
};

} // namespace barleyfork

#endif
