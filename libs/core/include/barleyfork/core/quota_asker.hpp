#ifndef BARLEYFORK_CORE_QUOTA_ASKER_HPP
#define BARLEYFORK_CORE_QUOTA_ASKER_HPP

#include <barleyfork/core/pool_choice.hpp>
#include <barleyfork/core/quota_account.hpp>
#include <barleyfork/core/quota_messages.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace barleyfork {

/// Whether a request may use its tokens.
struct quota_decision
{
    enum class outcome : std::uint8_t
    {
        admitted,
        /// A decision with the same ticket follows.
        waits,
        refused,
    };

    outcome result = outcome::admitted;
    /// Identifies a request that waits.
    std::uint64_t ticket = 0;
    /// The tokens of an admitted request.
    quota_charge charge;
    /// When the tokens of a refused request are expected to be available.
    duration retry_after{0};
};

/// A request for tokens and the daemon to which it is sent.
struct quota_send
{
    instance_id to;
    quota_request request;
};

/// What `quota_asker::run` and `quota_asker::on_grant` decided.
struct quota_events
{
    std::vector<quota_decision> decisions;
    std::vector<quota_send> sends;
};

/// One daemon's use of the quotas of all organisations.
///
/// A request uses credits and the balance of this daemon. Where these do not
/// suffice, it waits until a pool grants the rest, or is refused at once if the
/// pool said that it has none. Balances are transferred to the pool with each
/// request for tokens. Not thread-safe.
///
/// All times are of a clock that also advances while the machine is suspended.
class quota_asker
{
public:
    /// `now` is the start of the process, whose predecessor a pool may still
    /// count.
    quota_asker(quota_times times, time_point now);

    /// Sets the accounts and their terms. `replaced` maps accounts to earlier
    /// ones of the same organisation.
    void set_accounts(const std::map<std::uint64_t, quota_terms>& accounts,
                      const std::map<std::uint64_t, std::uint64_t>& replaced,
                      time_point now);

    /// Sets the daemons that may be pools, including this one, how many there
    /// are, and whether all of them know this one: otherwise it mints nothing.
    void set_daemons(std::vector<pool_candidate> candidates,
                     bool is_known,
                     time_point now);

    /// Decides on a request that may wait for `patience`.
    quota_decision decide(std::uint64_t account,
                          double tokens,
                          duration patience,
                          time_point now);

    /// Returns the tokens of a request that was not run.
    void
    put_back(std::uint64_t account, const quota_charge& charge, time_point now);

    /// Removes a request that no longer waits.
    void cancel(std::uint64_t account, std::uint64_t ticket);

    /// Returns when `run` is due next.
    time_point next_due() const;

    /// Refuses requests that waited for too long, and asks for tokens when that
    /// is due. `interval` is the time between two regular requests.
    quota_events run(duration interval, time_point now);

    /// Processes a grant of `from`.
    quota_events
    on_grant(const instance_id& from, const quota_grant& grant, time_point now);

    const instance_id& pool() const noexcept
    {
        return pools_.current();
    }

private:
    struct waiter
    {
        std::uint64_t ticket = 0;
        double tokens = 0.0;
        time_point until{};
    };
    struct organisation
    {
        quota_account account;
        std::deque<waiter> waiters;
        /// When another request for the waiting ones is useful.
        time_point ask_at{};
        /// Requests are refused until then, and may return after `available`.
        time_point short_until{};
        time_point available_at{};
        /// Until then, the organisation is in use at some daemon.
        time_point active_until{};
        time_point moved_at{};
        /// The smoothed rate of tokens that requests ask for, per second, and
        /// the mean size of a request.
        double rate = 0.0;
        double mean_tokens = 0.0;
        time_point rate_at{};
    };
    struct sent_request
    {
        instance_id to;
        time_point sent_at{};
        std::map<std::uint64_t, double> waiting;
    };

    std::size_t daemons() const noexcept;
    double fraction() const noexcept;
    void apply_fraction(time_point now);
    bool is_counted(time_point now) const;
    void watch_pool(time_point now);
    void give_up_silent(time_point now);
    void record_use(organisation& entry, double tokens, time_point now);
    double expected_use(const organisation& entry, time_point now) const;
    double asked(std::uint64_t account, time_point now) const;
    std::optional<quota_need> make_need(std::uint64_t id,
                                        organisation& entry,
                                        bool is_round,
                                        time_point now);
    std::optional<quota_send> make_request(bool is_round, time_point now);
    quota_request make_head(const instance_id& to, time_point now);
    void serve(organisation& entry, quota_events& events, time_point now);
    void refuse_waiters(organisation& entry,
                        duration available_in,
                        quota_events& events);
    void refuse_late(quota_events& events, time_point now);
    void apply_share(const quota_share& share,
                     time_point sent_at,
                     quota_events& events,
                     time_point now);

    quota_times times_;
    pool_choice pools_;
    std::map<std::uint64_t, organisation> organisations_;
    std::size_t listed_ = 1;
    /// The number of daemons that the pool knows.
    std::size_t heard_ = 0;
    bool is_known_ = false;
    /// The pool that is used, and when another one counted this daemon last.
    instance_id pool_;
    time_point counted_elsewhere_until_{};
    std::optional<quota_echo> last_grant_;
    time_point last_grant_at_{};
    std::map<std::uint64_t, sent_request> sent_;
    std::uint64_t last_number_ = 0;
    std::uint64_t last_ticket_ = 0;
    duration interval_{200};
    time_point round_at_{};
    /// When requests that wait are asked for.
    std::optional<time_point> ask_at_;
};

} // namespace barleyfork

#endif
