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
#include <optional>
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

/// Why a request was refused because of its key.
enum class key_refusal : std::uint8_t
{
    /// The request has no key, or no usable one.
    missing,
    /// The key identifies no organisation.
    unknown,
    /// What this daemon knows is too old to decide.
    unconfirmed,
};

/// Returns the short name of a reason, as written in logs and metrics.
std::string_view key_refusal_name(key_refusal reason);

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
    /// Counts a long prompt that was sent to be read after shorter ones.
    void count_yielded_prompt() noexcept
    {
        ++yielded_prompt_count_;
    }
    void count_order() noexcept
    {
        ++order_count_;
    }
    /// Counts a call to the store and logs its cause.
    void count_store_call(store_purpose purpose, std::string_view cause);
    /// Sets the version in force and how many of its parts could not be used.
    void set_configuration(std::uint64_t version, std::size_t faults) noexcept
    {
        version_ = version;
        faults_ = faults;
    }

    /// Counts a request that was refused because of its key.
    void count_refused_key(key_refusal reason) noexcept
    {
        ++refused_keys_.at(static_cast<std::size_t>(reason));
    }

    /// Sets how old this daemon's knowledge of the configuration and of the
    /// list of servers is, and the age that decides about keys, which is unset
    /// if nothing confirmed the configuration.
    void set_ages(duration configuration,
                  duration list,
                  std::optional<duration> keys) noexcept
    {
        configuration_age_ = configuration;
        list_age_ = list;
        key_age_ = keys;
    }

    /// Returns the metrics in the text format of Prometheus, version 0.0.4.
    std::string to_prometheus() const;

private:
    struct histograms;
    static constexpr std::size_t store_purposes = 4;
    static constexpr std::size_t key_refusals = 3;

    std::unique_ptr<histograms> histograms_;
    std::map<std::string, std::uint64_t, std::less<>> waits_;
    std::map<room_reason, std::uint64_t> room_refusals_;
    std::uint64_t returned_refusals_ = 0;
    std::uint64_t retry_count_ = 0;
    std::uint64_t order_count_ = 0;
    std::uint64_t yielded_prompt_count_ = 0;
    std::array<std::uint64_t, store_purposes> store_calls_{};
    std::uint64_t version_ = 0;
    duration configuration_age_{0};
    duration list_age_{0};
    std::optional<duration> key_age_;
    std::size_t faults_ = 0;
    std::array<std::uint64_t, key_refusals> refused_keys_{};
};

} // namespace barleyfork

#endif
