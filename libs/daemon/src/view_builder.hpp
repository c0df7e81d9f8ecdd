#ifndef BARLEYFORK_DAEMON_SRC_VIEW_BUILDER_HPP
#define BARLEYFORK_DAEMON_SRC_VIEW_BUILDER_HPP

#include "server_reports.hpp"
#include "serving_view.hpp"

#include <barleyfork/core/memory_ledger.hpp>

#include <map>
#include <memory>
#include <set>

namespace barleyfork {

/// The sources of a view, besides the catalog.
struct view_sources
{
    const std::map<server_id, ledger_row>& rows;
    const server_reports& reports;
    const std::set<server_id>& servers_shutting_down;
};

/// Builds the parts of serving views that concern backend servers. Servers and
/// their endpoints are built once for each catalog and shared by its views.
/// Runs on the control worker; not thread-safe.
class view_builder
{
public:
    /// Sets the catalog; cheap if it is unchanged.
    void set_catalog(const std::shared_ptr<const catalog>& config);

    /// Sets servers, services and replicas as known at `now`.
    void
    fill(serving_view& view, const view_sources& sources, time_point now) const;

private:
    void add_replicas(serving_view& view,
                      const view_sources& sources,
                      std::size_t index,
                      const ledger_row* row,
                      time_point now) const;

    std::shared_ptr<const catalog> config_;
    std::shared_ptr<const std::vector<serving_server>> servers_;
    service_servers services_;
};

} // namespace barleyfork

#endif
