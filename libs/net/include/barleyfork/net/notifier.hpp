#ifndef BARLEYFORK_NET_NOTIFIER_HPP
#define BARLEYFORK_NET_NOTIFIER_HPP

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace barleyfork {

/// Wakes one coroutine from any thread; notifications may be merged but are
/// never lost.
///
/// Owned by `std::shared_ptr`, since a notification may be pending when the
/// owner is destroyed. `wait` is called on the executor's thread only.
class notifier : public std::enable_shared_from_this<notifier>
{
public:
    explicit notifier(const boost::asio::any_io_executor& executor);

    /// Wakes the waiting coroutine, or the next `wait`. Callable from any
    /// thread.
    void notify();

    /// Waits for a notification; returns false if `deadline` passed first.
    boost::asio::awaitable<bool>
    wait(std::chrono::steady_clock::time_point deadline);

private:
    boost::asio::steady_timer timer_;
    std::atomic<bool> posted_{false};
    bool woken_ = false;
};

} // namespace barleyfork

#endif
