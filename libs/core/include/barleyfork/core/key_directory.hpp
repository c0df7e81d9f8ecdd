#ifndef BARLEYFORK_CORE_KEY_DIRECTORY_HPP
#define BARLEYFORK_CORE_KEY_DIRECTORY_HPP

#include <barleyfork/base/time.hpp>
#include <barleyfork/core/gateway_configuration.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace barleyfork {

/// The organisations of one version of the configuration by the digests of
/// their keys. Not thread-safe.
class key_directory
{
public:
    key_directory() = default;

    /// The configuration must outlive this object and stay unchanged.
    explicit key_directory(const gateway_configuration& configuration);

    /// Returns the organisation that holds the key with this digest, or null
    /// if none or more than one does.
    const gateway_organisation* find(const std::string& digest) const;

private:
    /// Null for a key of more than one organisation.
    std::unordered_map<std::string, const gateway_organisation*> holders_;
};

/// Returns the key in the value of an `Authorization` header with the scheme
/// `Bearer`; nothing for any other value.
std::optional<std::string_view> parse_bearer_key(std::string_view value);

/// How long knowledge of the configuration decides about keys; zero is no
/// limit.
struct key_bounds
{
    /// A key that was withdrawn must not be accepted when this much time has
    /// passed since the store acknowledged its withdrawal.
    duration revocation{0};
    /// A key that is unknown here may have been added when knowledge is older.
    duration addition{0};
};

/// Whether a caller's request may run.
enum class key_verdict : std::uint8_t
{
    /// The request needs no key.
    not_needed,
    accepted,
    /// The request has no key, or its key identifies no organisation.
    unknown,
    /// What is known here is too old to decide.
    unconfirmed,
};

struct key_decision
{
    key_verdict verdict = key_verdict::not_needed;
    /// Set if the verdict is `accepted`.
    const gateway_organisation* organisation = nullptr;
};

/// Returns true if no key is accepted, since knowledge that is `age` old may
/// lack a withdrawal that is in force. The age is unset if nothing ever
/// confirmed the configuration.
bool is_too_old_for_keys(std::optional<duration> age, const key_bounds& bounds);

/// Decides on a request to `route`, which is null if there is none. `digest` is
/// that of the caller's key, empty if it sent no usable one. `age` is the time
/// since the configuration was last known to be the newest one, on a clock that
/// advances while the machine is suspended.
key_decision decide_on_key(const gateway_configuration& configuration,
                           const key_directory& keys,
                           const gateway_route* route,
                           const std::string& digest,
                           std::optional<duration> age,
                           const key_bounds& bounds);

} // namespace barleyfork

#endif
