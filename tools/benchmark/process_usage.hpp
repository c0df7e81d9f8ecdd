#ifndef BARLEYFORK_TOOLS_BENCHMARK_PROCESS_USAGE_HPP
#define BARLEYFORK_TOOLS_BENCHMARK_PROCESS_USAGE_HPP

namespace barleyfork {

/// What a process has used, read from /proc.
struct process_usage
{
    /// Seconds of processor time, user and system.
    double cpu_seconds = 0.0;
    /// Resident memory in KiB.
    double resident_kib = 0.0;
};

/// Reads the usage of a process; zeros where it is not there.
process_usage read_usage(int pid);

} // namespace barleyfork

#endif
