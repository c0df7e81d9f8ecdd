#include <barleyfork/core/adapter_use.hpp>

#include <barleyfork/base/digest.hpp>
#include <barleyfork/core/backend_loads.hpp>

#include <algorithm>
#include <string>

namespace barleyfork {

adapter_use make_adapter_use(const server_id& server,
                             const model_id& model,
                             std::string_view adapter) noexcept
{
    const auto text = model.value() + "/" + std::string(adapter);
    return {server_hash(server), static_cast<std::uint32_t>(hash64(text))};
}

void active_adapter_uses::begin(adapter_use use)
{
    ++counts_[use];
}

void active_adapter_uses::end(adapter_use use)
{
    const auto found = counts_.find(use);
    if (found != counts_.end() && --found->second == 0)
        counts_.erase(found);
}

std::vector<adapter_use> active_adapter_uses::list() const
{
    std::vector<adapter_use> uses;
    for (const auto& [use, count] : counts_)
        uses.push_back(use);
    return uses;
}

void reported_adapter_uses::tell(const instance_id& daemon,
                                 std::span<const adapter_use> uses,
                                 time_point now)
{
    reports_[daemon] = {now, {uses.begin(), uses.end()}};
    std::erase_if(reports_, [now](const auto& item) {
        return now >= item.second.received_at + announcement_lifetime;
    });
}

bool reported_adapter_uses::contains(adapter_use use, time_point now) const
{
    return std::any_of(reports_.begin(), reports_.end(), [&](const auto& item) {
        return now < item.second.received_at + announcement_lifetime &&
               item.second.uses.contains(use);
    });
}

} // namespace barleyfork
