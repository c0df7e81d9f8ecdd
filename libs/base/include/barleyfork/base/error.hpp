#ifndef BARLEYFORK_BASE_ERROR_HPP
#define BARLEYFORK_BASE_ERROR_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace barleyfork {

/// Every kind of error that reaches a caller, an operator or a log.
///
/// The values are stable: they stand in logs and answers.
enum class errc : std::uint8_t
{
    ok = 0,
    /// Settings or a declaration do not match their schema.
    invalid_input = 1,
    /// The caller's key is unknown, or the target is not the caller's.
    not_found = 2,
    /// The organisation's own limit is used up.
    limit_reached = 3,
    /// The pool has no room for the request within its target.
    overloaded = 4,
    /// No replica could be reached; the request was not run.
    no_replica = 5,
    /// The request was sent and its end is not known.
    outcome_unknown = 6,
    /// The request crashed backend servers before and is refused.
    quarantined = 7,
    /// The platform's table service cannot be reached.
    store_unavailable = 8,
    /// Another writer changed the row first.
    conflict = 9,
    /// The declared models do not fit into the backend servers' memory.
    does_not_fit = 10,
    /// A call with the same idempotency key is being run.
    in_progress = 11,
    /// The daemon is shutting down.
    draining = 12,
    /// A peer or an engine broke its protocol.
    protocol_error = 13,
    /// A time limit passed.
    timeout = 14,
    /// The caller sent more than the settings allow.
    too_large = 15,
    /// The operator's key is missing or wrong.
    forbidden = 16,
    /// A daemon has not confirmed a staged configuration.
    not_confirmed = 17,
    /// The idempotency key was used before with another request.
    key_reused = 18,
    /// The connection broke before its end.
    connection_lost = 19,
    /// The order carried an old fencing number.
    stale_fence = 20,
    /// The request's handling is about to change; ask again.
    undecided = 21,
};

/// The category of `errc`; its messages name the remedy.
const std::error_category& error_category() noexcept;

/// Makes a standard code from the project's kind.
std::error_code make_error_code(errc value) noexcept;

/// The short name of a kind as it stands in logs and answers.
std::string_view error_name(errc value) noexcept;

/// A code with the particulars of one case.
struct failure
{
    std::error_code code;
    std::string detail;

    /// True where something failed.
    explicit operator bool() const noexcept
    {
        return static_cast<bool>(code);
    }

    /// The code's message, which names the remedy, with the particulars.
    std::string message() const;
};

/// Makes a failure of kind `value` with particulars.
failure make_failure(errc value, std::string detail);

/// The project's kind of `code`, or `protocol_error` for a foreign code.
errc kind_of(const std::error_code& code) noexcept;

} // namespace barleyfork

template <>
struct std::is_error_code_enum<barleyfork::errc> : std::true_type
{
};

#endif
