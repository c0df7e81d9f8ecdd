#ifndef BARLEYFORK_CORE_CONFIGURATION_CHECK_HPP
#define BARLEYFORK_CORE_CONFIGURATION_CHECK_HPP

#include <barleyfork/core/gateway_configuration.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace barleyfork {

enum class finding_kind : std::uint8_t
{
    /// Requests would fail, or be served otherwise than declared.
    error,
    /// An entry that no request can ever use.
    unreachable,
    /// Two limits of which one makes the other pointless.
    contradiction,
};

/// Returns the name of a kind as the command-line tool prints it.
std::string_view finding_kind_name(finding_kind kind) noexcept;

/// Something that an operator should look at before sending a configuration.
struct configuration_finding
{
    finding_kind kind = finding_kind::error;
    /// The entry, such as `route r-1` or `organisation north`.
    std::string place;
    /// What is wrong, and the remedy.
    std::string text;
};

/// Returns what is wrong with a configuration that was decoded: dangling names,
/// entries that nothing can match, and limits that contradict each other. The
/// order is that of the configuration.
std::vector<configuration_finding>
check_configuration(const gateway_configuration& configuration);

} // namespace barleyfork

#endif
