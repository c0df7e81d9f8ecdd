#include "runner.hpp"

#include <boost/json.hpp>
#include <chrono>
#include <thread>

namespace barleyfork::scenario {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds await_bound{20000};
constexpr std::chrono::milliseconds await_poll{20};
constexpr std::int64_t default_tokens = 20;

std::string quoted_numbers(const statement& line)
{
    json::object faults;
    for (const auto& entry : line.arguments) {
        if (entry.name.empty() || entry.name == "engine" ||
            entry.name == "service")
            continue;
        if (entry.value == "true" || entry.value == "false")
            faults[entry.name] = entry.value == "true";
        else
            faults[entry.name] = std::stoll(entry.value);
    }
    return json::serialize(faults);
}

} // namespace

const std::map<std::string, runner::action>& runner::actions()
{
    static const std::map<std::string, action> table{
        {"world", &runner::make_world},
        {"apply", &runner::apply},
        {"apply_in_background", &runner::apply_in_background},
        {"applied", &runner::applied},
        {"await", &runner::await},
        {"stream", &runner::stream},
        {"complete", &runner::complete},
        {"repeat", &runner::repeat},
        {"book", &runner::book},
        {"await_parts", &runner::await_parts},
        {"leave", &runner::leave},
        {"finish", &runner::finish},
        {"fault", &runner::fault},
        {"platform", &runner::platform},
        {"check", &runner::check},
        {"kill", &runner::kill},
        {"start", &runner::start},
        {"unlist", &runner::unlist},
        {"drain", &runner::drain},
        {"stall", &runner::stall},
        {"cut", &runner::cut},
        {"heal", &runner::heal},
        {"pause", &runner::pause}};
    return table;
}

void runner::run(std::span<const statement> script)
{
    for (const auto& line : script) {
        const auto found = actions().find(line.verb);
        if (found == actions().end())
            throw check_failed("line " + std::to_string(line.line) +
                               ": unknown verb " + line.verb);
        (this->*(found->second))(line);
    }
}

cluster& runner::world()
{
    if (!cluster_)
        throw check_failed("begin the script with: world");
    return *cluster_;
}

void runner::make_world(const statement& line)
{
    cluster_options options;
    const auto size = [&line](const char* name, std::size_t fallback) {
        return static_cast<std::size_t>(
            line.number(name, static_cast<std::int64_t>(fallback)));
    };
    options.daemons = size("daemons", options.daemons);
    options.engines = size("engines", options.engines);
    options.services = size("services", options.services);
    options.ignoring_from = size("ignoring_from", options.ignoring_from);
    options.engine_memory_mib = static_cast<std::uint32_t>(
        size("engine_memory_mib", options.engine_memory_mib));
    options.load_ms = line.number("load_ms", options.load_ms);
    options.between_tokens_ms =
        line.number("between_tokens_ms", options.between_tokens_ms);
    options.server_slots =
        static_cast<std::uint32_t>(size("server_slots", options.server_slots));
    options.retry_percent = static_cast<std::uint32_t>(
        size("retry_percent", options.retry_percent));
    cluster_ = std::make_unique<cluster>(options);
}

std::size_t runner::place_of(const statement& line) const
{
    return static_cast<std::size_t>(
        line.number("daemon", line.number("through", 0)));
}

std::uint16_t runner::target_of(const statement& line)
{
    if (line.has("platform"))
        return world().platform_port();
    if (line.has("engine"))
        return world().engine_port(
            static_cast<std::size_t>(line.number("engine", 0)));
    return world().service_port(
        static_cast<std::size_t>(line.number("service", 0)));
}

declaration_options runner::declaration_of(const statement& line) const
{
    declaration_options options;
    const auto take = [&line](const char* name, std::uint32_t& value) {
        value = static_cast<std::uint32_t>(line.number(name, value));
    };
    options.models = static_cast<std::size_t>(line.number("models", 2));
    take("version", options.version);
    take("memory_mib", options.memory_mib);
    take("requests_per_second", options.requests_per_second);
    take("min_replicas", options.min_replicas);
    take("adapter_mib", options.adapter_mib);
    take("cell_servers", options.cell_servers);
    take("max_replicas", options.max_replicas);
    options.adapters = static_cast<std::size_t>(line.number("adapters", 0));
    options.note = line.text("note", options.note);
    return options;
}

std::string runner::apply_target(const statement& line) const
{
    std::string target = "/v1/apply?wait=";
    target += line.has("wait") ? line.text("wait", "true") : "true";
    if (line.has("expect_revision"))
        target += "&expect_revision=" + line.text("expect_revision", "");
    return target;
}

