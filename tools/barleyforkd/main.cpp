/// The daemon: reads its settings, serves until told to end, drains.

#include <barleyfork/base/heap.hpp>
#include <barleyfork/base/log.hpp>
#include <barleyfork/daemon/daemon.hpp>
#include <barleyfork/schema/toml_reader.hpp>

#include <chrono>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(config, "", "the settings file (TOML)");
DEFINE_bool(check_config, false, "check the settings file and end");

namespace {

enum exit_code : int
{
    exit_ok = 0,
    exit_cut = 1,
    exit_bad_settings = 2,
    exit_cannot_start = 3,
};

constexpr std::chrono::milliseconds signal_poll{50};

volatile std::sig_atomic_t stop_signal = 0;

void on_signal(int number)
{
    stop_signal = number;
}

void wait_for_end(const barleyfork::daemon& running)
{
    while (stop_signal == 0 && !running.drain_asked())
        std::this_thread::sleep_for(signal_poll);
}

} // namespace

int main(int argc, char** argv)
{
    barleyfork::return_freed_buffers();
    gflags::SetVersionString(BARLEYFORK_VERSION);
    gflags::SetUsageMessage("barleyforkd --config FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_config.empty()) {
        std::cerr << "barleyforkd: pass --config FILE\n";
        return exit_bad_settings;
    }
    std::string text;
    barleyfork::schema::daemon_settings_record settings;
    auto error = barleyfork::read_file(FLAGS_config, text);
    if (!error)
        error = barleyfork::parse_settings(text, FLAGS_config, settings);
    if (error) {
        std::cerr << "barleyforkd: " << error.message() << "\n";
        return exit_bad_settings;
    }
    if (FLAGS_check_config) {
        std::cout << FLAGS_config << ": the settings are valid\n";
        return exit_ok;
    }
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
    std::signal(SIGPIPE, SIG_IGN);
    barleyfork::start_log(
        settings.log->level, settings.log->file, settings.instance);
    barleyfork::daemon running(std::move(settings));
    if (auto failed = running.start()) {
        std::cerr << "barleyforkd: " << failed.message() << "\n";
        barleyfork::stop_log();
        return exit_cannot_start;
    }
    wait_for_end(running);
    const bool whole = running.drain();
    barleyfork::stop_log();
    return whole ? exit_ok : exit_cut;
}
