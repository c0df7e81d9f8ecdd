#ifndef BARLEYFORK_DAEMON_SRC_TRACER_HPP
#define BARLEYFORK_DAEMON_SRC_TRACER_HPP

#include <barleyfork/net/io_worker.hpp>

#include <cstdint>
#include <deque>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

namespace barleyfork {

/// The position of a span in its trace (W3C Trace Context).
struct trace_context
{
    /// 32 hexadecimal digits.
    std::string trace_id;
    /// 16 hexadecimal digits.
    std::string span_id;
    /// The parent's span id, or empty.
    std::string parent_id;

    /// Returns the `traceparent` header for calls made from this span.
    std::string to_header() const;

    /// Returns a new child span of this one.
    trace_context child() const;
};

/// Continues the trace of a caller's `traceparent`, or starts a new one if the
/// header is absent or malformed.
trace_context continue_or_start_trace(std::string_view traceparent);

/// A finished span.
struct trace_span
{
    trace_context context;
    /// The hop: caller, queue, claim, attempt, order.
    std::string name;
    std::int64_t start_ms = 0;
    std::int64_t duration_ms = 0;
    /// key=value pairs.
    std::string note;
};

/// Keeps the newest spans and writes them to a file, on a dedicated thread.
/// Spans are dropped and counted when the ring is full.
class tracer
{
public:
    explicit tracer(const std::string& file);

    void start()
    {
        duty_.start();
    }

    /// Records a finished span. Thread-safe.
    void record(trace_span span);

    /// Returns the spans of one trace as JSON, for the operators' address.
    boost::asio::awaitable<std::string> find(std::string trace_id);

    io_worker& owner() noexcept
    {
        return duty_;
    }

private:
    void store_span(trace_span span);

    /// Maximum number of spans in memory.
    static constexpr std::size_t capacity = 4096;

    io_worker duty_;
    std::ofstream file_;
    std::deque<trace_span> spans_;
};

} // namespace barleyfork

#endif
