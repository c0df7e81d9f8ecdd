#ifndef BARLEYFORK_DAEMON_SRC_VIEW_BUILDER_HPP
#define BARLEYFORK_DAEMON_SRC_VIEW_BUILDER_HPP

#include "server_reports.hpp"
#include "serving_view.hpp"

#include <barleyfork/core/memory_ledger.hpp>

#include <map>
#include <memory>
#include <set>

namespace barleyfork {

/// What a view is made from, besides the catalog.
struct view_sources
{
    const std::map<server_id, ledger_row>& rows;
    const server_reports& reports;
    const std::set<server_id>& leaving_servers;
};

/// Makes the parts of serving views that concern backend servers. Servers and
/// their endpoints are made once for each catalog and shared by its views.
/// Lives on the control duty.
class view_builder
{
public:
    /// Takes up a catalog; cheap where it is the same as before.
    void set_catalog(const std::shared_ptr<const catalog>& config);

    /// Fills in servers, services and replicas as known at `now`.
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
