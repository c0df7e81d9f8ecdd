#include "world.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;

namespace {

const clock::time_point started = clock::now();
constexpr int memory_mb = 260;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::string to_base64(const std::string& bytes)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        const auto part = bytes.substr(at, 3);
        unsigned number = 0;
        for (std::size_t i = 0; i < 3; ++i)
            number =
                number << 8U |
                (i < part.size() ? static_cast<unsigned char>(part[i]) : 0);
        for (std::size_t i = 0; i < 4; ++i)
            out +=
                i <= part.size() ? digits[number >> (18 - 6 * i) & 63U] : '=';
    }
    return out;
}

std::string from_base64(const std::string& text)
{
    std::string out;
    unsigned number = 0;
    int bits = 0;
    for (const char c : text) {
        int digit = -1;
        if (c >= 'A' && c <= 'Z')
            digit = c - 'A';
        else if (c >= 'a' && c <= 'z')
            digit = c - 'a' + 26;
        else if (c >= '0' && c <= '9')
            digit = c - '0' + 52;
        else if (c == '+')
            digit = 62;
        else if (c == '/')
            digit = 63;
        if (digit < 0)
            continue;
        number = (number << 6U | static_cast<unsigned>(digit)) & 0xffffffU;
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(number >> bits & 255U);
        }
    }
    return out;
}

std::string unescape(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
            out += text[i];
    }
    return out;
}

/// The value of a parameter of a target's query.
std::string parameter(const std::string& target, const std::string& name)
{
    const auto query = target.find('?');
    if (query == std::string::npos)
        return "";
    std::istringstream parts(target.substr(query + 1));
    std::string part;
    while (std::getline(parts, part, '&'))
        if (part.rfind(name + "=", 0) == 0)
            return unescape(part.substr(name.size() + 1));
    return "";
}

std::string http_answer(unsigned status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " -\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::map<std::string, std::string> read_wire()
{
    std::map<std::string, std::string> names;
    const char* path = std::getenv("REVIEW_WIRE");
    std::ifstream in(path == nullptr ? "review/wire.txt" : path);
    std::string line;
    while (std::getline(in, line)) {
        std::istringstream words(line);
        std::string key;
        std::string name;
        if (words >> key >> name && key != "#")
            names[key] = name;
    }
    return names;
}

} // namespace

long long now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() -
                                                                 started)
        .count();
}

void sleep_ms(long long milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::string wire(const std::string& key)
{
    static const auto names = read_wire();
    const auto found = names.find(key);
    if (found == names.end()) {
        std::cerr << "wire.txt has no " << key << "\n";
        std::_Exit(2);
    }
    return found->second;
}

bool has_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

record::record(const std::string& path) : out_(path) {}

void record::line(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    out_ << now_ms() << " ms " << text << "\n" << std::flush;
}

/// A port that no outgoing connection takes before the gateway does, and that
/// scripts which run side by side are unlikely to choose.
std::uint16_t free_port()
{
    constexpr unsigned first = 12000;
    constexpr unsigned count = 20000;
    static unsigned next = static_cast<unsigned>(::getpid()) * 97U;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(first + next++ % count);
        const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto address = loopback(port);
        const bool is_free = ::bind(probe,
                                    reinterpret_cast<const sockaddr*>(&address),
                                    sizeof(address)) == 0;
        ::close(probe);
        if (is_free)
            return port;
    }
}

std::string message::header(const std::string& name) const
{
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
        const auto colon = line.find(':');
        if (colon == name.size() &&
            ::strncasecmp(line.c_str(), name.c_str(), colon) == 0)
        {
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            while (!value.empty() && value.back() == '\r')
                value.pop_back();
            return value;
        }
    }
    return "";
}

std::string message::path() const
{
    const auto begin = head.find(' ');
    const auto end = head.find(' ', begin + 1);
    return begin == std::string::npos ? ""
                                      : head.substr(begin + 1, end - begin - 1);
}

unsigned message::status() const
{
    return head.rfind("HTTP/1.1 ", 0) == 0
               ? static_cast<unsigned>(std::atoi(head.c_str() + 9))
               : 0;
}

connection::connection(int descriptor) : descriptor_(descriptor) {}

connection::~connection()
{
    close();
}

