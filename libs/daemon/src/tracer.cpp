#include "tracer.hpp"

#include <barleyfork/base/digest.hpp>
#include <barleyfork/net/ask.hpp>

#include <algorithm>
#include <boost/json.hpp>
#include <cctype>
#include <utility>

namespace barleyfork {

namespace json = boost::json;

namespace {

constexpr std::size_t trace_id_digits = 32;
constexpr std::size_t span_id_digits = 16;
constexpr std::size_t header_length = 55;
constexpr std::size_t span_id_offset = 36;
constexpr std::size_t trace_id_offset = 3;
constexpr std::size_t ring_capacity = 4096;

std::string new_span_id()
{
    return random_identifier().substr(0, span_id_digits);
}

bool is_hex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isxdigit(c) != 0;
    });
}

json::object to_json(const trace_span& span)
{
    return {{"trace", span.context.trace_id},
            {"span", span.context.span_id},
            {"parent", span.context.parent_id},
            {"name", span.name},
            {"start_ms", span.start_ms},
            {"duration_ms", span.duration_ms},
            {"note", span.note}};
}

} // namespace

std::string trace_context::to_header() const
{
    return "00-" + trace_id + "-" + span_id + "-01";
}

trace_context trace_context::child() const
{
    return {trace_id, new_span_id(), span_id};
}

trace_context continue_or_start_trace(std::string_view traceparent)
{
    if (traceparent.size() != header_length || !traceparent.starts_with("00-"))
        return {random_identifier(), new_span_id(), {}};
    const auto trace = traceparent.substr(trace_id_offset, trace_id_digits);
    const auto parent = traceparent.substr(span_id_offset, span_id_digits);
    if (!is_hex(trace) || !is_hex(parent))
        return {random_identifier(), new_span_id(), {}};
    return {std::string(trace), new_span_id(), std::string(parent)};
}

tracer::tracer(const std::string& file) : duty_("trace", ring_capacity)
{
    if (!file.empty())
        file_.open(file, std::ios::app);
}

void tracer::record(trace_span span)
{
    duty_.try_post([this, span = std::move(span)]() mutable {
        store_span(std::move(span));
    });
}

void tracer::store_span(trace_span span)
{
    if (file_.is_open())
        file_ << json::serialize(to_json(span)) << std::endl;
    spans_.push_back(std::move(span));
    if (spans_.size() > capacity)
        spans_.pop_front();
}

boost::asio::awaitable<std::string> tracer::find(std::string trace_id)
{
    const auto search = [this,
                         trace_id]() -> boost::asio::awaitable<std::string> {
        json::array found;
        for (const auto& span : spans_)
            if (span.context.trace_id == trace_id)
                found.push_back(to_json(span));
        co_return json::serialize(found);
    };
    const auto result = co_await ask<std::string>(duty_, search);
    co_return result.value_or("[]");
}

} // namespace barleyfork
