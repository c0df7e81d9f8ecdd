#ifndef BARLEYFORK_NET_NOTIFIER_HPP
#define BARLEYFORK_NET_NOTIFIER_HPP

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace barleyfork {

/// Wakes one coroutine from any thread; wakes are never lost, only merged.
///
/// Held by `std::shared_ptr`, since a wake may be in flight when the owner
/// ends. `wait` is called on the executor's thread only.
class notifier : public std::enable_shared_from_this<notifier>
{
public:
    explicit notifier(const boost::asio::any_io_executor& executor);

    /// Wakes the waiting coroutine, or the next `wait`. Any thread.
    void notify();

    /// Waits for a wake; false where `deadline` came first.
    boost::asio::awaitable<bool>
    wait(std::chrono::steady_clock::time_point deadline);

private:
    boost::asio::steady_timer timer_;
    std::atomic<bool> posted_{false};
    bool woken_ = false;
};

} // namespace barleyfork

#endif
