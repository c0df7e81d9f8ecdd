#ifndef BARLEYFORK_GATEWAY_SRC_GATEWAY_METRICS_HPP
#define BARLEYFORK_GATEWAY_SRC_GATEWAY_METRICS_HPP

#include <barleyfork/base/error.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace barleyfork {

/// What a call to the platform's store is for.
enum class store_purpose : std::uint8_t
{
    configuration,
    server_list,
    members,
    lease,
};

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
    /// Counts a call to the store and leaves a log line on what caused it.
    void count_store_call(store_purpose purpose, std::string_view cause);
    void set_version(std::uint64_t version) noexcept
    {
        version_ = version;
    }

    /// The text format of Prometheus, version 0.0.4.
    std::string to_prometheus() const;

private:
    struct histograms;
    static constexpr std::size_t store_purposes = 4;

    std::unique_ptr<histograms> histograms_;
    std::uint64_t repeats_ = 0;
    std::uint64_t orders_ = 0;
    std::array<std::uint64_t, store_purposes> store_calls_{};
    std::uint64_t version_ = 0;
};

} // namespace barleyfork

#endif
