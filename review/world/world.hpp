#ifndef BARLEYFORK_REVIEW_WORLD_HPP
#define BARLEYFORK_REVIEW_WORLD_HPP

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins for the review's scripts: the platform's store, backend servers,
/// callers, and the deployed gateway as a process of its own. All of them use
/// loopback addresses and the real clock.
namespace review {

using clock = std::chrono::steady_clock;

/// Milliseconds since the program started.
long long now_ms();
void sleep_ms(long long milliseconds);

/// The name of the platform's wire for `key`, from wire.txt.
std::string wire(const std::string& key);

/// Whether the script plays its disruption (the variable TROUBLE is not 0).
bool has_trouble();

/// Writes what was sent, answered and run, with the time.
class record
{
public:
    explicit record(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream out_;
};

std::uint16_t free_port();

/// A message with a body by length. `complete` is false where the connection
/// ended before that.
struct message
{
    std::string head;
    std::string body;
    bool complete = false;

    std::string header(const std::string& name) const;
    std::string path() const;
    unsigned status() const;
};

/// A blocking TCP connection.
class connection
{
public:
    explicit connection(int descriptor);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    /// Connects like a caller on a link with packets of 1,460 bytes. A receive
    /// buffer of `window` bytes stands for the link's small window; 0 leaves
    /// the usual one.
    static std::unique_ptr<connection> to(std::uint16_t port, int window = 0);

    bool send(const std::string& bytes);
    /// Reads one message. A rate above 0 is the link's, in bytes a second.
    message read(double bytes_per_second = 0.0);
    /// Reads until `count` bytes or the head's end have come; false at the end
    /// of the connection.
    bool fill(std::size_t size);
    /// Reads until the other side closes or 3 s pass without a byte.
    std::string read_all();
    void close();
    int descriptor() const;

private:
    int descriptor_;
    std::string buffer_;
};

/// Listens on loopback and serves each connection in a thread.
class listener
{
public:
    using handler = std::function<void(connection&)>;

    explicit listener(handler serve);
    ~listener();
    std::uint16_t port() const
    {
        return port_;
    }

private:
    void accept_all();

    handler serve_;
    int descriptor_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

/// The platform's store: rows, their changes, and conditional writes.
class store
{
public:
    store();
    void put(const std::string& table,
             const std::string& key,
             const std::string& value);
    void remove(const std::string& table, const std::string& key);
    std::string value(const std::string& table, const std::string& key) const;
    std::uint16_t port() const
    {
        return listener_.port();
    }

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };

    void serve(connection& caller);
    std::string answer(const message& request);
    std::string read_rows(const std::string& target);
    std::string read_feed(const std::string& target);
    std::string write_rows(const std::string& body);
    std::string rows_text(const std::string& table,
                          std::uint64_t after,
                          const std::string& from,
                          const std::string& to) const;
    std::string closing(std::uint64_t version) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, row> rows_;
    std::uint64_t version_ = 1;
    listener listener_;
};

/// A backend server that registers itself with heartbeats.
class server
{
public:
    /// Serves one request; false closes the connection.
    using handler = std::function<bool(connection&, const message&)>;

    server(store& platform,
           std::string id,
           std::string service,
           handler answer);
    ~server();

private:
    void beat();

    store& store_;
    std::string id_;
    std::string service_;
    handler answer_;
    std::uint64_t born_ms_;
    std::atomic<bool> stopping_{false};
    listener listener_;
    std::thread beats_;
};

/// A sound answer of a server to a request.
std::string sound_answer(const message& request, const std::string& body);

/// A caller's request.
std::string request_text(const std::string& method,
                         const std::string& path,
                         const std::string& attempt,
                         int deadline_ms,
                         const std::string& body = "");

/// The deployed gateway, started with the command of the deploy file.
class gateway
{
public:
    /// `root` is the repository, `folder` a temporary one.
    gateway(std::string root,
            std::string folder,
            std::string instance,
            std::uint16_t store_port);
    ~gateway();
    void start();
    void signal(int number) const;
    /// True where the process has ended.
    bool has_ended();
    bool wait_until_ready(int milliseconds) const;
    double resident_mb() const;
    std::uint16_t port() const
    {
        return caller_port_;
    }

private:
    void write_settings() const;

    std::string root_;
    std::string folder_;
    std::string instance_;
    std::uint16_t store_port_;
    std::uint16_t caller_port_;
    std::uint16_t ready_port_;
    std::uint16_t peer_port_;
    std::uint16_t metrics_port_;
    bool is_first_start_ = true;
    pid_t process_ = -1;
};

/// The configuration of one service with routes for all kinds of requests.
std::string configuration(const std::string& service);

/// A temporary folder, removed at the end.
class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder();
    const std::string& path() const
    {
        return path_;
    }

private:
    std::string path_;
};

} // namespace review

#endif
