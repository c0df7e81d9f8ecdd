#ifndef BARLEYFORK_CORE_ADAPTER_USE_HPP
#define BARLEYFORK_CORE_ADAPTER_USE_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace barleyfork {

/// An adapter in use on a server. Both are identified by hash, which keeps
/// messages small: each peer update of a daemon lists all of them.
struct adapter_use
{
    std::uint32_t server = 0;
    std::uint32_t adapter = 0;

    friend auto operator<=>(const adapter_use&, const adapter_use&) = default;
};

adapter_use make_adapter_use(const server_id& server,
                             const model_id& model,
                             std::string_view adapter) noexcept;

/// Counts the requests of one daemon by the adapter that they use. Not
/// thread-safe.
class active_adapter_uses
{
public:
    void begin(adapter_use use);
    void end(adapter_use use);

    /// Returns the adapters in use, sorted and without duplicates.
    std::vector<adapter_use> list() const;

private:
    std::map<adapter_use, std::size_t> counts_;
};

/// The adapters in use by the requests of all daemons, from the latest report
/// of each daemon. Not thread-safe.
class reported_adapter_uses
{
public:
    /// How long a daemon's report is valid.
    static constexpr duration announcement_lifetime{2500};

    /// Replaces the daemon's report and drops expired reports.
    void tell(const instance_id& daemon,
              std::span<const adapter_use> uses,
              time_point now);

    bool contains(adapter_use use, time_point now) const;

private:
    struct daemon_report
    {
        time_point received_at{};
        std::set<adapter_use> uses;
    };

    std::map<instance_id, daemon_report> reports_;
};

} // namespace barleyfork

#endif
