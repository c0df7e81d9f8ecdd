#include "cluster.hpp"

#include <barleyfork/base/digest.hpp>
#include <barleyfork/schema/toml_reader.hpp>

#include <sstream>
#include <stdexcept>

namespace barleyfork::scenario {

namespace {

constexpr std::size_t ring_capacity = 8192;
constexpr const char* operator_key = "operator-key";
constexpr std::size_t first_host = 11;
constexpr std::size_t failure_domains = 3;

std::string domain_of(std::size_t index)
{
    return "domain-" + std::to_string(index % failure_domains);
}

std::string region_of(std::size_t index)
{
    return index % failure_domains == 2 ? "far" : "near";
}

} // namespace

cluster::cluster(const cluster_options& options)
    : options_(options), loop_("standins", ring_capacity), platform_(loop_),
      places_(options.daemons)
{
    platform_port_ = platform_.listen(0);
    for (std::size_t i = 0; i < options.engines; ++i) {
        engine_standin_options engine;
        engine.name = "engine-" + std::to_string(i);
        engine.memory_mib = options.engine_memory_mib;
        engine.adapter_slab_mib = options.adapter_slab_mib;
        engine.checks_fencing = i < options.ignoring_from;
        engine.load_ms = options.load_ms;
        engine.between_tokens_ms = options.between_tokens_ms;
        engines_.push_back(std::make_unique<engine_standin>(loop_, engine));
        engine_ports_.push_back(engines_.back()->listen(0));
    }
    for (std::size_t i = 0; i < options.services; ++i) {
        services_.push_back(std::make_unique<service_standin>(loop_));
        service_ports_.push_back(services_.back()->listen(0));
    }
    for (auto& where : places_) {
        where.platform_link =
            std::make_unique<link_standin>(loop_, "127.0.0.1", platform_port_);
        where.platform_port = where.platform_link->listen();
    }
    loop_.start();
    for (std::size_t i = 0; i < places_.size(); ++i)
        start(i);
}

cluster::~cluster()
{
    for (auto& where : places_)
        where.running.reset();
    loop_.stop();
    loop_.discard();
}

void cluster::start(std::size_t index)
{
    auto& where = places_.at(index);
    ++where.runs;
    where.instance =
        "entry-" + std::to_string(index) + "-" + std::to_string(where.runs);
    where.address = "127.0.0." + std::to_string(first_host + index);
    schema::daemon_settings_record settings;
    const auto error =
        parse_settings(settings_of(where, index), where.instance, settings);
    if (error)
        throw std::runtime_error(error.message());
    where.running = std::make_unique<daemon>(std::move(settings));
    if (const auto failed = where.running->start())
        throw std::runtime_error(failed.message());
    if (where.peer_link)
        old_links_.push_back(std::move(where.peer_link));
    where.peer_link = std::make_unique<link_standin>(
        loop_, where.address, where.running->peer_port());
    enlist(where, index, where.peer_link->listen());
}

void cluster::kill(std::size_t index)
{
    places_.at(index).running.reset();
}

bool cluster::drain(std::size_t index)
{
    auto& where = places_.at(index);
    const bool whole = where.running->drain();
    where.running.reset();
    return whole;
}

void cluster::unlist(std::size_t index)
{
    call(platform_port_, "DELETE", "/instances/" + places_.at(index).instance);
}

void cluster::cut(std::size_t index)
{
    auto& where = places_.at(index);
    where.platform_link->cut("");
    where.peer_link->cut("");
    for (std::size_t i = 0; i < places_.size(); ++i)
        if (i != index && places_[i].peer_link)
            places_[i].peer_link->cut(where.address);
}

void cluster::heal()
{
    for (auto& where : places_) {
        where.platform_link->heal();
        if (where.peer_link)
            where.peer_link->heal();
    }
}

daemon* cluster::at(std::size_t index)
{
    return places_.at(index).running.get();
}

std::uint16_t cluster::engine_port(std::size_t index) const
{
    return engine_ports_.at(index);
}

std::uint16_t cluster::service_port(std::size_t index) const
{
    return service_ports_.at(index);
}

caller_answer cluster::call(std::uint16_t port,
                            const std::string& method,
                            const std::string& path,
                            const std::string& body)
{
    caller_call request;
    request.port = port;
    request.method = method;
    request.path = path;
    request.body = body;
    return caller(std::move(request)).wait();
}

caller_answer cluster::operate(std::size_t index,
                               const std::string& method,
                               const std::string& path,
                               const std::string& body,
                               const std::string& name)
{
    caller_call request;
    request.port = places_.at(index).running->operator_port();
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = {{"Authorization", std::string("Bearer ") + operator_key},
                       {"X-Operator", name}};
    return caller(std::move(request)).wait();
}

/// Short times, so that a scenario takes seconds.
std::string cluster::settings_of(const place& where, std::size_t index) const
{
    const auto platform =
        "\"http://127.0.0.1:" + std::to_string(where.platform_port) + "\"\n";
    std::ostringstream out;
    out << "instance = \"" << where.instance << "\"\n"
        << "region = \"" << region_of(index) << "\"\n"
        << "failure_domain = \"" << domain_of(index) << "\"\n"
        << "operator_key_digest = \"" << content_digest(operator_key) << "\"\n"
        << "[caller_listen]\naddress = \"127.0.0.1\"\n"
        << "[operator_listen]\naddress = \"127.0.0.1\"\n"
        << "[peer_listen]\naddress = \"" << where.address << "\"\n"
        << "[platform]\ntable_url = " << platform << "object_url = " << platform
        << "instance_list_url = " << platform
        << "poll_interval_ms = 100\ninstance_list_interval_ms = 100\n"
        << "request_timeout_ms = 400\n"
        << "[routing]\nreport_polls_per_second = 50\nconnect_timeout_ms = 300\n"
        << "first_byte_timeout_ms = 2000\nprogress_timeout_ms = 800\n"
        << "retry_percent = " << options_.retry_percent << "\n"
        << "server_slots = " << options_.server_slots << "\n"
        << "[peer]\nsecret = \"peer-secret\"\nprobe_interval_ms = 100\n"
        << "probe_timeout_ms = 100\nsuspicion_ms = 500\n"
        << "[controller]\ninterval_ms = 100\nlease_ms = 1200\n"
        << "order_timeout_ms = 2000\nstage_timeout_ms = 1500\n";
    return out.str();
}

void cluster::enlist(const place& where, std::size_t index, std::uint16_t port)
{
    std::ostringstream body;
    body << R"({"instance":")" << where.instance
         << R"(","role":"daemon","state":"live","address":"127.0.0.1","port":)"
         << port << R"(,"region":")" << region_of(index)
         << R"(","failure_domain":")" << domain_of(index) << "\"}";
    call(platform_port_, "PUT", "/instances/" + where.instance, body.str());
}

