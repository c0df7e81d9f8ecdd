/// Runs scenario scripts, each in a cluster of its own.

#include "runner.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/schema/toml_reader.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace barleyfork;

bool run_file(const std::string& path)
{
    std::string text;
    std::vector<scenario::statement> script;
    auto error = read_file(path, text);
    if (!error)
        error = scenario::parse_script(text, script);
    if (error) {
        std::cerr << path << ": " << error.message() << "\n";
        return false;
    }
    try {
        scenario::runner().run(script);
        std::cout << path << ": held\n";
        return true;
    }
    catch (const std::exception& caught) {
        std::cerr << path << ": " << caught.what() << "\n";
        return false;
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const char* level = std::getenv("BARLEYFORK_LOG");
    if (level != nullptr)
        barleyfork::start_log(level, "", "scenario");
    int failed = 0;
    for (int i = 1; i < argc; ++i)
        failed += run_file(argv[i]) ? 0 : 1;
    std::cout << argc - 1 - failed << " passed, " << failed << " failed\n";
    barleyfork::stop_log();
    return failed == 0 ? 0 : 1;
}
