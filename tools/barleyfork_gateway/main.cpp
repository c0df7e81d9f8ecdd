/// The gateway on the users' platform: reads its settings, serves, drains.

#include <barleyfork/base/heap.hpp>
#include <barleyfork/base/log.hpp>
#include <barleyfork/gateway/gateway.hpp>
#include <barleyfork/platform/platform.hpp>
#include <barleyfork/schema/toml_reader.hpp>

#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

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

/// Names the settings file where the command line does not.
constexpr const char* settings_variable = "BARLEYFORK_SETTINGS";

std::string settings_path()
{
    if (!FLAGS_config.empty())
        return FLAGS_config;
    const char* path = std::getenv(settings_variable);
    return path == nullptr ? "" : path;
}

int fail(int code, const std::string& message)
{
    std::cerr << "barleyfork_gateway: " << message << "\n";
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    barleyfork::return_freed_buffers();
    gflags::SetVersionString(BARLEYFORK_VERSION);
    gflags::SetUsageMessage("barleyfork_gateway --config FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto path = settings_path();
    if (path.empty())
        return fail(exit_bad_settings,
                    "pass --config FILE or set BARLEYFORK_SETTINGS");
    std::string text;
    barleyfork::schema::gateway_settings_record settings;
    auto error = barleyfork::read_file(path, text);
    if (!error)
        error = barleyfork::parse_gateway_settings(text, path, settings);
    barleyfork::platform_port platform;
    if (!error)
        error = barleyfork::make_platform_port(*settings.store, platform);
    if (error)
        return fail(exit_bad_settings, error.message());
    if (FLAGS_check_config) {
        std::cout << path << ": the settings are valid\n";
        return exit_ok;
    }
    std::signal(SIGPIPE, SIG_IGN);
    barleyfork::start_log(
        settings.log->level, settings.log->file, settings.instance);
    barleyfork::gateway running(std::move(settings), path, std::move(platform));
    if (const auto failed = running.start()) {
        barleyfork::stop_log();
        return fail(exit_cannot_start, failed.message());
    }
    const bool whole = running.wait();
    barleyfork::flush_log();
    // Nothing of this process outlives it, so nothing is taken down; a thread
    // that is slow to end must not use up the time to stop.
    std::_Exit(whole ? exit_ok : exit_cut);
}
