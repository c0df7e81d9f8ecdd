#include "bounded_writer.hpp"

#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace barleyfork {

namespace {

/// Lines that come close together are written with one call.
constexpr std::chrono::milliseconds batch_time{40};
/// How long the reader is waited for before the thread looks round again.
constexpr int reader_wait_ms = 100;
/// How long a flush takes at most.
constexpr std::chrono::milliseconds flush_time{300};
/// What a pipe that says it is ready takes without waiting (POSIX).
constexpr std::size_t atomic_write_bytes = 4096;
/// Failures may use as much again as other lines.
constexpr std::size_t failure_factor = 2;

} // namespace

line_allowance::line_allowance(writer_limits limits) : limits_(limits) {}

bool line_allowance::admit(std::size_t bytes,
                           bool is_failure,
                           std::size_t waiting,
                           time_point now)
{
    constexpr duration second{1000};
    if (now >= second_began_ + second) {
        second_began_ = now;
        lines_ = 0;
        bytes_ = 0;
    }
    const std::size_t factor = is_failure ? failure_factor : 1;
    const bool fits =
        waiting * failure_factor < limits_.waiting_lines * factor &&
        lines_ < limits_.lines_per_second * factor &&
        bytes_ + bytes <= limits_.bytes_per_second * factor;
    if (!fits) {
        ++left_out_;
        return false;
    }
    ++lines_;
    bytes_ += bytes;
    return true;
}

std::uint64_t line_allowance::take_left_out()
{
    const auto count = left_out_;
    left_out_ = 0;
    return count;
}

bounded_writer::bounded_writer(int descriptor, writer_limits limits)
    : descriptor_(descriptor), allowance_(limits), thread_([this] { run(); })
{
}

bounded_writer::~bounded_writer()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void bounded_writer::push(std::string line, bool is_failure)
{
    bool first = false;
    {
        const std::lock_guard lock(mutex_);
        if (!allowance_.admit(
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
    changed_.wait_for(
        lock, flush_time, [this] { return lines_.empty() && !writing_; });
}

void bounded_writer::run()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        changed_.wait(lock, [this] { return stopping_ || !lines_.empty(); });
        if (!stopping_)
            changed_.wait_for(lock, batch_time, [this] { return stopping_; });
        std::string text;
        while (!lines_.empty()) {
            text += lines_.front();
            lines_.pop_front();
        }
        const auto left_out = allowance_.take_left_out();
        const bool last = stopping_;
        if (left_out > 0)
            text += "level=WARN event=log_lines_left_out count=" +
                    std::to_string(left_out) + "\n";
        writing_ = true;
        lock.unlock();
        write_out(text);
        lock.lock();
        writing_ = false;
        changed_.notify_all();
        if (last)
            return;
    }
}

/// Waits for the reader on this thread alone; at the end it is not waited
/// for beyond one look.
void bounded_writer::write_out(const std::string& text)
{
    std::size_t at = 0;
    while (at < text.size()) {
        pollfd wanted{descriptor_, POLLOUT, 0};
        const int ready = ::poll(&wanted, 1, reader_wait_ms);
        if (ready == 0) {
            const std::lock_guard lock(mutex_);
            if (stopping_)
                return;
            continue;
        }
        const auto size = std::min(text.size() - at, atomic_write_bytes);
        const auto written = ::write(descriptor_, text.data() + at, size);
        if (written < 0 && errno != EINTR && errno != EAGAIN)
            return;
        at += written > 0 ? static_cast<std::size_t>(written) : 0;
    }
}

} // namespace barleyfork
