/// Stand-ins of the platform, engines and a plain service on loopback.

#include <barleyfork/net/io_worker.hpp>
#include <barleyfork/standins/engine_standin.hpp>
#include <barleyfork/standins/platform_standin.hpp>
#include <barleyfork/standins/service_standin.hpp>

#include <chrono>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

DEFINE_uint32(platform_port, 7100, "port of table, objects and instances");
DEFINE_uint32(service_port, 7150, "first port of the plain services");
DEFINE_uint32(services, 1, "plain services");
DEFINE_uint32(engine_port, 7200, "first port of the engines");
DEFINE_uint32(engines, 3, "engines, named engine-0, engine-1, ...");
DEFINE_uint32(engine_memory_mib, 81920, "accelerator memory of each engine");
DEFINE_uint32(adapter_slab_mib, 8192, "memory for adapters of each engine");
DEFINE_uint32(load_ms, 200, "time that a model load takes");
DEFINE_uint32(first_token_ms, 20, "time to the first token");
DEFINE_uint32(between_tokens_ms, 10, "time between tokens");
DEFINE_bool(checks_fencing, true, "refuse orders of old fencing numbers");

namespace {

constexpr std::size_t ring_capacity = 1024;
constexpr std::chrono::milliseconds signal_poll{50};

volatile std::sig_atomic_t stop_signal = 0;

void on_signal(int number)
{
    stop_signal = number;
}

barleyfork::engine_standin_options engine_options(unsigned index)
{
    barleyfork::engine_standin_options options;
    options.name = "engine-" + std::to_string(index);
    options.memory_mib = FLAGS_engine_memory_mib;
    options.adapter_slab_mib = FLAGS_adapter_slab_mib;
    options.checks_fencing = FLAGS_checks_fencing;
    options.load_ms = FLAGS_load_ms;
    options.first_token_ms = FLAGS_first_token_ms;
    options.between_tokens_ms = FLAGS_between_tokens_ms;
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("standins [--platform_port N ...]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
    std::signal(SIGPIPE, SIG_IGN);
    barleyfork::io_worker loop("standins", ring_capacity);
    barleyfork::platform_standin platform(loop);
    std::vector<std::unique_ptr<barleyfork::service_standin>> services;
    std::vector<std::unique_ptr<barleyfork::engine_standin>> engines;
    const auto port = [](unsigned base, unsigned index) {
        return static_cast<std::uint16_t>(base + index);
    };
    bool listening = platform.listen(port(FLAGS_platform_port, 0)) != 0;
    for (unsigned i = 0; i < FLAGS_services; ++i) {
        services.push_back(std::make_unique<barleyfork::service_standin>(loop));
        listening &= services.back()->listen(port(FLAGS_service_port, i)) != 0;
    }
    for (unsigned i = 0; i < FLAGS_engines; ++i) {
        engines.push_back(std::make_unique<barleyfork::engine_standin>(
            loop, engine_options(i)));
        listening &= engines.back()->listen(port(FLAGS_engine_port, i)) != 0;
    }
    if (!listening) {
        std::cerr << "standins: a port is taken; pass other ports\n";
        return 1;
    }
    loop.start();
    while (stop_signal == 0)
        std::this_thread::sleep_for(signal_poll);
    loop.stop();
    loop.discard();
    return 0;
}
