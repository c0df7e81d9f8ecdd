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

/// The request that one attempt sends to a backend server, with its timeouts.
struct exchange_request
{
    http_endpoint endpoint;
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// False for calls that must not be retried: a new connection avoids the
    /// unknown outcome of a request sent on a connection that is closing.
    bool may_reuse_connection = true;
    /// True for engines: their report is requested after a lost connection. For
    /// a plain service only a connection is opened, since any request may have
    /// side effects.
    bool is_engine = false;
    duration connect_timeout{1000};
    duration first_byte_timeout{30000};
    duration progress_timeout{5000};
};

/// The kind of a part of the response.
enum class exchange_part : std::uint8_t
{
    head,
    data,
    /// The attempt has ended; no part follows.
    end,
};

/// A part of the response, passed from the backend worker to the caller worker.
struct exchange_event
{
    exchange_part part = exchange_part::data;
    /// Set with `head`, as are the content type and the load.
    unsigned status = 0;
    std::string content_type;
    /// Server load that the response carries, in requests; -1 if absent.
    std::int32_t server_load = -1;
    /// Set with `data`.
    std::string bytes;
    /// Set with `end`.
    attempt_outcome end = attempt_outcome::answered;
    /// Set with `end`: a new connection was refused after the connection was
    /// lost.
    bool server_crashed = false;
    /// Set with `server_crashed`: the boot of the process that crashed, from
    /// its last report; 0 if unknown.
    std::uint64_t crashed_boot = 0;
};

/// One attempt at a backend server, shared by the caller and backend workers.
///
/// Parts pass through a bounded ring. A caller that reads slowly fills the ring
/// and delays only its own stream. One producer, one consumer.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    /// Maximum number of parts in the ring.
    static constexpr std::size_t ring_capacity = 32;

    exchange(exchange_request request,
             const boost::asio::any_io_executor& producer,
             const boost::asio::any_io_executor& consumer);

    const exchange_request& request() const noexcept
    {
        return request_;
    }

    /// Adds a part, waiting while the ring is full; returns false if the
    /// consumer cancelled. Producer's thread.
    boost::asio::awaitable<bool> push(exchange_event event);

    /// Takes the next part; returns false if `deadline` passed first.
    /// Consumer's thread.
    boost::asio::awaitable<bool>
    pop(exchange_event& event, std::chrono::steady_clock::time_point deadline);

    /// Cancels the attempt; no further parts are needed. Consumer's thread.
    void cancel();

    /// Returns true once the consumer cancelled. Callable from any thread.
    bool cancelled() const noexcept
    {
        return cancelled_;
    }

    /// Sets the hook that `cancel` runs on the producer's thread; an empty hook
    /// removes it. Producer's thread.
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
