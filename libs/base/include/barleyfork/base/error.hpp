#ifndef BARLEYFORK_BASE_ERROR_HPP
#define BARLEYFORK_BASE_ERROR_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace barleyfork {

/// The kinds of error that are reported to callers, operators and logs.
///
/// The values are stable because logs and responses contain them.
enum class errc : std::uint8_t
{
    ok = 0,
    /// Settings or a declaration do not match their schema.
    invalid_input = 1,
    /// The caller's key is unknown, or the target belongs to another
    /// organisation.
    not_found = 2,
    /// The organisation has exhausted its own limit.
    limit_reached = 3,
    /// The pool has no capacity to serve the request within its latency
    /// target.
    overloaded = 4,
    /// No replica could be reached; the request was not run.
    no_replica = 5,
    /// The request was sent, but its outcome is unknown.
    outcome_unknown = 6,
    /// The request crashed backend servers before and is rejected.
    quarantined = 7,
    /// The platform's table service cannot be reached.
    store_unavailable = 8,
    /// Another writer changed the row first.
    conflict = 9,
    /// The declared models exceed the backend servers' memory.
    does_not_fit = 10,
    /// A call with the same idempotency key is in progress.
    in_progress = 11,
    /// The daemon is shutting down.
    draining = 12,
    /// A peer or an engine violated its protocol.
    protocol_error = 13,
    /// A time limit expired.
    timeout = 14,
    /// The request exceeds a size limit of the settings.
    too_large = 15,
    /// The operator's key is missing or wrong.
    forbidden = 16,
    /// A daemon has not confirmed a staged configuration.
    not_confirmed = 17,
    /// The idempotency key was already used with a different request.
    key_reused = 18,
    /// The connection broke before the exchange was complete.
    connection_lost = 19,
    /// The order carried an outdated fencing number.
    stale_fence = 20,
    /// The configuration for the request is being changed; the caller should
    /// retry.
    undecided = 21,
    /// The request needs a key that identifies an organisation and has none.
    unauthorized = 22,
};

/// Returns the error category of `errc`. Its messages name the remedy.
const std::error_category& error_category() noexcept;

/// Converts an `errc` to a standard error code; found by argument-dependent
/// lookup.
std::error_code make_error_code(errc value) noexcept;

/// Returns the short name of an error kind, as written in logs and responses.
std::string_view error_name(errc value) noexcept;

/// An error code with details of one occurrence.
struct failure
{
    std::error_code code;
    std::string detail;

    /// Returns true if this is an error.
    explicit operator bool() const noexcept
    {
        return static_cast<bool>(code);
    }

    /// Returns the details followed by the code's message, which names the
    /// remedy.
    std::string message() const;
};

/// Creates a failure of kind `value` with details.
failure make_failure(errc value, std::string detail);

/// Returns the `errc` of `code`; `ok` if `code` is no error and
/// `protocol_error` for an error of another category.
errc kind_of(const std::error_code& code) noexcept;

} // namespace barleyfork

template <>
struct std::is_error_code_enum<barleyfork::errc> : std::true_type
{
};

#endif
