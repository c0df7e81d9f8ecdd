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

/// An adapter on a server that requests use, both by hash: daemons tell each
/// other of all of them in each message.
struct adapter_use
{
    std::uint32_t server = 0;
    std::uint32_t adapter = 0;

    friend auto operator<=>(const adapter_use&, const adapter_use&) = default;
};

adapter_use make_adapter_use(const server_id& server,
                             const model_id& model,
                             std::string_view adapter) noexcept;

/// The adapters that one daemon's requests use. Not thread-safe.
class running_uses
{
public:
    void begin(adapter_use use);
    void end(adapter_use use);

    /// Each once, in order.
    std::vector<adapter_use> list() const;

private:
    std::map<adapter_use, std::size_t> counts_;
};

/// The adapters that the requests of all daemons use, by each one's last
/// word. Not thread-safe.
class told_uses
{
public:
    /// A daemon's word stands for this long.
    static constexpr duration word_life{2500};

    void tell(const instance_id& daemon,
              std::span<const adapter_use> uses,
              time_point now);

    bool contains(adapter_use use, time_point now) const;

private:
    struct word
    {
        time_point told_at{};
        std::set<adapter_use> uses;
    };

    std::map<instance_id, word> words_;
};

} // namespace barleyfork

#endif
