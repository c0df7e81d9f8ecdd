#include <barleyfork/standins/engine_standin.hpp>

#include <barleyfork/base/digest.hpp>
#include <barleyfork/net/http_server.hpp>

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <set>
#include <vector>

namespace barleyfork {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t bytes_in_mib = std::size_t{1024} * 1024;
constexpr std::int64_t default_tokens = 16;

/// An engine says on each answer whose it is.
void echo_exchange(const http_incoming& in, http_outgoing& answer)
{
    answer.headers.emplace_back("X-Exchange-Id",
                                std::string(in.header("x-exchange-id")));
}

struct resident_model_state
{
    std::uint32_t version = 0;
    std::uint32_t memory_mib = 0;
};

http_outgoing answer_json(const json::value& value, unsigned status = 200)
{
    http_outgoing answer;
    answer.status = status;
    answer.body = json::serialize(value);
    return answer;
}

std::string token_event(const std::string& digest, std::int64_t index)
{
    const json::object delta{{"content", "w" + std::to_string(index) + " "}};
    const json::object event{
        {"digest", digest},
        {"choices", json::array{json::object{{"delta", delta}}}}};
    return "data: " + json::serialize(event) + "\n\n";
}

} // namespace

struct engine_standin::state : std::enable_shared_from_this<state>
{
    state(io_worker& owner_worker, engine_standin_options given)
        : owner(owner_worker), options(std::move(given))
    {
    }

    std::uint16_t open()
    {
        http_limits limits;
        limits.max_connections = 100000;
        limits.max_body_bytes = 64 * 1024 * 1024;
        server = std::make_shared<http_server>(
            owner,
            limits,
            [self = weak_from_this()](const auto& in, auto& out) {
                return handle(self.lock(), in, out);
            });
        port = server->listen("127.0.0.1", port);
        return port;
    }

    static asio::awaitable<void> handle(std::shared_ptr<state> self,
                                        const http_incoming& in,
                                        http_responder& out)
    {
        if (!self) {
            out.abort();
            co_return;
        }
        if (in.path == "/faults")
            self->set_faults(json::parse(in.body).as_object());
        if (in.path == "/faults" || in.path == "/counters") {
            co_await out.send(answer_json(self->counters()));
            co_return;
        }
        if (self->delay_ms != 0)
            co_await sleep_for_ms(self->delay_ms);
        if (in.path == "/report")
            co_await out.send(answer_json(self->report()));
        else if (in.path == "/orders")
            co_await self->take_order(in, out);
        else if (in.path.starts_with("/v1/"))
            co_await self->complete(in, out);
        else
            co_await out.send(answer_json(json::value(), 404));
    }

    void set_faults(const json::object& faults)
    {
        const auto take = [&faults](const char* key, std::int64_t& value) {
            if (faults.contains(key))
                value = faults.at(key).to_number<std::int64_t>();
        };
        take("lose_orders", lose_orders);
        take("late_order_ms", late_order_ms);
        take("silent", silent);
        take("break_streams_after", break_after);
        take("delay_ms", delay_ms);
        take("second_copy_ms", second_copy_ms);
        take("leaving", leaving);
        take("failing", failing);
        take("endless", endless);
        take("between_tokens_ms", options.between_tokens_ms);
        take("first_token_ms", options.first_token_ms);
        if (faults.contains("crash"))
            crash();
    }

    json::object counters() const
    {
        return {{"ran", ran},
                {"cancelled", cancelled},
                {"crashes", crashes},
                {"endless_mib", endless_bytes / bytes_in_mib},
                {"peak_mib", peak_mib},
                {"used_mib", used_mib()},
                {"adapter_loads", adapter_loads},
                {"orders", orders}};
    }

    std::uint32_t used_mib() const
    {
        std::uint32_t total = 0;
        for (const auto& [model, held] : models)
            for (const auto& [version, entry] : held)
                total += entry.memory_mib;
        return total;
    }

    json::object report()
    {
        json::array residents;
        for (const auto& [model, held] : models)
            for (const auto& [version, entry] : held)
                if (is_resident(model, version))
                    residents.push_back(
                        json::object{{"model", model},
                                     {"version", version},
                                     {"memory_mib", entry.memory_mib}});
        return {{"boot", boot},
                {"sequence", ++sequence},
                {"outstanding", outstanding},
                {"leaving", leaving != 0},
                {"residents", std::move(residents)}};
    }

