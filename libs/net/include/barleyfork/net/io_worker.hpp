#ifndef BARLEYFORK_NET_IO_WORKER_HPP
#define BARLEYFORK_NET_IO_WORKER_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace barleyfork {

/// A thread with an event loop and a bounded ring of tasks from other threads.
///
/// All state that belongs to a worker is accessed only on its thread. Tasks
/// from other workers arrive through the ring; `try_post` returns false if it
/// is full, and the sender then returns its own documented error. An exception
/// that leaves a handler is logged and ends nothing but that handler.
///
/// Example:
/// `if (!control.try_post([] { ... })) return errc::overloaded;`
class io_worker
{
public:
    using task = std::function<void()>;

    /// `capacity` is the number of tasks the ring holds.
    io_worker(std::string name, std::size_t capacity);
    io_worker(const io_worker&) = delete;
    io_worker& operator=(const io_worker&) = delete;

    /// Stops the loop and joins the thread.
    ~io_worker();

    /// Starts the thread.
    void start();

    /// Stops the loop without waiting for pending tasks and joins the thread.
    void stop();

    /// Drops pending tasks; called after `stop`. Workers that reference each
    /// other are all discarded before any of them is destroyed.
    void discard();

    /// Enqueues a task; returns false if the ring is full. Callable from any
    /// thread.
    bool try_post(task work);

    /// Starts a coroutine on this worker's thread. Uncaught exceptions are
    /// logged with the worker's name.
    void spawn(boost::asio::awaitable<void> work);

    /// Starts a coroutine that is to run as long as the worker does. If an
    /// exception ends it, that is logged and `duty` is called again after a
    /// pause.
    void spawn_duty(std::function<boost::asio::awaitable<void>()> duty);

    /// Returns the executor of the loop.
    boost::asio::any_io_executor executor();

    /// Returns the number of tasks rejected since the start.
    std::size_t refused() const noexcept;

private:
    struct state;

    std::unique_ptr<state> state_;
};

/// Suspends the caller on the calling coroutine's executor.
boost::asio::awaitable<void> sleep_for_ms(std::int64_t milliseconds);

} // namespace barleyfork

#endif
