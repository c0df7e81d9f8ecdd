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

/// How much a log may hold and say.
struct writer_limits
{
    /// Lines that wait for a slow reader; a share of them is kept for
    /// failures.
    std::size_t waiting_lines = 4096;
    /// Lines and bytes a second; failures may take as much again.
    std::size_t lines_per_second = 500;
    std::size_t bytes_per_second = 150000;
};

/// Decides which lines are written. Lines beyond the limits are left out and
/// counted. Not thread-safe.
class line_allowance
{
public:
    explicit line_allowance(writer_limits limits);

    /// True where a line may be written; `waiting` lines wait already.
    bool admit(std::size_t bytes,
               bool is_failure,
               std::size_t waiting,
               time_point now);

    /// Lines left out since the last call.
    std::uint64_t take_left_out();

private:
    writer_limits limits_;
    time_point second_began_{};
    std::size_t lines_ = 0;
    std::size_t bytes_ = 0;
    std::uint64_t left_out_ = 0;
};

/// Writes lines to a file descriptor on a thread of its own. `push` never
/// waits for the reader.
class bounded_writer
{
public:
    bounded_writer(int descriptor, writer_limits limits);
    bounded_writer(const bounded_writer&) = delete;
    bounded_writer& operator=(const bounded_writer&) = delete;

    /// Writes what waits, for a short time at most, and ends the thread.
    ~bounded_writer();

    /// Takes a line with its end. Any thread.
    void push(std::string line, bool is_failure);

    /// Waits until all lines are written, for a short time at most.
    void flush();

private:
    void run();
    void write_out(const std::string& text);

    int descriptor_;
    std::mutex mutex_;
    std::condition_variable changed_;
    line_allowance allowance_;
    std::deque<std::string> lines_;
    bool stopping_ = false;
    bool writing_ = false;
    std::thread thread_;
};

} // namespace barleyfork

#endif
