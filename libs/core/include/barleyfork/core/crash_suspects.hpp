#ifndef BARLEYFORK_CORE_CRASH_SUSPECTS_HPP
#define BARLEYFORK_CORE_CRASH_SUSPECTS_HPP

#include <cstdint>
#include <vector>

namespace barleyfork {

/// Identifies what may crash servers: a request, by its fingerprint, or a part
/// of the prompts of many requests. The highest bit tells which, so that both
/// are blamed, reported and stored alike.
using crash_suspect = std::uint64_t;

/// Returns the suspect for a request of this hash.
crash_suspect make_request_suspect(std::uint64_t hash) noexcept;

/// Returns the suspect for a part of prompts of this hash.
crash_suspect make_part_suspect(std::uint64_t hash) noexcept;

/// Returns whether the suspect is a part of prompts.
bool is_prompt_part(crash_suspect suspect) noexcept;

/// Everything by which one request may crash a server.
struct crash_suspects
{
    /// The fingerprint of the request as a whole.
    crash_suspect request = 0;
    /// The parts of its prompt that other requests may share.
    std::vector<crash_suspect> parts;

    bool contains(crash_suspect suspect) const noexcept;

    /// Returns the request followed by the parts.
    std::vector<crash_suspect> all() const;
};

} // namespace barleyfork

#endif