/// Applies and checks the answer: `expect` is `ok` or an error's code.
void runner::apply(const statement& line)
{
    const auto expected = line.text("expect", "ok");
    const auto answer =
        world().operate(place_of(line),
                        "POST",
                        apply_target(line),
                        world().declaration(declaration_of(line)),
                        line.text("by", "tester"));
    const auto seen = answer.status == 200 ? "ok" : answer.code;
    require(seen == expected, line, seen + " " + answer.body);
}

void runner::apply_in_background(const statement& line)
{
    caller_call call;
    call.port = world().at(place_of(line))->operator_port();
    call.path = apply_target(line);
    call.headers = {{"Authorization", "Bearer operator-key"},
                    {"X-Operator", line.text("by", "tester")}};
    call.body = world().declaration(declaration_of(line));
    callers_[line.subject()] = std::make_unique<caller>(std::move(call));
}

/// Of the named applies, exactly `accepted` were accepted.
void runner::applied(const statement& line)
{
    std::int64_t accepted = 0;
    std::string seen;
    for (const auto& entry : line.arguments) {
        if (!entry.name.empty())
            continue;
        const auto& answer = callers_.at(entry.value)->wait();
        accepted += answer.status == 200 ? 1 : 0;
        seen += entry.value + ": " + answer.body + " ";
    }
    require(accepted == line.number("accepted", 1), line, seen);
}

void runner::await(const statement& line)
{
    eventually(line, [this, &line] { return holds(line); });
}

bool runner::holds(const statement& line)
{
    const auto place = place_of(line);
    const auto what = line.subject();
    if (what == "revision")
        return revision_of(place) >=
               static_cast<std::uint64_t>(line.number("number", 0));
    if (what == "applied")
        return world()
                   .operate(place,
                            "POST",
                            apply_target(line),
                            world().declaration(declaration_of(line)))
                   .status == 200;
    if (what == "replicas") {
        const auto count =
            ready_replicas(place, "desk/" + line.text("model", "m0"));
        return count >= static_cast<std::size_t>(line.number("at_least", 1));
    }
    if (what == "ready" || what == "not_ready") {
        auto* where = world().at(place);
        const auto status =
            cluster::call(where->caller_port(), "GET", "/readyz").status;
        return (status == 200) == (what == "ready");
    }
    if (what == "counter")
        return counter_of(target_of(line), line.text("name", "")) >=
               line.number("at_least", 1);
    if (what == "answer") {
        call_model(line, true);
        const auto& answer = callers_.at(what)->wait();
        return answer.status == 200 && answer.whole;
    }
    if (what == "refusal") {
        call_model(line, true);
        return callers_.at(what)->wait().code == line.text("code", "");
    }
    throw check_failed("line " + std::to_string(line.line) +
                       ": nothing to await is called " + what);
}

void runner::eventually(const statement& line,
                        const std::function<bool()>& test)
{
    const auto until = std::chrono::steady_clock::now() + await_bound;
    while (std::chrono::steady_clock::now() < until) {
        if (test())
            return;
        std::this_thread::sleep_for(await_poll);
    }
    require(false, line, "it did not come about");
}

void runner::stream(const statement& line)
{
    call_model(line, true);
}

void runner::complete(const statement& line)
{
    call_model(line, false);
}

void runner::call_model(const statement& line, bool stream)
{
    json::object body;
    body["model"] = line.text("model", "m0");
    body["stream"] = stream;
    body["max_tokens"] = line.number("tokens", default_tokens);
    body["prompt"] = line.text("prompt", line.subject());
    caller_call call;
    call.port = world().at(place_of(line))->caller_port();
    call.path = "/v1/completions";
    call.headers = {
        {"Authorization", "Bearer key-of-" + line.text("as", "desk")}};
    call.body = json::serialize(body);
    call.slow_ms = line.number("slow_ms", 0);
    callers_[line.subject()] = std::make_unique<caller>(std::move(call));
}

/// Asks each model in turn, `times` over; every answer must be whole.
void runner::repeat(const statement& line)
{
    for (std::int64_t i = 0; i < line.number("times", 1); ++i) {
        for (std::int64_t m = 0; m < line.number("models", 1); ++m) {
            auto one = line;
            one.arguments.push_back({"model", "m" + std::to_string(m)});
            call_model(one, true);
            const auto& answer = callers_.at(line.subject())->wait();
            require(answer.whole && answer.status == 200,
                    line,
                    "m" + std::to_string(m) + " " + answer.body);
        }
    }
}

void runner::book(const statement& line)
{
    caller_call call;
    call.port = world().at(place_of(line))->caller_port();
    call.path = "/bookings/new";
    call.headers = {{"Authorization", "Bearer key-of-crews"}};
    if (line.has("key"))
        call.headers["Idempotency-Key"] = line.text("key", "");
    call.body = line.text("body", "street");
    callers_[line.subject()] = std::make_unique<caller>(std::move(call));
}