std::unique_ptr<connection> connection::to(std::uint16_t port, int window)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const int segment = 1460;
    ::setsockopt(
        descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    if (window > 0)
        ::setsockopt(
            descriptor, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    const auto address = loopback(port);
    if (::connect(descriptor,
                  reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) != 0)
    {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor);
}

bool connection::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto size = ::send(descriptor_,
                                 bytes.data() + sent,
                                 bytes.size() - sent,
                                 MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

bool connection::fill(std::size_t size)
{
    std::vector<char> bytes(std::max<std::size_t>(size, 1));
    const auto got = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (got <= 0)
        return false;
    buffer_.append(bytes.data(), static_cast<std::size_t>(got));
    return true;
}

message connection::read(double bytes_per_second)
{
    constexpr std::size_t part = 65536;
    constexpr int pace_ms = 50;
    const auto once =
        bytes_per_second > 0.0
            ? static_cast<std::size_t>(bytes_per_second * pace_ms / 1000.0)
            : part;
    message got;
    for (;;) {
        const auto end = buffer_.find("\r\n\r\n");
        if (end != std::string::npos) {
            got.head = buffer_.substr(0, end + 4);
            buffer_.erase(0, end + 4);
            break;
        }
        if (!fill(once))
            return got;
    }
    const auto length =
        std::strtoull(got.header("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
        if (bytes_per_second > 0.0)
            sleep_ms(pace_ms);
        if (!fill(once))
            break;
    }
    got.complete = buffer_.size() >= length;
    const auto size = std::min<std::size_t>(buffer_.size(), length);
    got.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return got;
}

std::string connection::read_all()
{
    constexpr timeval patience{3, 0};
    ::setsockopt(
        descriptor_, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    constexpr std::size_t part = 4096;
    // A chunked answer ends with an empty chunk.
    while (buffer_.find("\r\n0\r\n\r\n") == std::string::npos &&
           buffer_.find("\r\n\r\n{") == std::string::npos && fill(part))
    {
    }
    return buffer_;
}

void connection::close()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
    descriptor_ = -1;
}

int connection::descriptor() const
{
    return descriptor_;
}

listener::listener(handler serve) : serve_(std::move(serve))
{
    descriptor_ = ::socket(AF_INET, SOCK_STREAM, 0);
    auto address = loopback(0);
    socklen_t size = sizeof(address);
    constexpr int backlog = 512;
    ::bind(descriptor_, reinterpret_cast<sockaddr*>(&address), size);
    ::listen(descriptor_, backlog);
    ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { accept_all(); });
}

listener::~listener()
{
    stopping_ = true;
    ::shutdown(descriptor_, SHUT_RDWR);
    thread_.join();
    ::close(descriptor_);
}

/// Threads of connections end with the program.
void listener::accept_all()
{
    while (!stopping_) {
        const int accepted = ::accept(descriptor_, nullptr, nullptr);
        if (accepted < 0)
            continue;
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([this, accepted] {
            connection caller(accepted);
            serve_(caller);
        }).detach();
    }
}

store::store() : listener_([this](connection& caller) { serve(caller); }) {}

void store::put(const std::string& table,
                const std::string& key,
                const std::string& value)
{
    const std::lock_guard lock(mutex_);
    rows_[{table, key}] = {value, ++version_, false};
    changed_.notify_all();
}

void store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(mutex_);
    rows_[{table, key}] = {"", ++version_, true};
    changed_.notify_all();
}

std::string store::value(const std::string& table, const std::string& key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = rows_.find({table, key});
    return found == rows_.end() || found->second.deleted ? ""
                                                         : found->second.value;
}

void store::serve(connection& caller)
{
    for (;;) {
        const auto request = caller.read();
        if (!request.complete || !caller.send(answer(request)))
            return;
    }
}

std::string store::answer(const message& request)
{
    constexpr int answer_time_ms = 4;
    sleep_ms(answer_time_ms);
    const auto target = request.path();
    const auto path = target.substr(0, target.find('?'));
    if (path == wire("get"))
        return read_rows(target);
    if (path == wire("feed"))
        return read_feed(target);
    if (path == wire("tx"))
        return write_rows(request.body);
    return http_answer(404, "{}");
}

std::string store::rows_text(const std::string& table,
                             std::uint64_t after,
                             const std::string& from,
                             const std::string& to) const
{
    std::map<std::uint64_t, json::object> by_version;
    std::vector<json::object> by_key;
    for (const auto& [name, row] : rows_) {
        if (name.first != table || row.version <= after || name.second < from ||
            (!to.empty() && name.second >= to) || (after == 0 && row.deleted))
            continue;
        json::object text{{"table", table},
                          {"part", ""},
                          {"key", name.second},
                          {"ver", row.version}};
        if (row.deleted)
            text["deleted"] = true;
        else
            text["value"] = to_base64(row.value);
        by_version.emplace(row.version, text);
        by_key.push_back(text);
    }
    json::array rows;
    if (after == 0)
        for (auto& text : by_key)
            rows.push_back(std::move(text));
    else
        for (auto& [version, text] : by_version)
            rows.push_back(std::move(text));
    return json::serialize(rows);
}

std::string store::closing(std::uint64_t version) const
{
    return R"(,"has_more":false,"ver":)" + std::to_string(version) +
           R"(,"now_ms":)" + std::to_string(now_ms()) + "}";
}

std::string store::read_rows(const std::string& target)
{
    const std::lock_guard lock(mutex_);
    return http_answer(200,
                       R"({"rows":)" +
                           rows_text(parameter(target, "table"),
                                     0,
                                     parameter(target, "from"),
                                     parameter(target, "to")) +
                           closing(version_));
}

std::string store::read_feed(const std::string& target)
{
    const auto table = parameter(target, "table");
    const auto after =
        std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
    const auto wait = std::atoi(parameter(target, "wait_ms").c_str());
    std::unique_lock lock(mutex_);
    const auto has_change = [&] {
        return std::any_of(rows_.begin(), rows_.end(), [&](const auto& item) {
            return item.first.first == table && item.second.version > after;
        });
    };
    changed_.wait_for(lock, std::chrono::milliseconds(wait), has_change);
    return http_answer(
        200,
        R"({"rows":)" +
            rows_text(table, std::max<std::uint64_t>(after, 1), "", "") +
            closing(version_));
}

std::string store::write_rows(const std::string& body)
{
    const auto call = json::parse(body).as_object();
    const std::lock_guard lock(mutex_);
    const auto name = [](const json::value& entry) {
        return std::pair(std::string(entry.at("table").as_string()),
                         std::string(entry.at("key").as_string()));
    };
    bool holds = true;
    std::string current;
    if (const auto* expected = call.if_contains("expected"))
        for (const auto& entry : expected->as_array()) {
            const auto found = rows_.find(name(entry));
            const auto version = found == rows_.end() || found->second.deleted
                                     ? 0
                                     : found->second.version;
            holds =
                holds && version == entry.at("ver").to_number<std::uint64_t>();
            const auto [table, key] = name(entry);
            current = rows_text(table, 0, key, key + "!");
        }
    if (!holds)
        return http_answer(412, R"({"rows":)" + current + closing(version_));
    ++version_;
    if (const auto* puts = call.if_contains("puts"))
        for (const auto& entry : puts->as_array())
            rows_[name(entry)] = {
                from_base64(std::string(entry.at("value").as_string())),
                version_,
                false};
    if (const auto* gone = call.if_contains("remove"))
        for (const auto& entry : gone->as_array())
            rows_[name(entry)] = {"", version_, true};
    changed_.notify_all();
    return http_answer(200,
                       R"({"ver":)" + std::to_string(version_) +
                           R"(,"now_ms":)" + std::to_string(now_ms()) + "}");
}

server::server(store& platform,
               std::string id,
               std::string service,
               handler answer)
    : store_(platform), id_(std::move(id)), service_(std::move(service)),
      answer_(std::move(answer)),
      born_ms_(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())),
      listener_([this](connection& caller) {
          for (;;) {
              const auto request = caller.read();
              if (!request.complete)
                  return;
              const auto expected = request.header(wire("expected"));
              if (!expected.empty() && expected != id_) {
                  caller.send("HTTP/1.1 421 Misdirected Request\r\n" +
                              wire("instance") + ": " + id_ +
                              "\r\nContent-Length: 0\r\n\r\n");
                  continue;
              }
              if (!answer_(caller, request))
                  return;
          }
      }),
      beats_([this] { beat(); })
{
}

