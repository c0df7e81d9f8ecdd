#include <barleyfork/standins/service_standin.hpp>

#include <barleyfork/net/http_server.hpp>

#include <algorithm>
#include <boost/json.hpp>
#include <map>

namespace barleyfork {

namespace asio = boost::asio;
namespace json = boost::json;

struct service_standin::state
{
    explicit state(io_worker& owner)
        : server(owner, {}, [this](const auto& in, auto& out) {
              return handle(in, out);
          })
    {
    }

    asio::awaitable<void> handle(const http_incoming& in, http_responder& out)
    {
        http_outgoing answer;
        if (in.path == "/faults")
            set_faults(json::parse(in.body).as_object());
        if (in.path == "/faults" || in.path == "/counters") {
            answer.body = json::serialize(counters());
            co_await out.send(std::move(answer));
            co_return;
        }
        answer.headers.emplace_back("X-Exchange-Id",
                                    in.header("x-exchange-id"));
        if (refuse > 0) {
            --refuse;
            answer.status = 503;
            answer.headers.emplace_back("x-not-run", "true");
            co_await out.send(std::move(answer));
            co_return;
        }
        if (delay_ms != 0)
            co_await sleep_for_ms(delay_ms);
        const auto number = book(in.body);
        if (lose_answers > 0) {
            --lose_answers;
            out.abort();
            co_return;
        }
        json::object booking;
        booking["booking"] = number;
        answer.body = json::serialize(booking);
        co_await out.send(std::move(answer));
    }

    std::uint64_t book(const std::string& body)
    {
        most = std::max(most, ++bookings[body]);
        return ++booked;
    }

    void set_faults(const json::object& faults)
    {
        const auto take = [&faults](const char* key, std::int64_t& value) {
            if (faults.contains(key))
                value = faults.at(key).to_number<std::int64_t>();
        };
        take("lose_answers", lose_answers);
        take("refuse", refuse);
        take("delay_ms", delay_ms);
    }

    json::object counters() const
    {
        return {{"booked", booked}, {"most", most}};
    }

    http_server server;
    std::map<std::string, std::uint64_t> bookings;
    std::uint64_t booked = 0;
    std::uint64_t most = 0;
    std::int64_t lose_answers = 0;
    std::int64_t refuse = 0;
    std::int64_t delay_ms = 0;
};

service_standin::service_standin(io_worker& owner)
    : state_(std::make_unique<state>(owner))
{
}

service_standin::~service_standin() = default;

std::uint16_t service_standin::listen(std::uint16_t port)
{
    return state_->server.listen("127.0.0.1", port);
}

} // namespace barleyfork
