#ifndef BARLEYFORK_GATEWAY_SRC_GATEWAY_METRICS_HPP
#define BARLEYFORK_GATEWAY_SRC_GATEWAY_METRICS_HPP

#include <barleyfork/base/error.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace barleyfork {

/// Counters and latency histograms of one gateway; one duty's.
class gateway_metrics
{
public:
    gateway_metrics();
    ~gateway_metrics();

    /// Counts how a request ended.
    void count_end(errc kind);

    /// Records the time to an answer's first byte, in milliseconds.
    void record_first_event(double milliseconds);

    /// Records how long a request waited for a server, in milliseconds.
    void record_wait(double milliseconds);

    void count_repeat() noexcept
    {
        ++repeats_;
    }
    void count_order() noexcept
    {
        ++orders_;
    }
    void count_store_call() noexcept
    {
        ++store_calls_;
    }
    void set_version(std::uint64_t version) noexcept
    {
        version_ = version;
    }

    /// The text format of Prometheus, version 0.0.4.
    std::string to_prometheus() const;

private:
    struct histograms;

    std::unique_ptr<histograms> histograms_;
    std::uint64_t repeats_ = 0;
    std::uint64_t orders_ = 0;
    std::uint64_t store_calls_ = 0;
    std::uint64_t version_ = 0;
};

} // namespace barleyfork

#endif