    asio::awaitable<void> take_order(const http_incoming& in,
                                     http_responder& out)
    {
        const auto self = shared_from_this();
        const auto order = json::parse(in.body);
        if (lose_orders > 0) {
            --lose_orders;
            out.abort();
            co_return;
        }
        if (late_order_ms != 0) {
            out.abort();
            const auto wait = late_order_ms;
            co_await sleep_for_ms(wait);
        }
        json::object answer;
        answer["result"] = co_await act(order);
        answer["boot"] = boot;
        answer["sequence"] = ++sequence;
        co_await out.send(answer_json(answer));
    }

    asio::awaitable<std::string> act(const json::value& order)
    {
        const auto fence = order.at("fence").to_number<std::uint64_t>();
        if (options.checks_fencing && fence < highest_fence)
            co_return "stale_fence";
        highest_fence = std::max(highest_fence, fence);
        ++orders;
        const auto started_in = boot;
        const std::string operation(order.at("operation").as_string());
        const std::string model(order.at("model").as_string());
        const auto version = order.at("version").to_number<std::uint32_t>();
        if (operation == "unload") {
            models[model].erase(version);
            co_return "done";
        }
        if (operation != "load" || models[model].contains(version))
            co_return "done";
        const auto size = order.at("memory_mib").to_number<std::uint32_t>();
        models[model][version] = {version, size};
        peak_mib = std::max(peak_mib, used_mib());
        if (used_mib() > options.memory_mib) {
            models[model].erase(version);
            co_return "no_memory";
        }
        loading.insert({model, version});
        co_await sleep_for_ms(options.load_ms);
        loading.erase({model, version});
        co_return started_in == boot ? "done" : "restarted";
    }

    bool is_resident(const std::string& model, std::uint32_t version) const
    {
        const auto found = models.find(model);
        return found != models.end() && found->second.contains(version) &&
               !loading.contains({model, version});
    }

    asio::awaitable<void> complete(const http_incoming& in, http_responder& out)
    {
        const auto self = shared_from_this();
        const auto model = std::string(in.header("x-model"));
        const auto version_text = std::string(in.header("x-model-version"));
        const auto version = static_cast<std::uint32_t>(
            version_text.empty() ? 0 : std::stoul(version_text));
        if (!is_resident(model, version) || leaving > 1) {
            auto refusal = answer_json("model is not resident", 503);
            refusal.headers.emplace_back("x-not-run", "true");
            echo_exchange(in, refusal);
            co_await out.send(std::move(refusal));
            co_return;
        }
        if (!co_await take_adapter(in)) {
            auto refusal = answer_json("the adapter does not fit", 503);
            refusal.headers.emplace_back("x-not-run", "true");
            echo_exchange(in, refusal);
            co_await out.send(std::move(refusal));
            co_return;
        }
        ++ran;
        if (failing != 0) {
            auto failure = answer_json("out of order", 500);
            echo_exchange(in, failure);
            co_await out.send(std::move(failure));
            co_return;
        }
        ++outstanding;
        if (in.body.find("crash-engine") != std::string::npos) {
            crash();
            --outstanding;
            out.abort();
            co_return;
        }
        co_await stream_tokens(in, out);
        --outstanding;
    }

    /// Brings a request's adapter into the slab; false where it is too large.
    asio::awaitable<bool> take_adapter(const http_incoming& in)
    {
        const std::string name(in.header("x-adapter"));
        if (name.empty())
            co_return true;
        const auto size = static_cast<std::uint32_t>(
            std::stoul(std::string(in.header("x-adapter-mib"))));
        if (size > options.adapter_slab_mib)
            co_return false;
        const auto held = std::find_if(
            adapters.begin(), adapters.end(), [&name](const auto& entry) {
                return entry.first == name;
            });
        const bool present = held != adapters.end();
        if (present)
            adapters.erase(held);
        adapters.emplace_back(name, size);
        std::uint32_t total = 0;
        for (const auto& [other, mib] : adapters)
            total += mib;
        while (total > options.adapter_slab_mib) {
            total -= adapters.front().second;
            adapters.erase(adapters.begin());
        }
        if (!present) {
            ++adapter_loads;
            co_await sleep_for_ms(options.adapter_load_ms);
        }
        co_return true;
    }

