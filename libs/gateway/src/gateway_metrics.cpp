#include "gateway_metrics.hpp"

#include <barleyfork/base/log.hpp>

#include <boost/histogram.hpp>
#include <sstream>

namespace barleyfork {

namespace histogram = boost::histogram;

namespace {

constexpr int outcome_count = 23;
constexpr unsigned time_bins = 30;
constexpr double min_time_ms = 0.5;
constexpr double max_time_ms = 20000.0;

using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;

const char* purpose_name(store_purpose purpose)
{
    constexpr std::array<const char*, 4> names{
        "configuration", "server_list", "members", "lease"};
    return names.at(static_cast<std::size_t>(purpose));
}

auto make_times()
{
    return histogram::make_histogram(
        log_axis(time_bins, min_time_ms, max_time_ms));
}

auto make_kinds()
{
    return histogram::make_histogram(
        histogram::axis::integer<>(0, outcome_count));
}

using time_histogram = decltype(make_times());

void write_times(std::ostream& out,
                 const char* name,
                 const time_histogram& times)
{
    out << "# TYPE " << name << " histogram\n";
    double total = times.at(-1);
    const auto& axis = times.axis();
    for (int bin = 0; bin < axis.size(); ++bin) {
        total += times.at(bin);
        out << name << "_bucket{le=\"" << axis.bin(bin).upper() << "\"} "
            << total << "\n";
    }
    total += times.at(axis.size());
    out << name << "_bucket{le=\"+Inf\"} " << total << "\n"
        << name << "_count " << total << "\n";
}

void write_counter(std::ostream& out, const char* name, std::uint64_t value)
{
    out << "# TYPE " << name << " counter\n" << name << ' ' << value << "\n";
}

void write_gauge(std::ostream& out, const char* name, std::int64_t value)
{
    out << "# TYPE " << name << " gauge\n" << name << ' ' << value << "\n";
}

} // namespace

struct gateway_metrics::histograms
{
    decltype(make_kinds()) outcomes = make_kinds();
    time_histogram first_event = make_times();
    time_histogram wait = make_times();
};

gateway_metrics::gateway_metrics() : histograms_(std::make_unique<histograms>())
{
}

gateway_metrics::~gateway_metrics() = default;

std::string_view key_refusal_name(key_refusal reason)
{
    constexpr std::array<std::string_view, 3> names{
        "missing", "unknown", "unconfirmed"};
    return names.at(static_cast<std::size_t>(reason));
}

void gateway_metrics::count_outcome(errc kind)
{
    histograms_->outcomes(static_cast<int>(kind));
}

void gateway_metrics::record_first_event(double milliseconds)
{
    histograms_->first_event(milliseconds);
}

void gateway_metrics::record_wait(double milliseconds)
{
    histograms_->wait(milliseconds);
}

void gateway_metrics::count_wait(std::string_view reason)
{
    ++waits_.try_emplace(std::string(reason), 0).first->second;
}

void gateway_metrics::count_room_refusal(room_reason reason, bool returned)
{
    ++room_refusals_[reason];
    if (returned)
        ++returned_refusals_;
}

void gateway_metrics::count_store_call(store_purpose purpose,
                                       std::string_view cause)
{
    ++store_calls_.at(static_cast<std::size_t>(purpose));
    log_event(log_level::debug, "store_called")
        .with("purpose", purpose_name(purpose))
        .with("cause", cause);
}

std::string gateway_metrics::to_prometheus() const
{
    std::ostringstream out;
    out << "# TYPE barleyfork_requests_total counter\n";
    for (int kind = 0; kind < outcome_count; ++kind)
        out << "barleyfork_requests_total{outcome=\""
            << error_name(static_cast<errc>(kind)) << "\"} "
            << histograms_->outcomes.at(kind) << "\n";
    write_times(out, "barleyfork_first_event_ms", histograms_->first_event);
    write_times(out, "barleyfork_wait_ms", histograms_->wait);
    out << "# TYPE barleyfork_waits_total counter\n";
    for (const auto& [reason, count] : waits_)
        out << "barleyfork_waits_total{reason=\"" << reason << "\"} " << count
            << "\n";
    out << "# TYPE barleyfork_room_refusals_total counter\n";
    for (const auto& [reason, count] : room_refusals_)
        out << "barleyfork_room_refusals_total{reason=\""
            << room_reason_name(reason) << "\"} " << count << "\n";
    write_counter(
        out, "barleyfork_returned_room_refusals_total", returned_refusals_);
    write_counter(out, "barleyfork_repeats_total", retry_count_);
    write_counter(out, "barleyfork_orders_total", order_count_);
    write_counter(
        out, "barleyfork_yielded_prompts_total", yielded_prompt_count_);
    out << "# TYPE barleyfork_store_calls_total counter\n";
    for (std::size_t i = 0; i < store_calls_.size(); ++i)
        out << "barleyfork_store_calls_total{purpose=\""
            << purpose_name(static_cast<store_purpose>(i)) << "\"} "
            << store_calls_[i] << "\n";
    write_counter(out, "barleyfork_configuration_version", version_);
    write_gauge(out,
                "barleyfork_configuration_faults",
                static_cast<std::int64_t>(faults_));
    out << "# TYPE barleyfork_refused_keys_total counter\n";
    for (std::size_t i = 0; i < refused_keys_.size(); ++i)
        out << "barleyfork_refused_keys_total{reason=\""
            << key_refusal_name(static_cast<key_refusal>(i)) << "\"} "
            << refused_keys_[i] << "\n";
    write_gauge(out,
                "barleyfork_key_knowledge_age_ms",
                key_age_ ? key_age_->count() : -1);
    write_gauge(
        out, "barleyfork_configuration_age_ms", configuration_age_.count());
    write_gauge(out, "barleyfork_server_list_age_ms", list_age_.count());
    return out.str();
}

} // namespace barleyfork
