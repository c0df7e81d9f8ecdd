#ifndef BARLEYFORK_CORE_QUOTA_TERMS_HPP
#define BARLEYFORK_CORE_QUOTA_TERMS_HPP

#include <barleyfork/base/time.hpp>
#include <barleyfork/core/gateway_configuration.hpp>

#include <cstddef>
#include <cstdint>

namespace barleyfork {

/// How far an organisation's use may exceed its quota. In each `window` it is
/// at most (rate x window + burst) x (1 + `over`) + `slack` tokens over all
/// daemons.
struct quota_tolerance
{
    duration window{0};
    double over = 0.0;
    double slack = 0.0;

    friend bool operator==(const quota_tolerance&,
                           const quota_tolerance&) = default;
};

/// For how long tokens may stay at each place on their way from the daemon
/// that mints them to the request that uses them.
struct quota_times
{
    /// The time of minting after which a daemon's own balance is full.
    duration balance{0};
    /// Maximum time of a grant and the request that follows it on their ways.
    duration travel{0};
    /// Time for which a pool retains tokens beyond its cap.
    duration passage{0};
    /// Time from the sending of a request for tokens to the end of the credit
    /// that it is granted.
    duration credit{0};
    /// The interval of requests while no organisation is in use.
    duration idle_interval{0};
    /// Time for which a pool counts a daemon after its request.
    duration count{0};

    /// Returns the time of minting by which tokens at all these places may
    /// exceed the caps of the pools.
    duration total() const noexcept;

    friend bool operator==(const quota_times&, const quota_times&) = default;
};

/// Returns the interval at which each daemon asks the pool while an
/// organisation is in use.
duration quota_interval(std::size_t daemons);

/// Returns the times for daemons that exchange tokens at this interval.
quota_times make_quota_times(duration update_interval);

/// What all daemons together mint and store for an organisation.
///
/// In any window, requests use at most what is minted in it and what was stored
/// at its start: `per_second` x (window + `times.total()`) + `pool_cap`, which
/// is at most the bound. Where the bound leaves too little for that,
/// `pool_cap` is less than the burst and then `per_second` less than the rate
/// of the quota.
struct quota_terms
{
    double per_second = 0.0;
    /// Maximum number of tokens in all pools together, beside those that
    /// arrived within `times.passage`.
    double pool_cap = 0.0;
    quota_times times;

    friend bool operator==(const quota_terms&, const quota_terms&) = default;
};

/// Returns the maximum number of tokens that may be used in a window.
double quota_bound(const token_quota& quota, const quota_tolerance& tolerance);

/// Returns the terms of a limited quota.
quota_terms make_quota_terms(const token_quota& quota,
                             const quota_tolerance& tolerance,
                             const quota_times& times);

/// Returns the id of the account of an organisation with this quota. Daemons
/// with another version of the quota exchange no tokens with it.
std::uint64_t quota_account_id(const organisation_id& organisation,
                               const token_quota& quota);

} // namespace barleyfork

#endif
