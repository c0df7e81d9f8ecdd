#ifndef BARLEYFORK_SCENARIO_CALLER_HPP
#define BARLEYFORK_SCENARIO_CALLER_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <thread>

namespace barleyfork::scenario {

/// What a caller sends.
struct caller_call
{
    std::uint16_t port = 0;
    std::string method = "POST";
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Pause after each part of the answer that is read, in milliseconds.
    std::int64_t slow_ms = 0;
};

/// What came back.
struct caller_answer
{
    unsigned status = 0;
    std::string body;
    std::string code;
    std::map<std::string, std::string> headers;
    /// The answer came to its end; a stream has its end mark.
    bool whole = false;
    /// Parts of the answer that arrived one by one.
    std::size_t parts = 0;
    /// From the request's first byte to the answer's first part and end, in
    /// microseconds.
    std::int64_t first_part_us = 0;
    std::int64_t end_us = 0;
};

/// A caller on a thread of its own, with a connection of its own.
class caller
{
public:
    explicit caller(caller_call call);
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    /// Waits for the end of the answer.
    const caller_answer& wait();

    /// Waits until so many parts have arrived; false after `bound`.
    bool wait_for_parts(std::size_t parts, std::chrono::milliseconds bound);

    /// Leaves without reading the rest.
    void leave() noexcept
    {
        left_ = true;
    }

private:
    void run();

    caller_call call_;
    caller_answer answer_;
    std::atomic<std::size_t> parts_{0};
    std::atomic<bool> left_{false};
    std::thread thread_;
};

} // namespace barleyfork::scenario

#endif
