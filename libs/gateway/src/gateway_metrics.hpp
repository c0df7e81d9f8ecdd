#ifndef BARLEYFORK_GATEWAY_SRC_GATEWAY_METRICS_HPP
#define BARLEYFORK_GATEWAY_SRC_GATEWAY_METRICS_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/base/time.hpp>

#include <barleyfork/core/room_policy.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace barleyfork {

/// The purpose of a call to the platform's store.
enum class store_purpose : std::uint8_t
{
    configuration,
    server_list,
    members,
    lease,
};

/// Counters and latency histograms of one gateway. Not thread-safe: used by
/// one worker thread only.
class gateway_metrics
{
public:
    gateway_metrics();
    ~gateway_metrics();

    /// Counts a request by its outcome.
    void count_outcome(errc kind);

    /// Records the time to the first byte of a response, in milliseconds.
    void record_first_event(double milliseconds);

    /// Counts a request that has to wait, by the reason.
    void count_wait(std::string_view reason);

    /// Counts a request that is refused for want of room. `returned` is true if
    /// its caller was rejected before.
    void count_room_refusal(room_reason reason, bool returned);

    /// Records how long a request waited for a server, in milliseconds.
    void record_wait(double milliseconds);

    void count_retry() noexcept
    {
        ++retry_count_;
    }
    void count_order() noexcept
    {
        ++order_count_;
    }
    /// Counts a call to the store and logs its cause.
    void count_store_call(store_purpose purpose, std::string_view cause);
    void set_configuration_version(std::uint64_t version) noexcept
    {
        version_ = version;
    }

    /// Sets how old this daemon's knowledge of the configuration and of the
    /// list of servers is.
    void set_ages(duration configuration, duration list) noexcept
    {
        configuration_age_ = configuration;
        list_age_ = list;
    }

    /// Returns the metrics in the text format of Prometheus, version 0.0.4.
    std::string to_prometheus() const;

private:
    struct histograms;
    static constexpr std::size_t store_purposes = 4;

    std::unique_ptr<histograms> histograms_;
    std::map<std::string, std::uint64_t, std::less<>> waits_;
    std::map<room_reason, std::uint64_t> room_refusals_;
    std::uint64_t returned_refusals_ = 0;
    std::uint64_t retry_count_ = 0;
    std::uint64_t order_count_ = 0;
    std::array<std::uint64_t, store_purposes> store_calls_{};
    std::uint64_t version_ = 0;
    duration configuration_age_{0};
    duration list_age_{0};
};

} // namespace barleyfork

#endif
