/// The operators' command-line tool.

#include "commands.hpp"

#include <barleyfork/schema/toml_reader.hpp>

#include <gflags/gflags.h>
#include <iostream>
#include <string>
#include <vector>

DEFINE_string(address, "127.0.0.1:7310", "operator address of a daemon");
DEFINE_string(key_file, "", "file with the operator key");
DEFINE_string(operator_name, "", "who applies; stands in history and logs");
DEFINE_string(output, "table", "table or json");
DEFINE_bool(dry_run, false, "with apply: print the difference only");
DEFINE_bool(wait, false, "with apply: until in force on every daemon");
DEFINE_int64(expect_revision, -1, "with apply: refuse unless this is newest");

namespace {

std::string read_key()
{
    std::string key;
    if (FLAGS_key_file.empty() || barleyfork::read_file(FLAGS_key_file, key))
        return {};
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
        key.pop_back();
    return key;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetVersionString(BARLEYFORK_VERSION);
    gflags::SetUsageMessage("barleyfork [--address IP:PORT] [--key_file F] "
                            "COMMAND [ARGUMENT]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_output != "table" && FLAGS_output != "json") {
        std::cerr << "barleyfork: --output is table or json\n";
        return static_cast<int>(barleyfork::tool_exit::usage);
    }
    barleyfork::command_options options;
    options.json_output = FLAGS_output == "json";
    options.dry_run = FLAGS_dry_run;
    options.wait = FLAGS_wait;
    options.expect_revision = FLAGS_expect_revision;
    barleyfork::operator_client client(
        FLAGS_address, read_key(), FLAGS_operator_name);
    const std::vector<std::string> words(argv + 1, argv + argc);
    return static_cast<int>(barleyfork::run_command(client, words, options));
}
