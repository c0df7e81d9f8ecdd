#include <barleyfork/net/io_worker.hpp>

#include <barleyfork/base/log.hpp>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/lockfree/queue.hpp>
#include <exception>
#include <optional>
#include <string_view>
#include <thread>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

/// The pause before a duty that failed starts again, in milliseconds.
constexpr std::int64_t restart_pause_ms = 200;

/// Logs an exception that left a task of a worker. Never throws: the memory for
/// the line may be what is missing.
void log_exception(std::string_view event,
                   const std::string& worker,
                   const std::exception& error) noexcept
{
    try {
        log_event(log_level::error, event)
            .with("duty", worker)
            .with("error", error.what());
    }
    catch (const std::exception&) {
        // Nothing is left to tell it with.
        return;
    }
}

/// An I/O loop whose pending work can be dropped before it is destroyed.
class event_loop : public asio::io_context
{
public:
    event_loop() : asio::io_context(1) {}

    using asio::execution_context::shutdown;
};

} // namespace

struct io_worker::state
{
    state(std::string duty_name, std::size_t capacity)
        : name(std::move(duty_name)), guard(asio::make_work_guard(loop)),
          ring(capacity)
    {
    }

    ~state()
    {
        task* left = nullptr;
        while (ring.pop(left))
            delete left;
    }

    /// Runs the tasks in the ring; at most one drain is scheduled at a time.
    void drain()
    {
        draining.store(false);
        task* next = nullptr;
        while (ring.pop(next)) {
            const std::unique_ptr<task> owned(next);
            try {
                (*owned)();
            }
            catch (const std::exception& error) {
                log_exception("duty_handler_failed", name, error);
            }
        }
    }

    /// Runs the loop until it is stopped. An exception ends the handler that it
    /// leaves, not the process with all other requests.
    void run()
    {
        while (!loop.stopped()) {
            try {
                loop.run();
            }
            catch (const std::exception& error) {
                log_exception("duty_handler_failed", name, error);
            }
        }
    }

    /// Runs a duty, again after a pause where an exception ended it.
    asio::awaitable<void> repeat(std::function<asio::awaitable<void>()> duty)
    {
        for (;;) {
            try {
                co_await duty();
                co_return;
            }
            catch (const std::exception& error) {
                log_exception("duty_task_failed", name, error);
            }
            co_await sleep_for_ms(restart_pause_ms);
        }
    }

    std::string name;
    event_loop loop;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    boost::lockfree::queue<task*, boost::lockfree::fixed_sized<true>> ring;
    std::atomic<bool> draining{false};
    std::atomic<std::size_t> refused{0};
    std::thread thread;
};

io_worker::io_worker(std::string name, std::size_t capacity)
    : state_(std::make_unique<state>(std::move(name), capacity))
{
}

io_worker::~io_worker()
{
    stop();
}

void io_worker::start()
{
    state_->thread = std::thread([this] { state_->run(); });
}

void io_worker::stop()
{
    state_->loop.stop();
    if (state_->thread.joinable())
        state_->thread.join();
}

void io_worker::discard()
{
    state_->guard.reset();
    state_->loop.shutdown();
    task* left = nullptr;
    while (state_->ring.pop(left))
        delete left;
}

bool io_worker::try_post(task work)
{
    auto owned = std::make_unique<task>(std::move(work));
    if (!state_->ring.bounded_push(owned.get())) {
        ++state_->refused;
        return false;
    }
    static_cast<void>(owned.release());
    if (!state_->draining.exchange(true))
        asio::post(state_->loop, [this] { state_->drain(); });
    return true;
}

void io_worker::spawn(asio::awaitable<void> work)
{
    asio::co_spawn(
        state_->loop, std::move(work), [this](const std::exception_ptr& error) {
            if (!error)
                return;
            try {
                std::rethrow_exception(error);
            }
            catch (const std::exception& caught) {
                log_exception("duty_task_failed", state_->name, caught);
            }
        });
}

void io_worker::spawn_duty(std::function<asio::awaitable<void>()> duty)
{
    spawn(state_->repeat(std::move(duty)));
}

asio::any_io_executor io_worker::executor()
{
    return state_->loop.get_executor();
}

std::size_t io_worker::refused() const noexcept
{
    return state_->refused;
}

asio::awaitable<void> sleep_for_ms(std::int64_t milliseconds)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(std::chrono::milliseconds(milliseconds));
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace barleyfork
