#ifndef BARLEYFORK_NET_ASK_HPP
#define BARLEYFORK_NET_ASK_HPP

#include <barleyfork/net/io_worker.hpp>
#include <barleyfork/net/notifier.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/this_coro.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace barleyfork {

namespace detail {

template <typename Result>
boost::asio::awaitable<void>
run_and_notify(std::function<boost::asio::awaitable<Result>()> work,
               std::shared_ptr<std::optional<Result>> result,
               std::shared_ptr<notifier> wake)
{
    try {
        result->emplace(co_await work());
    }
    catch (...) {
        wake->notify();
        throw;
    }
    wake->notify();
}

} // namespace detail

/// Runs `work` on another worker and waits on the calling coroutine's executor
/// for the result.
///
/// Returns no value if the other worker's ring is full or `work` threw.
template <typename Result>
boost::asio::awaitable<std::optional<Result>>
ask(io_worker& other, std::function<boost::asio::awaitable<Result>()> work)
{
    auto wake =
        std::make_shared<notifier>(co_await boost::asio::this_coro::executor);
    auto result = std::make_shared<std::optional<Result>>();
    const bool taken = other.try_post([&other, work, result, wake] {
        other.spawn(detail::run_and_notify<Result>(work, result, wake));
    });
    if (taken)
        co_await wake->wait(std::chrono::steady_clock::time_point::max());
    co_return std::move(*result);
}

} // namespace barleyfork

#endif
