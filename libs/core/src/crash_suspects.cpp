#include <barleyfork/core/crash_suspects.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

constexpr crash_suspect part_bit = crash_suspect{1} << 63U;

} // namespace

crash_suspect make_request_suspect(std::uint64_t hash) noexcept
{
    return hash & ~part_bit;
}

crash_suspect make_part_suspect(std::uint64_t hash) noexcept
{
    return hash | part_bit;
}

bool is_prompt_part(crash_suspect suspect) noexcept
{
    return (suspect & part_bit) != 0;
}

bool crash_suspects::contains(crash_suspect suspect) const noexcept
{
    return suspect == request ||
           std::find(parts.begin(), parts.end(), suspect) != parts.end();
}

std::vector<crash_suspect> crash_suspects::all() const
{
    std::vector<crash_suspect> found{request};
    found.insert(found.end(), parts.begin(), parts.end());
    return found;
}

} // namespace barleyfork
