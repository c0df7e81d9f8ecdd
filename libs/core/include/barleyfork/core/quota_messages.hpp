#ifndef BARLEYFORK_CORE_QUOTA_MESSAGES_HPP
#define BARLEYFORK_CORE_QUOTA_MESSAGES_HPP

#include <barleyfork/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace barleyfork {

/// What a daemon gives to and needs from the pool for one account, in tokens.
struct quota_need
{
    std::uint64_t account = 0;
    /// Minted by the sender, which no longer has them.
    double transferred = 0.0;
    /// Needed by requests that wait now, of which the first needs `first`.
    double waiting = 0.0;
    double first = 0.0;
    /// Expected to be needed soon.
    double wanted = 0.0;
};

/// The last grant that a daemon received from a pool.
struct quota_echo
{
    /// When it was sent, by the clock of the pool.
    time_point stamp{};
    /// How long ago it was received, by the clock of the daemon.
    duration age{0};
};

/// A daemon's request to the pool.
struct quota_request
{
    /// Grows with each request of a process.
    std::uint64_t number = 0;
    /// False if another pool may still count the sender.
    bool is_counted = false;
    /// The number of daemons that the sender knows.
    std::size_t daemons = 0;
    /// Nothing if the sender has no grant of this pool yet; it then transfers
    /// nothing.
    std::optional<quota_echo> echo;
    std::vector<quota_need> needs;
};

/// What the pool grants for one account.
struct quota_share
{
    std::uint64_t account = 0;
    double granted = 0.0;
    /// When what the first waiting request lacks is expected to be available;
    /// zero if nothing lacks.
    duration available_in{0};
};

/// The pool's answer to a request. It names all accounts that are in use at any
/// daemon, so that their balances are transferred.
struct quota_grant
{
    /// The number of the request.
    std::uint64_t number = 0;
    /// When it was sent, by the clock of the pool.
    time_point stamp{};
    /// The number of daemons that the pool knows.
    std::size_t daemons = 0;
    std::vector<quota_share> shares;
};

} // namespace barleyfork

#endif
