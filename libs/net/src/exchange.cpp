#include <barleyfork/net/exchange.hpp>

#include <boost/asio/post.hpp>

namespace barleyfork {

namespace asio = boost::asio;

exchange::exchange(exchange_request request,
                   const asio::any_io_executor& producer,
                   const asio::any_io_executor& consumer)
    : request_(std::move(request)), producer_(producer),
      producer_wake_(std::make_shared<notifier>(producer)),
      consumer_wake_(std::make_shared<notifier>(consumer))
{
}

asio::awaitable<bool> exchange::push(exchange_event event)
{
    while (!cancelled_) {
        if (ring_.write_available() != 0) {
            ring_.push(event);
            consumer_wake_->notify();
            co_return true;
        }
        producer_waits_ = true;
        // Pairs with the fence in `pop`: either the producer sees the free
        // slot, or the consumer sees the flag.
        std::atomic_thread_fence(std::memory_order_seq_cst);
        if (ring_.write_available() == 0 && !cancelled_)
            co_await producer_wake_->wait(
                std::chrono::steady_clock::time_point::max());
        producer_waits_ = false;
    }
    co_return false;
}

asio::awaitable<bool>
exchange::pop(exchange_event& event,
              std::chrono::steady_clock::time_point deadline)
{
    while (!ring_.pop(event)) {
        const bool woken = co_await consumer_wake_->wait(deadline);
        if (!woken && std::chrono::steady_clock::now() >= deadline)
            co_return ring_.pop(event);
    }
    std::atomic_thread_fence(std::memory_order_seq_cst);
    if (producer_waits_)
        producer_wake_->notify();
    co_return true;
}

void exchange::cancel()
{
    cancelled_ = true;
    producer_wake_->notify();
    asio::post(producer_, [self = shared_from_this()] {
        if (self->cancel_hook_)
            self->cancel_hook_();
    });
}

void exchange::on_cancel(std::function<void()> hook)
{
    cancel_hook_ = std::move(hook);
    if (cancelled_ && cancel_hook_)
        cancel_hook_();
}

} // namespace barleyfork
