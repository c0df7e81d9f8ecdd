#ifndef BARLEYFORK_NET_EXCHANGE_HPP
#define BARLEYFORK_NET_EXCHANGE_HPP

#include <barleyfork/base/time.hpp>
#include <barleyfork/core/request_progress.hpp>
#include <barleyfork/net/notifier.hpp>
#include <barleyfork/net/url.hpp>

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace barleyfork {

/// What is sent to a backend server in one try.
struct exchange_request
{
    http_endpoint endpoint;
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// False for calls that may not be repeated: a fresh connection keeps an
    /// unknown outcome from a connection that was closing.
    bool may_reuse_connection = true;
    /// True for engines: after a break its report is asked for. A plain
    /// service is only connected to, since any request may act.
    bool is_engine = false;
    duration connect_timeout{1000};
    duration first_byte_timeout{30000};
    duration progress_timeout{5000};
};

/// What a part of the answer is.
enum class exchange_part : std::uint8_t
{
    head,
    data,
    /// The try is over; nothing follows.
    end,
};

/// A part of the answer on its way from the backend duty to the caller duty.
struct exchange_event
{
    exchange_part part = exchange_part::data;
    /// With `head`.
    unsigned status = 0;
    std::string content_type;
    /// Load carried on the answer, in requests; -1 where there is none.
    std::int32_t server_load = -1;
    /// With `data`.
    std::string bytes;
    /// With `end`.
    attempt_end end = attempt_end::answered;
    /// With `end`: a new connection was refused after the break.
    bool server_crashed = false;
    /// With `server_crashed`: the process that ended, by its last report; 0
    /// where it is not known.
    std::uint64_t crashed_boot = 0;
};

/// One try at a backend server, shared by the caller and backend duties.
///
/// Parts travel through a bounded ring. A caller that reads slowly fills it
/// and holds back its own stream only. One producer, one consumer.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    /// Parts that the ring holds.
    static constexpr std::size_t ring_capacity = 32;

    exchange(exchange_request request,
             const boost::asio::any_io_executor& producer,
             const boost::asio::any_io_executor& consumer);

    const exchange_request& request() const noexcept
    {
        return request_;
    }

    /// Producer: adds a part, waiting while the ring is full. False where
    /// the consumer gave up.
    boost::asio::awaitable<bool> push(exchange_event event);

    /// Consumer: the next part; false where `deadline` came first.
    boost::asio::awaitable<bool>
    pop(exchange_event& event, std::chrono::steady_clock::time_point deadline);

    /// Consumer: no more parts are wanted; the try is to be cancelled.
    void cancel();

    /// True once the consumer gave up. Any thread.
    bool cancelled() const noexcept
    {
        return cancelled_;
    }

    /// Producer: sets what `cancel` runs on the producer's thread; empty to
    /// take it back.
    void on_cancel(std::function<void()> hook);

private:
    exchange_request request_;
    boost::lockfree::spsc_queue<exchange_event,
                                boost::lockfree::capacity<ring_capacity>>
        ring_;
    boost::asio::any_io_executor producer_;
    std::function<void()> cancel_hook_;
    std::shared_ptr<notifier> producer_wake_;
    std::shared_ptr<notifier> consumer_wake_;
    std::atomic<bool> cancelled_{false};
    std::atomic<bool> producer_waits_{false};
};

} // namespace barleyfork

#endif
