#include "metrics.hpp"

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <sstream>

namespace barleyfork {

namespace histogram = boost::histogram;

namespace {

constexpr int outcome_kinds = 22;
constexpr std::array<const char*, 3> move_names{"load", "unload", "fence"};
constexpr unsigned time_bins = 40;
constexpr double min_time_ms = 0.1;
constexpr double max_time_ms = 100000.0;

using count_storage = histogram::dense_storage<
    histogram::accumulators::count<std::uint64_t, true>>;
using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using kind_axis = histogram::axis::integer<>;

auto make_times()
{
    return histogram::make_histogram_with(
        count_storage(), log_axis(time_bins, min_time_ms, max_time_ms));
}

auto make_kinds(int count)
{
    return histogram::make_histogram_with(count_storage(), kind_axis(0, count));
}

using time_histogram = decltype(make_times());
using kind_histogram = decltype(make_kinds(1));

/// Writes one histogram in the text format: cumulative buckets, then the
/// count.
void write_histogram(std::ostream& out,
                     const char* name,
                     const time_histogram& times)
{
    out << "# TYPE " << name << " histogram\n";
    std::uint64_t total = times.at(-1).value();
    const auto& axis = times.axis();
    for (int bin = 0; bin < axis.size(); ++bin) {
        total += times.at(bin).value();
        out << name << "_bucket{le=\"" << axis.bin(bin).upper() << "\"} "
            << total << "\n";
    }
    total += times.at(axis.size()).value();
    out << name << "_bucket{le=\"+Inf\"} " << total << "\n";
    out << name << "_count " << total << "\n";
}

void write_value(std::ostream& out,
                 const char* name,
                 const char* type,
                 double value)
{
    out << "# TYPE " << name << ' ' << type << "\n"
        << name << ' ' << value << "\n";
}

} // namespace

struct metrics::state
{
    kind_histogram outcomes = make_kinds(outcome_kinds);
    kind_histogram moves = make_kinds(move_names.size());
    time_histogram first_token = make_times();
    time_histogram between_tokens = make_times();
    time_histogram queue_time = make_times();
    std::atomic<std::uint64_t> answers{0};
    std::atomic<std::uint64_t> within_target{0};
    std::atomic<std::uint64_t> retries{0};
    std::atomic<std::uint64_t> tokens{0};
    std::atomic<double> retry_budget{0.0};
    std::atomic<std::uint64_t> revision{0};
};

metrics::metrics() : state_(std::make_unique<state>()) {}

metrics::~metrics() = default;

void metrics::count_outcome(errc kind)
{
    state_->outcomes(static_cast<int>(kind));
}

void metrics::count_attainment(bool within_target)
{
    ++state_->answers;
    if (within_target)
        ++state_->within_target;
}

void metrics::record_first_token(double milliseconds)
{
    state_->first_token(milliseconds);
}

void metrics::record_between_tokens(double milliseconds)
{
    state_->between_tokens(milliseconds);
}

void metrics::record_queue_time(double milliseconds)
{
    state_->queue_time(milliseconds);
}

void metrics::count_move(order_kind kind)
{
    state_->moves(static_cast<int>(kind));
}

void metrics::count_retry()
{
    ++state_->retries;
}

void metrics::count_tokens(std::uint64_t tokens)
{
    state_->tokens += tokens;
}

void metrics::set_retry_budget(double left)
{
    state_->retry_budget = left;
}

void metrics::set_revision(std::uint64_t revision)
{
    state_->revision = revision;
}

std::string metrics::to_prometheus() const
{
    std::ostringstream out;
    out << "# TYPE barleyfork_requests_total counter\n";
    for (int kind = 0; kind < outcome_kinds; ++kind)
        out << "barleyfork_requests_total{outcome=\""
            << error_name(static_cast<errc>(kind)) << "\"} "
            << state_->outcomes.at(kind).value() << "\n";
    out << "# TYPE barleyfork_moves_total counter\n";
    for (int kind = 0; kind < static_cast<int>(move_names.size()); ++kind)
        out << "barleyfork_moves_total{kind=\"" << move_names.at(kind) << "\"} "
            << state_->moves.at(kind).value() << "\n";
    write_histogram(out, "barleyfork_first_token_ms", state_->first_token);
    write_histogram(
        out, "barleyfork_between_tokens_ms", state_->between_tokens);
    write_histogram(out, "barleyfork_queue_time_ms", state_->queue_time);
    const auto number = [](std::uint64_t value) {
        return static_cast<double>(value);
    };
    write_value(
        out, "barleyfork_answers_total", "counter", number(state_->answers));
    write_value(out,
                "barleyfork_answers_within_target_total",
                "counter",
                number(state_->within_target));
    write_value(
        out, "barleyfork_retries_total", "counter", number(state_->retries));
    write_value(
        out, "barleyfork_tokens_total", "counter", number(state_->tokens));
    write_value(out, "barleyfork_retry_budget", "gauge", state_->retry_budget);
    write_value(out, "barleyfork_revision", "gauge", number(state_->revision));
    return out.str();
}

} // namespace barleyfork
