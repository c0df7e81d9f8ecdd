#ifndef BARLEYFORK_CORE_QUOTA_POOL_HPP
#define BARLEYFORK_CORE_QUOTA_POOL_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/core/quota_messages.hpp>
#include <barleyfork/core/quota_terms.hpp>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace barleyfork {

/// One process of a daemon that asks for tokens.
struct quota_sender
{
    instance_id instance;
    /// Grows with each process of an instance.
    std::uint64_t incarnation = 0;
};

/// The tokens that daemons transferred to this one, from which it grants.
///
/// Every daemon has a pool, without any state to begin with; daemons that use
/// different pools only divide the tokens among these. A pool stores no more
/// than its cap, which is the fraction of all daemons that it counts, and
/// tokens that arrived just now. Not thread-safe.
///
/// All times are of a clock that also advances while the machine is suspended.
class quota_pool
{
public:
    explicit quota_pool(time_point now) : started_at_(now) {}

    /// Sets the accounts and their terms. `replaced` maps the accounts of
    /// organisations whose quota changed to the earlier ones, whose tokens
    /// remain up to the new cap.
    void set_accounts(const std::map<std::uint64_t, quota_terms>& accounts,
                      const std::map<std::uint64_t, std::uint64_t>& replaced,
                      time_point now);

    /// Sets the number of daemons listed.
    void set_daemons(std::size_t count, time_point now);

    /// Accepts transferred tokens and grants others.
    quota_grant answer(const quota_sender& sender,
                       const quota_request& request,
                       time_point now);

    /// Returns the tokens that arrived too late, since the start.
    double lost() const noexcept
    {
        return lost_;
    }

    /// Returns how many daemons use this pool now.
    std::size_t counted(time_point now) const;

private:
    struct arrival
    {
        time_point at{};
        double tokens = 0.0;
    };
    struct account
    {
        quota_terms terms;
        double stock = 0.0;
        /// The tokens that arrived within `terms.times.passage`.
        std::deque<arrival> arrivals;
        /// Tokens that daemons were told to come back for.
        double promised = 0.0;
        time_point promised_at{};
        time_point used_at{};
        bool was_used = false;
    };
    struct asker
    {
        std::uint64_t incarnation = 0;
        /// The newest request, and a bit for each of those before it.
        std::uint64_t number = 0;
        std::uint64_t seen = 0;
        time_point counted_until{};
        /// The number of daemons that it knew, and for how long that counts.
        std::size_t daemons = 0;
        time_point known_until{};
    };

    std::optional<duration> travel_time(const quota_request& request,
                                        time_point now) const;
    bool is_new(const quota_sender& sender, std::uint64_t number);
    void clip(account& entry, time_point now) const;
    void clip_all(time_point now);
    void update_daemons(time_point now);
    void record_asker(const quota_sender& sender,
                      const quota_request& request,
                      std::optional<duration> travel,
                      time_point now);
    double cap(const account& entry, time_point now) const;
    void accept(account& entry, double tokens, time_point now) const;
    quota_share
    grant(account& entry, const quota_need& need, time_point now) const;
    duration
    promise(account& entry, double missing, double first, time_point now) const;

    time_point started_at_;
    std::size_t listed_ = 1;
    /// The maximum of the numbers that this daemon and its askers know.
    std::size_t daemons_ = 1;
    std::map<std::uint64_t, account> accounts_;
    std::map<instance_id, asker> askers_;
    double lost_ = 0.0;
};

} // namespace barleyfork

#endif