server::~server()
{
    stopping_ = true;
    beats_.join();
}

void server::beat()
{
    constexpr int heartbeat_ms = 1200;
    constexpr int step_ms = 100;
    for (std::uint64_t number = 1; !stopping_; ++number) {
        store_.put("servers",
                   id_,
                   R"({"service":")" + service_ + R"(","address":"127.0.0.1:)" +
                       std::to_string(listener_.port()) +
                       R"(","zone":"parana-centro","version":"v1","slots":64,)"
                       R"("state":"ready","cold_remaining_ms":0,"seq_no":)" +
                       std::to_string(number) + R"(,"born":)" +
                       std::to_string(born_ms_) + "}");
        for (int waited = 0; waited < heartbeat_ms && !stopping_;
             waited += step_ms)
            sleep_ms(step_ms);
    }
}

std::string sound_answer(const message& request, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\n" + wire("attempt") + ": " +
           request.header(wire("attempt")) + "\r\n" + wire("seal") +
           ": 3e1b.07.5a2\r\nKeep-Alive: timeout=15\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string request_text(const std::string& method,
                         const std::string& path,
                         const std::string& attempt,
                         int deadline_ms,
                         const std::string& body)
{
    std::string text =
        method + " " + path + " HTTP/1.1\r\nHost: estado.example\r\n" +
        wire("attempt") + ": " + attempt + "\r\n" + wire("deadline") + ": " +
        std::to_string(deadline_ms) + "\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

gateway::gateway(std::string root,
                 std::string folder,
                 std::string instance,
                 std::uint16_t store_port)
    : root_(std::move(root)), folder_(std::move(folder)),
      instance_(std::move(instance)), store_port_(store_port),
      caller_port_(free_port()), ready_port_(free_port()),
      peer_port_(free_port()), metrics_port_(free_port())
{
}

gateway::~gateway()
{
    if (!has_ended())
        signal(SIGKILL);
    while (!has_ended())
        sleep_ms(10);
}

/// What the template of the deploy file gives for a machine of estado-red.
void gateway::write_settings() const
{
    const auto local = [](std::uint16_t port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    std::ofstream out(folder_ + "/" + instance_ + ".toml");
    out << "instance = \"" << instance_ << "\"\nregion = \"parana\"\n"
        << "failure_domain = \"parana-centro\"\naddress = \"127.0.0.1\"\n"
        << "caller_address = " << local(caller_port_)
        << "ready_address = " << local(ready_port_)
        << "peer_port = " << peer_port_ << "\nmetrics_port = " << metrics_port_
        << "\npeer_secret = \"one deployment\"\ncpu_share = 0.25\n"
        << "link_mbps = 1000.0\nmemory_mb = " << memory_mb
        << "\nfirst_start = " << (is_first_start_ ? "true" : "false")
        << "\nmax_descriptors = 4100\nplaces = [ { failure_domain = "
        << "\"parana-centro\", region = \"parana\" } ]\n\n[store]\naddress = "
        << local(store_port_)
        << "\n[bounds]\ndrain_ms = 2500\ngrace_s = 8\nretry_ratio = 0.2\n"
        << "retry_window_s = 10\nretry_slack = 56\nholder_change_ms = 3000\n"
        << "load_window_s = 5\n\n[log]\nlevel = \"info\"\n";
}

void gateway::start()
{
    write_settings();
    is_first_start_ = false;
    const auto program =
        root_ + "/target/tools/barleyfork_gateway/barleyfork_gateway";
    const auto settings =
        "BARLEYFORK_SETTINGS=" + folder_ + "/" + instance_ + ".toml";
    const auto log = folder_ + "/" + instance_ + ".log";
    process_ = ::fork();
    if (process_ != 0)
        return;
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::closefrom(3);
    // The gateway ends with the script, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::chdir(root_.c_str()) != 0)
        ::_exit(127);
    char* const arguments[] = {const_cast<char*>(program.c_str()), nullptr};
    char* const variables[] = {const_cast<char*>(settings.c_str()), nullptr};
    ::execve(program.c_str(), arguments, variables);
    ::_exit(127);
}

void gateway::signal(int number) const
{
    if (process_ > 0)
        ::kill(process_, number);
}

bool gateway::has_ended()
{
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_)
        process_ = -1;
    return process_ <= 0;
}

bool gateway::wait_until_ready(int milliseconds) const
{
    constexpr int step_ms = 50;
    for (int waited = 0; waited < milliseconds; waited += step_ms) {
        if (const auto probe = connection::to(ready_port_)) {
            probe->send("GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
            if (probe->read().status() == 200)
                return true;
        }
        sleep_ms(step_ms);
    }
    return false;
}

double gateway::resident_mb() const
{
    std::ifstream in("/proc/" + std::to_string(process_) + "/statm");
    double total = 0.0;
    double resident = 0.0;
    in >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1048576.0;
}

std::string configuration(const std::string& service)
{
    const auto route = [&](const char* name, const char* kind, int runs) {
        return std::string(R"({"name":")") + name +
               R"(","host":"estado.example","prefix":"/)" + name +
               R"(/","kind":")" + kind +
               R"(","timeout_ms":20000,"target_latency_ms":1000,"priority":1,)"
               R"("service":")" +
               service + R"(","max_attempts":)" + std::to_string(runs) +
               R"(,"resumable":false})";
    };
    return R"({"version":7,"routes":[)" + route("estado", "safe", 2) + "," +
           route("confirma", "unsafe", 1) + "," +
           route("resumen", "streaming", 1) + R"(],"services":[{"name":")" +
           service +
           R"(","health_path":"/health","max_conns":370,"protocol":"h1",)"
           R"("tls":false}],"limits":{"max_header_bytes":16384,)"
           R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
           R"("idle_timeout_ms":15000}})";
}

temporary_folder::temporary_folder()
{
    auto name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    path_ = ::mkdtemp(name.data());
}

temporary_folder::~temporary_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

} // namespace review
