#ifndef BARLEYFORK_CORE_CONCURRENCY_LIMIT_HPP
#define BARLEYFORK_CORE_CONCURRENCY_LIMIT_HPP

#include <barleyfork/base/time.hpp>

#include <cstdint>

namespace barleyfork {

/// An adaptive limit on the requests of one daemon in flight on one backend
/// server.
///
/// Grows by one for each full round of first tokens within their target and
/// shrinks by a constant factor when a first token is late, so that under
/// overload requests are rejected early instead of all being late. Additive
/// increase and multiplicative decrease let daemons converge to equal shares
/// without communication. Not thread-safe.
class concurrency_limit
{
public:
    /// `max_limit` is the upper bound of the limit, from the settings.
    explicit concurrency_limit(std::uint32_t max_limit);

    /// Adapts the limit to a first token that arrived after `first_token_ms`
    /// with a target of `target_ms`, while `outstanding` requests were in
    /// flight on the server.
    void on_first_token(double first_token_ms,
                        double target_ms,
                        std::uint32_t outstanding,
                        time_point now);

    /// Returns the number of requests that may be in flight; at least one.
    std::uint32_t limit() const noexcept;

private:
    double max_limit_;
    double limit_;
    time_point decreased_at_{};
};

} // namespace barleyfork

#endif
