#include <barleyfork/base/error.hpp>

#include <array>
#include <utility>

namespace barleyfork {

namespace {

struct error_entry
{
    std::string_view name;
    std::string_view message;
};

constexpr std::array<error_entry, 23> error_entries{{
    {"ok", "no error"},
    {"invalid_input", "the input is not valid; correct the named field"},
    {"not_found",
     "no such model or route for this key; check the key and the name "
     "with GET /v1/models"},
    {"limit_reached",
     "the organisation's limit is exhausted; retry after Retry-After"},
    {"overloaded", "the target cannot be met now; retry after Retry-After"},
    {"no_replica",
     "no replica could be reached and the request was not run; retry "
     "after Retry-After"},
    {"outcome_unknown",
     "the request was sent and its outcome is unknown; check with the "
     "service before retrying"},
    {"quarantined",
     "this request crashed backend servers and was not run; change the "
     "request"},
    {"store_unavailable",
     "the table service cannot be reached and nothing was run; retry "
     "after Retry-After"},
    {"conflict", "another writer was first; read the newest state and retry"},
    {"does_not_fit",
     "the models do not fit; lower memory or replicas, or add servers"},
    {"in_progress",
     "a call with this key is in progress; retry after Retry-After with "
     "the same key"},
    {"draining", "the daemon is shutting down; reconnect"},
    {"protocol_error", "the other side violated its protocol; see the log"},
    {"timeout", "the time limit expired; retry or raise the limit"},
    {"too_large", "the request is over the limit; send a smaller one"},
    {"forbidden", "the operator key is missing or wrong; pass --key_file"},
    {"not_confirmed",
     "a daemon did not confirm the staged configuration and it was not "
     "accepted; restore contact or remove the daemon, then apply again"},
    {"key_reused",
     "the idempotency key was used with another request; use a new key"},
    {"connection_lost", "the connection broke; retry"},
    {"stale_fence", "a newer controller is in charge; no action is needed"},
    {"undecided",
     "the configuration for this route is being changed and the request "
     "was not run; retry after Retry-After"},
    {"unauthorized",
     "the request was not run, as it has no key or its key is unknown; send "
     "a key of your organisation as a bearer token"},
}};

class project_category : public std::error_category
{
public:
    const char* name() const noexcept override
    {
        return "barleyfork";
    }

    std::string message(int value) const override
    {
        const auto index = static_cast<std::size_t>(value);
        if (index >= error_entries.size())
            return "unknown error";
        return std::string(error_entries[index].message);
    }
};

} // namespace

const std::error_category& error_category() noexcept
{
    static const project_category category;
    return category;
}

std::error_code make_error_code(errc value) noexcept
{
    return {static_cast<int>(value), error_category()};
}

std::string_view error_name(errc value) noexcept
{
    return error_entries[static_cast<std::size_t>(value)].name;
}

std::string failure::message() const
{
    if (detail.empty())
        return code.message();
    return detail + ": " + code.message();
}

failure make_failure(errc value, std::string detail)
{
    return {make_error_code(value), std::move(detail)};
}

errc kind_of(const std::error_code& code) noexcept
{
    if (code.category() == error_category())
        return static_cast<errc>(code.value());
    return code ? errc::protocol_error : errc::ok;
}

} // namespace barleyfork
