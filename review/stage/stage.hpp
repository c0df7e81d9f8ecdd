#ifndef BARLEYFORK_REVIEW_STAGE_STAGE_HPP
#define BARLEYFORK_REVIEW_STAGE_STAGE_HPP

#include <atomic>
#include <boost/json.hpp>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

/// Stand-ins for the second review: a store, backend servers and callers on
/// loopback, and the gateway's processes. Names of the platform's wire stand in
/// names.txt, one `key name` a line.
namespace stage {

/// Seconds since the start of the program.
double now();
void pause(double seconds);

/// Reads the names of the wire.
void load_names(const std::string& file);
const std::string& name(const std::string& key);

/// Writes lines with their time to the record and, if told, to the terminal.
void open_record(const std::string& file);
void record(const std::string& line, bool is_shown = false);

/// A message of HTTP/1.1 with a body of a known length.
struct message
{
    std::string first_line;
    /// By name in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const;
    /// The second word of a request's first line, without its query.
    std::string path() const;
    std::string query(const std::string& key) const;
    /// The status of an answer; 0 if it is none.
    int status() const;
};

/// A blocking connection; closed at its end.
class connection
{
public:
    explicit connection(int descriptor);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    /// Connects to a port on loopback; null if nobody listens.
    static std::unique_ptr<connection> open(std::uint16_t port);

    bool send(const std::string& bytes) const;
    /// Returns nothing if the other side closed first, or nothing came for the
    /// time given.
    std::optional<message> read(double seconds = 30.0);
    /// Reads a message without its body.
    std::optional<message> read_head(double seconds);
    /// Reads the body that belongs to a head; false if it did not come whole.
    bool read_body(const message& head, double seconds);
    /// Resets the connection at its end.
    void reset() const;

private:
    bool fill(double until);

    int descriptor_;
    std::string buffer_;
};

std::string
make_answer(int status,
            const std::vector<std::pair<std::string, std::string>>& headers,
            const std::string& body);

/// Listens on a free port of loopback and serves each connection in a thread.
class listener
{
public:
    /// Answers one request; false closes the connection.
    using handler = std::function<bool(connection&, const message&)>;

    enum class option
    {
        whole_requests,
        /// The handler reads the bodies.
        heads_only,
    };

    explicit listener(handler handle, option how = option::whole_requests);
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

private:
    handler handle_;
    std::uint16_t port_ = 0;
};

std::uint16_t free_port();

/// The platform's store: rows, transactions, changes.
class store
{
public:
    store();

    std::uint16_t port() const
    {
        return listener_->port();
    }

    /// Writes a row as the operator or a backend server does.
    void put(const std::string& table,
             const std::string& key,
             const boost::json::value& value);

    /// Returns the value of a row that the system wrote; null if there is none.
    boost::json::value read(const std::string& table, const std::string& key);

private:
    using place = std::pair<std::string, std::string>;
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
    };

    bool answer(connection& to, const message& request);
    std::uint64_t apply(const place& at, const std::string& value);
    boost::json::object encode(const place& at, const row& state) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<place, row> rows_;
    std::uint64_t version_ = 0;
    std::unique_ptr<listener> listener_;
};

/// What a backend server got as an order.
struct order
{
    double at = 0.0;
    std::string server;
    std::string holder;
    std::int64_t fence = 0;
    std::string text;
    int status = 0;
};

/// A sound model server: it holds models and adapters, carries out orders and
/// answers requests for what it holds.
class engine
{
public:
    /// Answers a request before the server does; nothing leaves it to it.
    using refusal = std::function<std::optional<std::string>(const message&)>;

    engine(store& platform,
           std::string id,
           const std::vector<std::string>& models,
           refusal refuse = {});

    std::vector<order> orders() const;

    /// Writes its entry again, as each heartbeat does.
    void beat();

private:
    bool answer(connection& to, const message& request);
    bool answer_order(connection& to, const message& request);
    boost::json::array held() const;

    store& platform_;
    std::string id_;
    refusal refuse_;
    mutable std::mutex mutex_;
    std::map<std::string, std::vector<std::string>> models_;
    std::int64_t sequence_ = 0;
    std::int64_t beats_ = 0;
    std::vector<order> orders_;
    std::unique_ptr<listener> listener_;
};

/// A process of the gateway, started with the command of the deploy file.
class gateway
{
public:
    gateway(std::string instance, std::uint16_t store_port, std::string folder);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    void start();
    void signal(int number);
    /// Waits for the end of the process; false if it still runs then.
    bool wait_for_end(double seconds);
    /// Returns how the process ended by itself; empty while it runs.
    std::string end();
    bool is_ready() const;
    bool wait_until_ready(double seconds) const;

    const std::string& instance() const
    {
        return instance_;
    }

    std::uint16_t callers() const
    {
        return callers_;
    }

private:
    std::string instance_;
    std::uint16_t store_port_;
    std::string folder_;
    std::uint16_t callers_ = free_port();
    std::uint16_t ready_ = free_port();
    std::uint16_t peers_ = free_port();
    bool is_first_start_ = true;
    pid_t process_ = -1;
};

/// The configuration of one service of model servers and one plain service.
boost::json::value make_configuration(std::size_t models, std::size_t adapters);

} // namespace stage

#endif
