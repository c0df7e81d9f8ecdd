#ifndef BARLEYFORK_NET_DUTY_HPP
#define BARLEYFORK_NET_DUTY_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace barleyfork {

/// A thread with an I/O loop and a bounded ring of tasks from other threads.
///
/// All state that belongs to a duty is touched only on its thread. Tasks from
/// other duties come through the ring; when it is full `try_post` says so and
/// the sender gives its own stated answer. Example:
/// `if (!control.try_post([] { ... })) return errc::overloaded;`
class duty
{
public:
    using task = std::function<void()>;

    /// `capacity` is the number of tasks the ring holds.
    duty(std::string name, std::size_t capacity);
    duty(const duty&) = delete;
    duty& operator=(const duty&) = delete;

    /// Stops the loop and joins the thread.
    ~duty();

    /// Starts the thread.
    void start();

    /// Ends the loop without waiting for what is pending; joins the thread.
    void stop();

    /// After `stop`: drops what is pending. Duties that hold parts of each
    /// other are all discarded before any of them is destroyed.
    void discard();

    /// Hands a task over; false where the ring is full. Any thread.
    bool try_post(task work);

    /// Starts a coroutine on this duty's own thread. Uncaught exceptions are
    /// logged with the duty's name.
    void spawn(boost::asio::awaitable<void> work);

    /// The executor of the loop.
    boost::asio::any_io_executor executor();

    /// Tasks that were turned away since the start.
    std::size_t refused() const noexcept;

private:
    struct state;

    std::unique_ptr<state> state_;
};

/// Sleeps on the calling coroutine's executor.
boost::asio::awaitable<void> sleep_for_ms(std::int64_t milliseconds);

} // namespace barleyfork

#endif
