#include "crash_watch.hpp"

#include <memory>
#include <utility>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

/// An address without a listener refuses a connection within a round trip.
constexpr duration probe_timeout{1000};
/// Answers of one server that wait for one probe.
constexpr std::size_t max_unconfirmed = 256;

} // namespace

crash_watch::crash_watch(asio::any_io_executor executor,
                         timer_queue& timers,
                         const backend_pool& pool,
                         const backend_loads& loads)
    : executor_(std::move(executor)), timers_(timers), pool_(pool),
      loads_(loads)
{
}

void crash_watch::on_connection_ended(const server_process& process,
                                      const tcp::endpoint& target,
                                      const broken_request& broken,
                                      bool is_answered)
{
    const listening_process at{
        process, target.address().to_string(), target.port()};
    const auto due = detector_.on_connection_broken(at, broken, steady_now());
    if (due)
        timers_.add(*due, [this, server = process.server, target] {
            probe(server, target);
        });
    auto& unconfirmed = unconfirmed_[process.server];
    if (is_answered && unconfirmed.size() < max_unconfirmed)
        unconfirmed.push_back(broken.suspects);
}

void crash_watch::on_request_abandoned(const server_process& process,
                                       const tcp::endpoint& target,
                                       const crash_suspects& suspects)
{
    const listening_process at{
        process, target.address().to_string(), target.port()};
    const auto due = detector_.on_request_abandoned(at, suspects, steady_now());
    if (!due)
        return;
    timers_.add(*due, [this, server = process.server, target] {
        if (!loads_.has_own_work(server))
            probe(server, target);
    });
}

void crash_watch::probe(const server_id& server, const tcp::endpoint& target)
{
    // An idle connection would break when its process exits, so an open one
    // shows that the process still runs.
    if (pool_.has_idle(target, true, steady_now())) {
        handle_probe_result(server, true);
        return;
    }
    auto connection = std::make_shared<tcp::socket>(executor_);
    const auto timeout =
        timers_.add(steady_now() + probe_timeout, [connection] {
            boost::system::error_code ignored;
            connection->close(ignored);
        });
    connection->async_connect(
        target, [this, server, connection, timeout](const auto& error) {
            auto timer = timeout;
            timers_.cancel(timer);
            handle_probe_result(server,
                                error != asio::error::connection_refused);
        });
}

void crash_watch::on_process_listed(const listening_process& at)
{
    const auto crashed = detector_.on_process_listed(at);
    if (crashed && on_crash_)
        on_crash_(at.process.server, *crashed);
}

void crash_watch::handle_probe_result(const server_id& server, bool is_running)
{
    const auto crashed = detector_.on_probe(server, is_running, steady_now());
    const auto answered = std::exchange(unconfirmed_[server], {});
    unconfirmed_.erase(server);
    if (on_crash_)
        for (const auto& process : crashed)
            on_crash_(server, process);
    if (crashed.empty() && on_answer_)
        for (const auto& request : answered)
            on_answer_(request);
}

} // namespace barleyfork
