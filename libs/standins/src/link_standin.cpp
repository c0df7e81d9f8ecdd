#include <barleyfork/standins/link_standin.hpp>

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace barleyfork {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t buffer_bytes = std::size_t{16} * 1024;

/// Two sockets and whether the network has lost track of them.
struct forwarded
{
    forwarded(tcp::socket from, const asio::any_io_executor& executor)
        : caller(std::move(from)), target(executor)
    {
    }

    tcp::socket caller;
    tcp::socket target;
    std::string source;
    bool lost = false;
};

} // namespace

struct link_standin::state : std::enable_shared_from_this<state>
{
    state(io_worker& owner_worker,
          const std::string& address,
          std::uint16_t target_port)
        : owner(owner_worker),
          target(asio::ip::make_address(address), target_port),
          acceptor(owner_worker.executor(),
                   {asio::ip::make_address("127.0.0.1"), 0})
    {
    }

    bool is_cut(const std::string& source) const
    {
        return cut_all || cuts.contains(source);
    }

    static asio::awaitable<void> accept_loop(std::shared_ptr<state> self)
    {
        for (;;) {
            auto [error, socket] =
                co_await self->acceptor.async_accept(as_result);
            if (error)
                co_return;
            auto link = std::make_shared<forwarded>(std::move(socket),
                                                    self->owner.executor());
            boost::system::error_code ignored;
            link->source =
                link->caller.remote_endpoint(ignored).address().to_string();
            link->lost = self->is_cut(link->source);
            self->open.insert(link);
            self->owner.spawn(serve(self, link));
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<state> self,
                                       std::shared_ptr<forwarded> link)
    {
        if (link->lost)
            co_return;
        auto [error] =
            co_await link->target.async_connect(self->target, as_result);
        if (error) {
            boost::system::error_code ignored;
            link->caller.close(ignored);
            self->open.erase(link);
            co_return;
        }
        self->owner.spawn(pump(link, link->caller, link->target));
        co_await pump(link, link->target, link->caller);
        if (!link->lost)
            self->open.erase(link);
    }

    static asio::awaitable<void>
    pump(std::shared_ptr<forwarded> link, tcp::socket& from, tcp::socket& to)
    {
        std::array<char, buffer_bytes> buffer;
        for (;;) {
            auto [error, size] =
                co_await from.async_read_some(asio::buffer(buffer), as_result);
            if (link->lost)
                co_return;
            if (error)
                break;
            auto [write_error, written] = co_await asio::async_write(
                to, asio::buffer(buffer.data(), size), as_result);
            if (write_error)
                break;
        }
        boost::system::error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
    }

    io_worker& owner;
    tcp::endpoint target;
    tcp::acceptor acceptor;
    std::set<std::shared_ptr<forwarded>> open;
    std::set<std::string> cuts;
    bool cut_all = false;
};

link_standin::link_standin(io_worker& owner,
                           const std::string& target_address,
                           std::uint16_t port)
    : state_(std::make_shared<state>(owner, target_address, port))
{
}

link_standin::~link_standin() = default;

std::uint16_t link_standin::listen()
{
    state_->owner.spawn(state::accept_loop(state_));
    return state_->acceptor.local_endpoint().port();
}

void link_standin::cut(const std::string& source)
{
    state_->owner.try_post([self = state_, source] {
        if (source.empty())
            self->cut_all = true;
        else
            self->cuts.insert(source);
        for (const auto& link : self->open)
            link->lost |= self->is_cut(link->source);
    });
}

void link_standin::heal()
{
    state_->owner.try_post([self = state_] {
        self->cut_all = false;
        self->cuts.clear();
    });
}

} // namespace barleyfork
