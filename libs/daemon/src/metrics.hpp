#ifndef BARLEYFORK_DAEMON_SRC_METRICS_HPP
#define BARLEYFORK_DAEMON_SRC_METRICS_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/core/memory_ledger.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace barleyfork {

/// The daemon's metrics. Thread-safe.
class metrics
{
public:
    metrics();
    ~metrics();

    /// Counts a finished request by its outcome.
    void count_outcome(errc kind);

    /// Counts a complete response and whether it met its target.
    void count_attainment(bool within_target);

    /// Records a time to first token, in milliseconds.
    void record_first_token(double milliseconds);

    /// Records a time between tokens, in milliseconds.
    void record_between_tokens(double milliseconds);

    /// Records a time in the queue, in milliseconds.
    void record_queue_time(double milliseconds);

    /// Counts an order that an engine confirmed (a move).
    void count_move(order_kind kind);

    void count_retry();
    void count_tokens(std::uint64_t tokens);
    void set_retry_budget(double left);
    void set_revision(std::uint64_t revision);

    /// Returns the metrics in the Prometheus text format, version 0.0.4.
    std::string to_prometheus() const;

private:
    struct state;

    std::unique_ptr<state> state_;
};

} // namespace barleyfork

#endif
