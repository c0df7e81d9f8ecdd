#include <barleyfork/net/notifier.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace barleyfork {

namespace asio = boost::asio;

notifier::notifier(const asio::any_io_executor& executor) : timer_(executor) {}

void notifier::notify()
{
    if (posted_.exchange(true))
        return;
    asio::post(timer_.get_executor(), [self = shared_from_this()] {
        self->posted_.store(false);
        self->woken_ = true;
        self->timer_.cancel();
    });
}

asio::awaitable<bool>
notifier::wait(std::chrono::steady_clock::time_point deadline)
{
    const auto self = shared_from_this();
    if (!woken_) {
        timer_.expires_at(deadline);
        co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    const bool was_woken = woken_;
    woken_ = false;
    co_return was_woken;
}

} // namespace barleyfork
