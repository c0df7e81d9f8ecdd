#ifndef BARLEYFORK_TESTING_PROCESS_MEMORY_HPP
#define BARLEYFORK_TESTING_PROCESS_MEMORY_HPP

#include <cstddef>
#include <fstream>

namespace barleyfork::testing {

/// Returns the resident memory of this process, in MB.
inline std::size_t resident_mb()
{
    std::ifstream status("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    status >> total >> resident;
    constexpr std::size_t pages_in_mb = 256;
    return resident / pages_in_mb;
}

} // namespace barleyfork::testing

#endif
