#include "bounded_writer.hpp"

#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace barleyfork {

namespace {

/// Lines that arrive within this time are written with one system call.
constexpr std::chrono::milliseconds batch_delay{40};
/// Maximum wait for the reader before the thread checks for shutdown.
constexpr int max_reader_wait_ms = 100;
/// Maximum duration of a flush.
constexpr std::chrono::milliseconds max_flush_time{300};
/// Bytes that a pipe accepts without blocking once poll() reports it writable
/// (POSIX).
constexpr std::size_t max_write_bytes = 4096;
/// Failures may use this multiple of the limits for other lines.
constexpr std::size_t failure_limit_factor = 2;

} // namespace

line_rate_limiter::line_rate_limiter(writer_limits limits) : limits_(limits) {}

bool line_rate_limiter::admit(std::size_t bytes,
                              bool is_failure,
                              std::size_t queued,
                              time_point now)
{
    constexpr duration second{1000};
    if (now >= window_started_at_ + second) {
        window_started_at_ = now;
        lines_ = 0;
        bytes_ = 0;
    }
    const std::size_t factor = is_failure ? failure_limit_factor : 1;
    const bool fits =
        queued * failure_limit_factor < limits_.max_queued_lines * factor &&
        lines_ < limits_.max_lines_per_second * factor &&
        bytes_ + bytes <= limits_.max_bytes_per_second * factor;
    if (!fits) {
        ++dropped_;
        return false;
    }
    ++lines_;
    bytes_ += bytes;
    return true;
}

std::uint64_t line_rate_limiter::take_dropped()
{
    const auto count = dropped_;
    dropped_ = 0;
    return count;
}

bounded_writer::bounded_writer(int descriptor, writer_limits limits)
    : descriptor_(descriptor), rate_limiter_(limits), thread_([this] { run(); })
{
}

bounded_writer::~bounded_writer()
{
    {
        const std::lock_guard lock(mutex_);
        is_stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void bounded_writer::push(std::string line, bool is_failure)
{
    bool first = false;
    {
        const std::lock_guard lock(mutex_);
        if (!rate_limiter_.admit(
                line.size(), is_failure, lines_.size(), steady_now()))
            return;
        first = lines_.empty();
        lines_.push_back(std::move(line));
    }
    if (first)
        changed_.notify_all();
}

void bounded_writer::flush()
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, max_flush_time, [this] {
        return lines_.empty() && !is_writing_;
    });
}

void bounded_writer::run()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        changed_.wait(lock, [this] { return is_stopping_ || !lines_.empty(); });
        if (!is_stopping_)
            changed_.wait_for(
                lock, batch_delay, [this] { return is_stopping_; });
        std::string text;
        while (!lines_.empty()) {
            text += lines_.front();
            lines_.pop_front();
        }
        const auto dropped_lines = rate_limiter_.take_dropped();
        const bool last = is_stopping_;
        if (dropped_lines > 0)
            text += "level=WARN event=log_lines_left_out count=" +
                    std::to_string(dropped_lines) + "\n";
        is_writing_ = true;
        lock.unlock();
        write_out(text);
        lock.lock();
        is_writing_ = false;
        changed_.notify_all();
        if (last)
            return;
    }
}

/// Blocks only this thread while the reader is slow. During shutdown, gives up
/// after the first poll that times out.
void bounded_writer::write_out(const std::string& text)
{
    std::size_t at = 0;
    while (at < text.size()) {
        pollfd wanted{descriptor_, POLLOUT, 0};
        const int ready = ::poll(&wanted, 1, max_reader_wait_ms);
        if (ready == 0) {
            const std::lock_guard lock(mutex_);
            if (is_stopping_)
                return;
            continue;
        }
        const auto size = std::min(text.size() - at, max_write_bytes);
        const auto written = ::write(descriptor_, text.data() + at, size);
        if (written < 0 && errno != EINTR && errno != EAGAIN)
            return;
        at += written > 0 ? static_cast<std::size_t>(written) : 0;
    }
}

} // namespace barleyfork
