#ifndef BARLEYFORK_CORE_QUOTA_ACCOUNT_HPP
#define BARLEYFORK_CORE_QUOTA_ACCOUNT_HPP

#include <barleyfork/core/quota_terms.hpp>

#include <optional>
#include <vector>

namespace barleyfork {

/// Tokens that may be used until a point in time.
struct quota_credit
{
    time_point expires_at{};
    double tokens = 0.0;
};

/// The tokens that one request used, and until when they can be returned.
using quota_charge = std::vector<quota_credit>;

/// The tokens of one organisation at one daemon: the balance, which the daemon
/// mints itself up to a cap, and credits from pools. Not thread-safe.
///
/// All times are of a clock that also advances while the machine is suspended.
class quota_account
{
public:
    /// Sets the terms and the fraction of the rate that this daemon mints. The
    /// balance is reduced to the new cap, and credits are dropped if less is
    /// minted than before.
    void set_terms(const quota_terms& terms, double fraction, time_point now);

    /// Takes the tokens of a request, from credits first, since these expire.
    /// Returns nothing, and takes nothing, if there are too few.
    std::optional<quota_charge> take(double tokens, time_point now);

    /// Returns the tokens of a request that was not run, as far as they have
    /// not expired.
    void put_back(const quota_charge& charge, time_point now);

    void add_credit(const quota_credit& credit, time_point now);

    /// Empties the balance and returns what was in it.
    double take_balance(time_point now);

    double balance(time_point now);
    double credit(time_point now);

    const quota_terms& terms() const noexcept
    {
        return terms_;
    }

private:
    double cap() const noexcept;
    void mint(time_point now);
    void drop_expired(time_point now);

    quota_terms terms_;
    double fraction_ = 0.0;
    double balance_ = 0.0;
    time_point minted_at_{};
    /// Sorted by their expiry.
    std::vector<quota_credit> credits_;
};

} // namespace barleyfork

#endif
