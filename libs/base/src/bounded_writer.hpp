#ifndef BARLEYFORK_BASE_SRC_BOUNDED_WRITER_HPP
#define BARLEYFORK_BASE_SRC_BOUNDED_WRITER_HPP

#include <barleyfork/base/time.hpp>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace barleyfork {

/// Limits on the queue and the rate of a log.
struct writer_limits
{
    /// Capacity of the queue for a slow reader, in lines. Half of it is
    /// reserved for failures.
    std::size_t max_queued_lines = 4096;
    /// Lines and bytes per second; failures may use twice as much.
    std::size_t max_lines_per_second = 500;
    std::size_t max_bytes_per_second = 150000;
};

/// Decides which lines are written. Lines beyond the limits are dropped and
/// counted. Not thread-safe.
class line_rate_limiter
{
public:
    explicit line_rate_limiter(writer_limits limits);

    /// Returns true if a line may be written while `queued` lines are queued;
    /// otherwise counts it as dropped.
    bool admit(std::size_t bytes,
               bool is_failure,
               std::size_t queued,
               time_point now);

    /// Returns the number of lines dropped since the last call and resets it.
    std::uint64_t take_dropped();

private:
    writer_limits limits_;
    time_point window_started_at_{};
    std::size_t lines_ = 0;
    std::size_t bytes_ = 0;
    std::uint64_t dropped_ = 0;
};

/// Writes lines to a file descriptor on a separate thread. `push` never blocks
/// on the reader.
class bounded_writer
{
public:
    bounded_writer(int descriptor, writer_limits limits);
    bounded_writer(const bounded_writer&) = delete;
    bounded_writer& operator=(const bounded_writer&) = delete;

    /// Writes the queued lines, then stops the thread. Gives up once the
    /// reader accepts nothing for 100 ms.
    ~bounded_writer();

    /// Queues a line that includes its line end. Thread-safe.
    void push(std::string line, bool is_failure);

    /// Waits until all queued lines are written, for at most 300 ms.
    void flush();

private:
    void run();
    void write_out(const std::string& text);

    int descriptor_;
    std::mutex mutex_;
    std::condition_variable changed_;
    line_rate_limiter rate_limiter_;
    std::deque<std::string> lines_;
    bool is_stopping_ = false;
    bool is_writing_ = false;
    std::thread thread_;
};

} // namespace barleyfork

#endif