void runner::await_parts(const statement& line)
{
    const auto wanted = static_cast<std::size_t>(line.number("count", 1));
    const bool came =
        callers_.at(line.subject())->wait_for_parts(wanted, await_bound);
    require(came, line, "the parts did not come");
}

void runner::leave(const statement& line)
{
    callers_.at(line.subject())->leave();
}

/// Checks how a call ended.
void runner::finish(const statement& line)
{
    const auto& answer = callers_.at(line.subject())->wait();
    const auto seen = "status " + std::to_string(answer.status) + " code " +
                      answer.code + " body " + answer.body;
    if (line.has("status"))
        require(answer.status == line.number("status", 0), line, seen);
    if (line.has("code"))
        require(answer.code == line.text("code", ""), line, seen);
    if (line.has("whole"))
        require(answer.whole == (line.text("whole", "") == "true"), line, seen);
    if (line.has("same_as")) {
        const auto& other = callers_.at(line.text("same_as", ""))->wait();
        require(answer.body == other.body, line, seen + " " + other.body);
    }
    if (line.has("other_than")) {
        const auto& other = callers_.at(line.text("other_than", ""))->wait();
        require(answer.body != other.body, line, seen + " " + other.body);
    }
    if (line.has("tokens"))
        for (std::int64_t i = 0; i < line.number("tokens", 0); ++i) {
            auto token = "\"w" + std::to_string(i);
            token += " \"";
            const auto first = answer.body.find(token);
            const bool once =
                first != std::string::npos &&
                answer.body.find(token, first + 1) == std::string::npos;
            require(once,
                    line,
                    std::string("token ").append(token).append(" in ").append(
                        seen));
        }
    if (line.has("retry_after"))
        require(answer.headers.contains("Retry-After"), line, seen);
    if (line.has("parts"))
        require(answer.parts >=
                    static_cast<std::size_t>(line.number("parts", 0)),
                line,
                std::to_string(answer.parts) + " parts");
}

void runner::fault(const statement& line)
{
    cluster::call(target_of(line), "POST", "/faults", quoted_numbers(line));
}

void runner::platform(const statement& line)
{
    cluster::call(
        world().platform_port(), "POST", "/faults", quoted_numbers(line));
}

/// Checks a stand-in's counter: `equals`, `at_least` or `at_most`.
void runner::check(const statement& line)
{
    const auto value = counter_of(target_of(line), line.text("name", ""));
    const auto seen = std::to_string(value);
    if (line.has("equals"))
        require(value == line.number("equals", 0), line, seen);
    if (line.has("at_least"))
        require(value >= line.number("at_least", 0), line, seen);
    if (line.has("at_most"))
        require(value <= line.number("at_most", 0), line, seen);
}

void runner::kill(const statement& line)
{
    world().kill(place_of(line));
}

void runner::start(const statement& line)
{
    world().start(place_of(line));
}

void runner::unlist(const statement& line)
{
    world().unlist(place_of(line));
}

void runner::drain(const statement& line)
{
    require(world().drain(place_of(line)), line, "a request was cut");
}

void runner::stall(const statement& line)
{
    world()
        .at(place_of(line))
        ->stall(std::chrono::milliseconds(line.number("ms", 1000)));
}

void runner::cut(const statement& line)
{
    world().cut(place_of(line));
}

void runner::heal(const statement&)
{
    world().heal();
}

void runner::pause(const statement& line)
{
    std::this_thread::sleep_for(
        std::chrono::milliseconds(line.number("ms", 100)));
}

std::uint64_t runner::revision_of(std::size_t place)
{
    const auto answer = world().operate(place, "GET", "/v1/status");
    json::error_code error;
    const auto body = json::parse(answer.body, error);
    return error ? 0 : body.at("revision").to_number<std::uint64_t>();
}

std::size_t runner::ready_replicas(std::size_t place, const std::string& model)
{
    const auto answer =
        world().operate(place, "GET", "/v1/explain?model=" + model);
    json::error_code error;
    const auto body = json::parse(answer.body, error);
    if (error || answer.status != 200)
        return 0;
    std::size_t count = 0;
    for (const auto& replica : body.at("replicas").as_array())
        if (replica.at("state") == "ready" && replica.at("reporting").as_bool())
            ++count;
    return count;
}

std::int64_t runner::counter_of(std::uint16_t port, const std::string& name)
{
    const auto answer = cluster::call(port, "GET", "/counters");
    json::error_code error;
    const auto body = json::parse(answer.body, error);
    if (error || !body.as_object().contains(name))
        return -1;
    return body.at(name).to_number<std::int64_t>();
}

void runner::require(bool held, const statement& line, const std::string& seen)
{
    if (!held)
        throw check_failed("line " + std::to_string(line.line) + ": " +
                           line.verb + " " + line.subject() +
                           " did not hold; seen: " + seen);
}

} // namespace barleyfork::scenario