    asio::awaitable<void> stream_tokens(const http_incoming& in,
                                        http_responder& out)
    {
        const auto body = json::parse(in.body).as_object();
        const auto digest = content_digest(in.body).substr(0, 16);
        const auto total = body.contains("max_tokens")
                               ? body.at("max_tokens").to_number<std::int64_t>()
                               : default_tokens;
        const bool stream =
            body.contains("stream") && body.at("stream").as_bool();
        const std::string resume(in.header("x-resume-from"));
        std::int64_t next = resume.empty() ? 0 : std::stoll(resume);
        const auto started_in = boot;
        co_await sleep_for_ms(options.first_token_ms);
        http_outgoing head;
        head.headers.emplace_back("x-engine-load", std::to_string(outstanding));
        echo_exchange(in, head);
        if (endless != 0) {
            if (stream)
                head.content_type = "text/event-stream";
            co_await send_without_end(std::move(head), out);
            co_return;
        }
        if (!stream) {
            co_await sleep_for_ms(options.between_tokens_ms * total);
            json::object whole;
            whole["digest"] = digest;
            whole["tokens"] = total;
            head.body = json::serialize(whole);
            const auto copy = head;
            co_await out.send(std::move(head));
            if (second_copy_ms == 0)
                co_return;
            co_await sleep_for_ms(second_copy_ms);
            co_await out.send(copy);
            co_return;
        }
        head.content_type = "text/event-stream";
        bool alive = co_await out.begin(std::move(head));
        for (; alive && next < total; ++next) {
            if (silent != 0 && next > 0)
                co_await sleep_for_ms(silent);
            const bool broken = break_after > 0 && next >= break_after;
            if (boot != started_in || broken) {
                if (broken)
                    break_after = 0;
                out.abort();
                co_return;
            }
            alive = co_await out.write(token_event(digest, next)) &&
                    !out.has_client_closed();
            if (options.between_tokens_ms != 0)
                co_await sleep_for_ms(options.between_tokens_ms);
        }
        if (!alive) {
            ++cancelled;
            co_return;
        }
        co_await out.write("data: [DONE]\n\n");
        co_await out.finish();
    }

    /// Sends bytes that end nothing until the other side closes; bounded all
    /// the same.
    asio::awaitable<void> send_without_end(http_outgoing head,
                                           http_responder& out)
    {
        constexpr std::size_t most = 400 * bytes_in_mib;
        const std::string piece(std::size_t{64} * 1024, 'x');
        bool alive = co_await out.begin(std::move(head));
        for (std::size_t sent = 0; alive && sent < most; sent += piece.size()) {
            alive = co_await out.write(piece);
            endless_bytes += piece.size();
        }
        out.abort();
    }

    /// Ends the process as far as anyone outside can tell.
    void crash()
    {
        ++crashes;
        ++boot;
        sequence = 0;
        models.clear();
        loading.clear();
        server->stop_accepting();
        server->abort_connections();
        owner.spawn(restart(shared_from_this()));
    }

    static asio::awaitable<void> restart(std::shared_ptr<state> self)
    {
        co_await sleep_for_ms(self->options.restart_ms);
        self->open();
    }

    io_worker& owner;
    engine_standin_options options;
    std::shared_ptr<http_server> server;
    std::uint16_t port = 0;
    std::uint64_t boot = 1;
    std::uint64_t sequence = 0;
    std::uint64_t highest_fence = 0;
    std::map<std::string, std::map<std::uint32_t, resident_model_state>> models;
    std::set<std::pair<std::string, std::uint32_t>> loading;
    std::uint32_t outstanding = 0;
    std::uint32_t peak_mib = 0;
    std::uint64_t ran = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t crashes = 0;
    std::uint64_t orders = 0;
    std::uint64_t adapter_loads = 0;
    /// The most recently used stands last.
    std::vector<std::pair<std::string, std::uint32_t>> adapters;
    std::int64_t lose_orders = 0;
    std::int64_t late_order_ms = 0;
    std::int64_t silent = 0;
    std::int64_t break_after = 0;
    std::int64_t delay_ms = 0;
    /// A whole answer is sent once more after this; 0 for once.
    std::int64_t second_copy_ms = 0;
    std::int64_t leaving = 0;
    std::int64_t failing = 0;
    std::int64_t endless = 0;
    std::size_t endless_bytes = 0;
};

engine_standin::engine_standin(io_worker& owner, engine_standin_options options)
    : state_(std::make_shared<state>(owner, std::move(options)))
{
}

engine_standin::~engine_standin() = default;

std::uint16_t engine_standin::listen(std::uint16_t port)
{
    state_->port = port;
    return state_->open();
}

} // namespace barleyfork
