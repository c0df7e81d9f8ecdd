#include "process_usage.hpp"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace barleyfork {

namespace {

/// Fields of /proc/PID/stat between the command's end and the user time.
constexpr int fields_before_user_time = 11;
constexpr double bytes_per_kib = 1024.0;

} // namespace

process_usage read_usage(int pid)
{
    process_usage usage;
    const auto folder = "/proc/" + std::to_string(pid);
    std::ifstream stat(folder + "/stat");
    std::string text;
    std::getline(stat, text);
    const auto command_end = text.rfind(')');
    if (command_end == std::string::npos)
        return usage;
    std::istringstream fields(text.substr(command_end + 1));
    std::string skipped;
    for (int i = 0; i < fields_before_user_time; ++i)
        fields >> skipped;
    double user = 0.0;
    double system = 0.0;
    fields >> user >> system;
    usage.cpu_seconds =
        (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream memory(folder + "/statm");
    double total = 0.0;
    double resident = 0.0;
    memory >> total >> resident;
    usage.resident_kib =
        resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytes_per_kib;
    return usage;
}

} // namespace barleyfork