std::string cluster::declaration(const declaration_options& options) const
{
    std::ostringstream out;
    out << "name = \"" << options.note << "\"\n"
        << "[policy]\nmove_price = 1.0\nloads_per_second = 100.0\n"
        << "loads_at_once = 8\ncell_servers = " << options.cell_servers << "\n";
    for (const auto* name : {"desk", "crews"})
        out << "[[organisations]]\nname = \"" << name << "\"\nkey_digests = [\""
            << content_digest(std::string("key-of-") + name)
            << "\"]\nrequests_per_second = " << options.requests_per_second
            << "\ntokens_per_second = 1000000\n";
    for (std::size_t i = 0; i < options.models; ++i)
        out << "[[models]]\nname = \"m" << i
            << "\"\nowner = \"desk\"\nversion = " << options.version
            << "\nmemory_mib = " << options.memory_mib
            << "\nsource = \"weights/m" << i
            << "\"\nmin_replicas = " << options.min_replicas
            << "\nmax_replicas = " << options.max_replicas
            << "\nrequests_per_second_per_replica = 50.0\n";
    for (std::size_t i = 0; i < options.adapters; ++i)
        out << "[[adapters]]\nname = \"a" << i
            << "\"\nbase_model = \"desk/m0\"\nmemory_mib = "
            << options.adapter_mib << "\n";
    for (std::size_t i = 0; i < engine_ports_.size(); ++i)
        out << "[[backend_servers]]\nname = \"engine-" << i
            << "\"\nurl = \"http://127.0.0.1:" << engine_ports_[i]
            << "\"\nregion = \"" << region_of(i) << "\"\nfailure_domain = \""
            << domain_of(i) << "\"\nmemory_mib = " << options_.engine_memory_mib
            << "\nadapter_slab_mib = " << options_.adapter_slab_mib
            << "\nchecks_fencing = "
            << (i < options_.ignoring_from ? "true" : "false") << "\n";
    for (std::size_t i = 0; i < service_ports_.size(); ++i)
        out << "[[backend_servers]]\nname = \"service-" << i
            << "\"\nurl = \"http://127.0.0.1:" << service_ports_[i]
            << "\"\nregion = \"near\"\nfailure_domain = \"" << domain_of(i)
            << "\"\nservice = \"bookings\"\n";
    if (!service_ports_.empty())
        out << "[[routes]]\npath = \"/bookings/\"\nowner = \"crews\"\n"
            << "service = \"bookings\"\nidempotent = false\n";
    return out.str();
}

} // namespace barleyfork::scenario
