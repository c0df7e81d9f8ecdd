#include "view_builder.hpp"

#include <utility>

namespace barleyfork {

void view_builder::set_catalog(const std::shared_ptr<const catalog>& config)
{
    if (config == config_)
        return;
    config_ = config;
    auto servers = std::make_shared<std::vector<serving_server>>();
    services_.clear();
    for (const auto& entry : config_->servers()) {
        serving_server server;
        server.entry = entry;
        server.reachable = !parse_url(entry.url, server.endpoint);
        if (!entry.service.empty())
            services_[entry.service].push_back(servers->size());
        servers->push_back(std::move(server));
    }
    servers_ = std::move(servers);
}

void view_builder::fill(serving_view& view,
                        const view_sources& sources,
                        time_point now) const
{
    if (!servers_)
        return;
    view.servers = servers_;
    view.services = services_;
    view.usable.assign(servers_->size(), false);
    for (std::size_t i = 0; i < servers_->size(); ++i) {
        const auto& server = (*servers_)[i];
        const auto found = sources.rows.find(server.entry.id);
        const auto* row =
            found == sources.rows.end() ? nullptr : &found->second;
        const bool leaving =
            sources.servers_shutting_down.contains(server.entry.id) ||
            sources.reports.leaving(server.entry.id) ||
            (row != nullptr && row->leaving);
        view.usable[i] = server.reachable && !leaving;
        add_replicas(view, sources, i, row, now);
    }
}

/// Uses the newer of a fresh report and the ledger's row.
void view_builder::add_replicas(serving_view& view,
                                const view_sources& sources,
                                std::size_t index,
                                const ledger_row* row,
                                time_point now) const
{
    const auto* status =
        sources.reports.fresh((*servers_)[index].entry.id, now);
    const bool reported =
        status != nullptr && (row == nullptr || is_newer(status->report, *row));
    if (!reported && row == nullptr)
        return;
    const auto& residents =
        reported ? status->report.residents : row->residents;
    for (const auto& resident : residents)
        if (row == nullptr ||
            !is_unloading(*row, resident.model, resident.version))
            view.replicas[resident.model].push_back({index, resident.version});
}

} // namespace barleyfork
