#ifndef BARLEYFORK_CORE_CONCURRENCY_LIMIT_HPP
#define BARLEYFORK_CORE_CONCURRENCY_LIMIT_HPP

#include <barleyfork/base/time.hpp>

#include <cstdint>

namespace barleyfork {

/// How many requests one daemon keeps on one backend server.
///
/// Grows by one for each full round of first tokens within their target and
/// shrinks by a share when one comes late, so that under overload requests are
/// refused early instead of all being late. Additive increase and
/// multiplicative decrease lets daemons that see nothing of each other arrive
/// at equal shares. Not thread-safe.
class concurrency_limit
{
public:
    /// `largest` bounds the limit, from the settings.
    explicit concurrency_limit(std::uint32_t largest);

    /// A first token came after `first_token_ms` with a target of
    /// `target_ms`, while `outstanding` requests were on the server.
    void on_first_token(double first_token_ms,
                        double target_ms,
                        std::uint32_t outstanding,
                        time_point now);

    /// Requests that may be outstanding; at least one.
    std::uint32_t limit() const noexcept;

private:
    double largest_;
    double limit_;
    time_point decreased_at_{};
};

} // namespace barleyfork

#endif
