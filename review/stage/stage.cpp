#include "stage.hpp"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stage {

namespace json = boost::json;

namespace {

const auto started = std::chrono::steady_clock::now();
std::map<std::string, std::string> known_names;
std::ofstream record_file;
std::mutex record_mutex;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

std::string trim(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string decode_percent(const std::string& text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
            plain += text[i];
    }
    return plain;
}

constexpr const char* letters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (i + k < bytes.size()
                                      ? static_cast<unsigned char>(bytes[i + k])
                                      : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k > bytes.size() ? '='
                                         : letters[group >> (18 - 6 * k) & 63];
    }
    return text;
}

std::string from_base64(const std::string& text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const char* at = std::strchr(letters, c);
        if (c == '=' || at == nullptr)
            break;
        group = group << 6 | static_cast<std::uint32_t>(at - letters);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
    }
    return bytes;
}

sockaddr_in local(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int listen_locally(std::uint16_t& port, int window = 0)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (window > 0)
        ::setsockopt(
            descriptor, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    auto address = local(0);
    socklen_t size = sizeof(address);
    ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size);
    ::listen(descriptor, 512);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return descriptor;
}

} // namespace

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         started)
        .count();
}

void pause(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void load_names(const std::string& file)
{
    std::ifstream in(file);
    std::string key;
    std::string value;
    while (in >> key >> value)
        known_names[key] = value;
}

const std::string& name(const std::string& key)
{
    return known_names.at(key);
}

void open_record(const std::string& file)
{
    record_file.open(file);
}

void record(const std::string& line, bool is_shown)
{
    std::ostringstream text;
    text.setf(std::ios::fixed);
    text.precision(3);
    text << now() << " " << line << "\n";
    const std::lock_guard lock(record_mutex);
    record_file << text.str() << std::flush;
    if (is_shown)
        std::cout << text.str() << std::flush;
}

std::string message::header(const std::string& wanted) const
{
    const auto found = headers.find(lower(wanted));
    return found == headers.end() ? std::string() : found->second;
}

std::string message::path() const
{
    const auto from = first_line.find(' ') + 1;
    const auto target =
        first_line.substr(from, first_line.find(' ', from) - from);
    return target.substr(0, target.find('?'));
}

std::string message::query(const std::string& key) const
{
    const auto mark = first_line.find('?');
    if (mark == std::string::npos)
        return {};
    std::istringstream pairs(
        first_line.substr(mark + 1, first_line.rfind(' ') - mark - 1));
    std::string pair;
    while (std::getline(pairs, pair, '&'))
        if (pair.starts_with(key + "="))
            return decode_percent(pair.substr(key.size() + 1));
    return {};
}

int message::status() const
{
    return first_line.starts_with("HTTP/1.1 ")
               ? std::atoi(first_line.c_str() + 9)
               : 0;
}

connection::connection(int descriptor) : descriptor_(descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

connection::~connection()
{
    ::close(descriptor_);
}

std::unique_ptr<connection> connection::open(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = local(port);
    if (::connect(descriptor,
                  reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0)
        return std::make_unique<connection>(descriptor);
    ::close(descriptor);
    return nullptr;
}

bool connection::send(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(descriptor_,
                                  bytes.data() + sent,
                                  bytes.size() - sent,
                                  MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::fill(double until)
{
    pollfd ready{descriptor_, POLLIN, 0};
    const int left = static_cast<int>((until - now()) * 1000.0);
    if (left <= 0 || ::poll(&ready, 1, left) <= 0)
        return false;
    char bytes[16384];
    const auto count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
    if (count <= 0)
        return false;
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<message> connection::read_head(double seconds)
{
    const double until = now() + seconds;
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
        if (!fill(until))
            return std::nullopt;
    message read;
    std::istringstream lines(buffer_.substr(0, end));
    std::string line;
    std::getline(lines, read.first_line);
    if (read.first_line.ends_with('\r'))
        read.first_line.pop_back();
    while (std::getline(lines, line)) {
        if (line.ends_with('\r'))
            line.pop_back();
        const auto colon = line.find(':');
        if (colon != std::string::npos)
            read.headers[lower(line.substr(0, colon))] =
                trim(line.substr(colon + 1));
    }
    buffer_.erase(0, end + 4);
    return read;
}

bool connection::read_body(const message& head, double seconds)
{
    const double until = now() + seconds;
    const auto length = static_cast<std::size_t>(
        std::atoll(head.header("content-length").c_str()));
    while (buffer_.size() < length)
        if (!fill(until))
            return false;
    buffer_.erase(0, length);
    return true;
}

void connection::reset() const
{
    const linger now_and_nothing{1, 0};
    ::setsockopt(descriptor_,
                 SOL_SOCKET,
                 SO_LINGER,
                 &now_and_nothing,
                 sizeof(now_and_nothing));
}

std::optional<message> connection::read(double seconds)
{
    const double until = now() + seconds;
    auto read = read_head(seconds);
    if (!read)
        return std::nullopt;
    // A stream of the gateway comes in chunks.
    if (lower(read->header("transfer-encoding")) == "chunked") {
        std::size_t end = 0;
        while ((end = buffer_.find("0\r\n\r\n")) == std::string::npos)
            if (!fill(until))
                return std::nullopt;
        read->body = buffer_.substr(0, end);
        buffer_.erase(0, end + 5);
        return read;
    }
    const auto length = static_cast<std::size_t>(
        std::atoll(read->header("content-length").c_str()));
    while (buffer_.size() < length)
        if (!fill(until))
            return std::nullopt;
    read->body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return read;
}

std::string
make_answer(int status,
            const std::vector<std::pair<std::string, std::string>>& headers,
            const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [key, value] : headers)
        text += key + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

listener::listener(handler handle, option how) : handle_(std::move(handle))
{
    // A small window, as the pages' links have it.
    constexpr int small_window = 65536;
    const bool is_small = how == option::heads_only;
    const int descriptor = listen_locally(port_, is_small ? small_window : 0);
    std::thread([this, descriptor, how] {
        for (;;) {
            const int accepted =
                ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            std::thread([this, accepted, how] {
                connection open(accepted);
                const bool is_whole = how == option::whole_requests;
                while (const auto request =
                           is_whole ? open.read(60.0) : open.read_head(60.0))
                    if (!handle_(open, *request))
                        return;
            }).detach();
        }
    }).detach();
}

std::uint16_t free_port()
{
    // Below the range of outgoing connections, one after another.
    static std::atomic<std::uint16_t> next{
        static_cast<std::uint16_t>(12000 + ::getpid() % 1000 * 16)};
    for (;;) {
        const std::uint16_t port = next++;
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = local(port);
        const bool is_free = ::bind(descriptor,
                                    reinterpret_cast<const sockaddr*>(&address),
                                    sizeof(address)) == 0;
        ::close(descriptor);
        if (is_free)
            return port;
    }
}

store::store()
    : listener_(
          std::make_unique<listener>([this](auto& to, const auto& request) {
              return answer(to, request);
          }))
{
}

std::uint64_t store::apply(const place& at, const std::string& value)
{
    rows_[at] = {value, ++version_};
    changed_.notify_all();
    return version_;
}

void store::put(const std::string& table,
                const std::string& key,
                const json::value& value)
{
    const std::lock_guard lock(mutex_);
    apply({table, key}, to_base64(json::serialize(value)));
}

json::value store::read(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(mutex_);
    const auto found = rows_.find({table, key});
    if (found == rows_.end())
        return nullptr;
    return json::parse(from_base64(found->second.value));
}

json::object store::encode(const place& at, const row& state) const
{
    return {{"table", at.first},
            {"part", ""},
            {"key", at.second},
            {"value", state.value},
            {"ver", state.version}};
}

bool store::answer(connection& to, const message& request)
{
    std::unique_lock lock(mutex_);
    json::object body;
    json::array rows;
    int status = 200;
    const auto path = request.path();
    if (path == name("transaction")) {
        const auto call = json::parse(request.body).as_object();
        bool holds = true;
        for (const auto& item : call.at("expected").as_array()) {
            const place at{std::string(item.at("table").as_string()),
                           std::string(item.at("key").as_string())};
            const auto found = rows_.find(at);
            const auto version =
                found == rows_.end() ? 0 : found->second.version;
            holds =
                holds && version == item.at("ver").to_number<std::uint64_t>();
            if (found != rows_.end())
                rows.push_back(encode(at, found->second));
        }
        status = holds ? 200 : 412;
        if (holds) {
            rows.clear();
            for (const auto& item : call.at("puts").as_array())
                apply({std::string(item.at("table").as_string()),
                       std::string(item.at("key").as_string())},
                      std::string(item.at("value").as_string()));
        }
    }
    else if (path == name("get")) {
        const auto table = request.query("table");
        const auto from = request.query("from");
        const auto to_key = request.query("to");
        for (const auto& [at, state] : rows_)
            if (at.first == table && at.second >= from &&
                (to_key.empty() || at.second < to_key))
                rows.push_back(encode(at, state));
        body["has_more"] = false;
    }
    else if (path == name("feed")) {
        const auto table = request.query("table");
        const auto after = std::stoull(request.query("after"));
        const auto until =
            std::chrono::steady_clock::now() +
            std::chrono::milliseconds(std::stoll(request.query("wait_ms")));
        const auto collect = [&] {
            std::map<std::uint64_t, place> newer;
            for (const auto& [at, state] : rows_)
                if (at.first == table && state.version > after)
                    newer[state.version] = at;
            for (const auto& [version, at] : newer)
                rows.push_back(encode(at, rows_.at(at)));
            return !rows.empty();
        };
        while (!collect() &&
               changed_.wait_until(lock, until) != std::cv_status::timeout)
        {
        }
    }
    else
        status = 404;
    if (!rows.empty() || status != 404)
        body["rows"] = std::move(rows);
    body["ver"] = version_;
    body["now_ms"] = static_cast<std::int64_t>(now() * 1000.0) + 100000;
    lock.unlock();
    return to.send(
        make_answer(status, {{name("era"), "1"}}, json::serialize(body)));
}

engine::engine(store& platform,
               std::string id,
               const std::vector<std::string>& models,
               refusal refuse)
    : platform_(platform), id_(std::move(id)), refuse_(std::move(refuse))
{
    for (const auto& model : models)
        models_[model];
    listener_ = std::make_unique<listener>(
        [this](auto& to, const auto& request) { return answer(to, request); });
    beat();
    std::thread([this] {
        for (;;) {
            pause(1.2);
            beat();
        }
    }).detach();
}

json::array engine::held() const
{
    json::array list;
    for (const auto& [model, adapters] : models_) {
        json::array names(adapters.begin(), adapters.end());
        list.push_back(json::object{
            {"name", model}, {"version", 1}, {"adapters", std::move(names)}});
    }
    return list;
}

void engine::beat()
{
    json::object entry{
        {"service", "models"},
        {"address", "127.0.0.1:" + std::to_string(listener_->port())},
        {"zone", "z"},
        {"version", "v1"},
        {"slots", 64},
        {"state", "ready"},
        {"cold_remaining_ms", 0},
        {"born", 1760000000000}};
    {
        const std::lock_guard lock(mutex_);
        entry["seq_no"] = ++beats_;
        entry["models"] = held();
    }
    platform_.put("servers", id_, entry);
}

std::vector<order> engine::orders() const
{
    const std::lock_guard lock(mutex_);
    return orders_;
}

bool engine::answer(connection& to, const message& request)
{
    const auto path = request.path();
    const auto expected = request.header(name("expected"));
    if (!expected.empty() && expected != id_)
        return to.send(
            make_answer(421,
                        {{name("instance"), id_},
                         {name("attempt"), request.header(name("attempt"))}},
                        ""));
    if (path == name("order"))
        return answer_order(to, request);
    if (path == name("report")) {
        json::object report{{"stage", "prefill_decode"},
                            {"busy", false},
                            {"queued", 0},
                            {"running", 0},
                            {"kv_used", 0},
                            {"kv_total", 160000},
                            {"handles", 0},
                            {"coming", json::array()},
                            {"born", 1760000000000}};
        const std::lock_guard lock(mutex_);
        report["models"] = held();
        report["seq_no"] = sequence_;
        return to.send(make_answer(200, {}, json::serialize(report)));
    }
    const auto attempt = request.header(name("attempt"));
    if (refuse_) {
        if (const auto text = refuse_(request)) {
            record(id_ + " turns away " + attempt);
            return to.send(*text);
        }
    }
    const auto wanted = request.header(name("model"));
    const auto model = wanted.substr(0, wanted.find('/'));
    const auto adapter =
        wanted.size() > model.size() ? wanted.substr(model.size() + 1) : "";
    bool holds = false;
    {
        const std::lock_guard lock(mutex_);
        const auto found = models_.find(model);
        holds = found != models_.end() &&
                (adapter.empty() || std::find(found->second.begin(),
                                              found->second.end(),
                                              adapter) != found->second.end());
    }
    if (!holds)
        return to.send(make_answer(
            421, {{name("instance"), id_}, {name("attempt"), attempt}}, ""));
    record(id_ + " runs " + attempt + " (" + wanted + ")");
    return to.send(make_answer(200,
                               {{name("attempt"), attempt},
                                {name("seal"), "s." + attempt},
                                {name("versions"), "1"},
                                {"Content-Type", "text/event-stream"}},
                               "id: 1\ndata: " + attempt + "\n\n"));
}

bool engine::answer_order(connection& to, const message& request)
{
    const auto call = json::parse(request.body).as_object();
    if (!call.contains("holder") || !call.contains(name("fence")))
        return to.send(make_answer(400, {}, ""));
    const auto text_of = [&call](const std::string& key) {
        const auto* value = call.if_contains(key);
        return value != nullptr && value->is_string()
                   ? std::string(value->as_string())
                   : std::string();
    };
    const auto model = text_of("model");
    const auto adapter = text_of("adapter");
    const auto kind = text_of(name("kind"));
    order got{now(),
              id_,
              text_of("holder"),
              call.at(name("fence")).to_number<std::int64_t>(),
              kind + " " + model + " " + adapter,
              202};
    {
        const std::lock_guard lock(mutex_);
        const auto* expected = call.if_contains("expected");
        const auto held_model = models_.find(model);
        const bool is_load = kind == "load";
        if (expected != nullptr &&
            expected->to_number<std::int64_t>() != sequence_)
            got.status = 409;
        else if (!adapter.empty() && held_model == models_.end())
            got.status = 400;
        else if (!adapter.empty()) {
            auto& adapters = held_model->second;
            const auto at =
                std::find(adapters.begin(), adapters.end(), adapter);
            const bool is_there = at != adapters.end();
            if (is_load == is_there)
                got.status = 200;
            else {
                ++sequence_;
                if (is_load)
                    adapters.push_back(adapter);
                else {
                    adapters.erase(at);
                    got.status = 200;
                }
            }
        }
        else if (is_load == (held_model != models_.end()))
            got.status = 200;
        else {
            ++sequence_;
            if (is_load)
                models_[model];
            else
                models_.erase(model);
        }
        orders_.push_back(got);
    }
    record(id_ + " gets order " + got.text + " of " + got.holder + ", fence " +
           std::to_string(got.fence) + ", answers " +
           std::to_string(got.status));
    return to.send(make_answer(got.status, {}, ""));
}

gateway::gateway(std::string instance,
                 std::uint16_t store_port,
                 std::string folder)
    : instance_(std::move(instance)), store_port_(store_port),
      folder_(std::move(folder))
{
}

gateway::~gateway()
{
    if (process_ <= 0)
        return;
    ::kill(process_, SIGCONT);
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
}

void gateway::start()
{
    const auto at = [](std::uint16_t port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    const auto file = folder_ + "/" + instance_ + ".toml";
    std::ofstream(file)
        << "instance = \"" << instance_ << "\"\n"
        << "region = \"r\"\nfailure_domain = \"z\"\n"
        << "address = \"127.0.0.1\"\ncaller_address = " << at(callers_)
        << "ready_address = " << at(ready_) << "peer_port = " << peers_
        << "\npeer_secret = \"one deployment\"\ncpu_share = 0.25\n"
        << "link_mbps = 1000.0\nmemory_mb = 260\nfirst_start = "
        << (is_first_start_ ? "true" : "false") << "\nmax_descriptors = 4100\n"
        << "places = [{ failure_domain = \"z\", region = \"r\" }]\n"
        << "[store]\naddress = " << at(store_port_)
        << "[bounds]\ndrain_ms = 2500\ngrace_s = 8\nretry_ratio = 0.2\n"
        << "retry_window_s = 10\nretry_slack = 56\nholder_change_ms = 3000\n"
        << "load_window_s = 5\nconfiguration_ms = 2500\n"
        << "[log]\nlevel = \"info\"\n";
    is_first_start_ = false;
    const auto log = folder_ + "/" + instance_ + ".log";
    process_ = ::fork();
    if (process_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::setenv("BARLEYFORK_SETTINGS", file.c_str(), 1);
        const char* program =
            "target/tools/barleyfork_gateway/barleyfork_gateway";
        ::execl(program, program, nullptr);
        ::_exit(127);
    }
    record("start of " + instance_, true);
}

void gateway::signal(int number)
{
    if (process_ <= 0)
        return;
    record(std::string(::strsignal(number)) + " to " + instance_, true);
    ::kill(process_, number);
}

bool gateway::wait_for_end(double seconds)
{
    const double until = now() + seconds;
    while (process_ > 0 && now() < until) {
        if (::waitpid(process_, nullptr, WNOHANG) == process_)
            process_ = -1;
        else
            pause(0.005);
    }
    return process_ <= 0;
}

std::string gateway::end()
{
    int status = 0;
    if (process_ <= 0 || ::waitpid(process_, &status, WNOHANG) != process_)
        return {};
    process_ = -1;
    return WIFSIGNALED(status)
               ? "signal " + std::to_string(WTERMSIG(status)) + " (" +
                     ::strsignal(WTERMSIG(status)) + ")"
               : "exit code " + std::to_string(WEXITSTATUS(status));
}

bool gateway::is_ready() const
{
    const auto open = connection::open(ready_);
    if (!open)
        return false;
    open->send("GET " + name("ready") + " HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto answer = open->read(2.0);
    return answer && answer->status() == 200;
}

bool gateway::wait_until_ready(double seconds) const
{
    const double until = now() + seconds;
    while (now() < until) {
        if (is_ready())
            return true;
        pause(0.05);
    }
    return false;
}

json::value make_configuration(std::size_t models, std::size_t adapters)
{
    json::array list;
    for (std::size_t i = 0; i < models; ++i)
        list.push_back(json::object{{"name", "m" + std::to_string(i)},
                                    {name("weights"), 34300},
                                    {"load_s", 1.2},
                                    {"warm_s", 0.42},
                                    {"disk_s", 0.55},
                                    {"adapters", adapters},
                                    {"adapter_mb", 40}});
    const json::object engine{{"slots", 64},
                              {"kv_capacity", 162655},
                              {"models", std::move(list)},
                              {name("weights"), 200000},
                              {"max_adapters", 8},
                              {"loads_per_s", 1.6}};
    return json::object{{"version", 3},
                        {"routes",
                         json::array{json::object{{"name", "models"},
                                                  {"host", "h.example"},
                                                  {"prefix", "/models/"},
                                                  {"kind", "streaming"},
                                                  {"timeout_ms", 5000},
                                                  {"target_latency_ms", 800},
                                                  {"priority", 1},
                                                  {"service", "models"},
                                                  {"max_attempts", 1},
                                                  {"resumable", false},
                                                  {name("pause"), 300}},
                                     json::object{{"name", "plain"},
                                                  {"host", "h.example"},
                                                  {"prefix", "/plain/"},
                                                  {"kind", "unsafe"},
                                                  {"timeout_ms", 4000},
                                                  {"target_latency_ms", 1500},
                                                  {"priority", 2},
                                                  {"service", "plain"},
                                                  {"max_attempts", 1}}}},
                        {"services",
                         json::array{json::object{{"name", "models"},
                                                  {"health_path", "/health"},
                                                  {"max_conns", 370},
                                                  {"engine", engine}},
                                     json::object{{"name", "plain"},
                                                  {"health_path", "/health"},
                                                  {"max_conns", 110}}}},
                        {"limits",
                         json::object{{"max_header_bytes", 16384},
                                      {"max_body_bytes", 4194304},
                                      {"header_timeout_ms", 3000},
                                      {"idle_timeout_ms", 15000}}}};
}

} // namespace stage
