#include "server_reports.hpp"

namespace barleyfork {

bool server_reports::add(const server_id& server,
                         const engine_status& status,
                         time_point now)
{
    auto& known = entries_[server];
    const bool changed =
        !known.fresh || known.at == time_point{} ||
        known.status.report.leaving != status.report.leaving ||
        known.status.report.boot != status.report.boot ||
        known.status.report.residents != status.report.residents;
    known = {status, now, true};
    return changed;
}

const engine_status* server_reports::fresh(const server_id& server,
                                           time_point now) const
{
    const auto found = entries_.find(server);
    if (found == entries_.end() || now >= found->second.at + freshness_period_)
        return nullptr;
    return &found->second.status;
}

bool server_reports::leaving(const server_id& server) const
{
    const auto found = entries_.find(server);
    return found != entries_.end() && found->second.status.report.leaving;
}

bool server_reports::mark_expired(time_point now)
{
    bool changed = false;
    for (auto& [server, known] : entries_) {
        if (!known.fresh || now < known.at + freshness_period_)
            continue;
        known.fresh = false;
        changed = true;
    }
    return changed;
}

} // namespace barleyfork
