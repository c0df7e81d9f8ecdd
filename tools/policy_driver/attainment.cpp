#include "attainment.hpp"

#include <boost/graph/adjacency_list.hpp>
#include <boost/graph/push_relabel_max_flow.hpp>
#include <cmath>
#include <unordered_map>

namespace barleyfork {

namespace {

/// Flow units in one server-second.
constexpr double units = 10000.0;

using traits =
    boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
using flow_graph = boost::adjacency_list<
    boost::vecS,
    boost::vecS,
    boost::directedS,
    boost::no_property,
    boost::property<boost::edge_capacity_t,
                    long,
                    boost::property<boost::edge_residual_capacity_t,
                                    long,
                                    boost::property<boost::edge_reverse_t,
                                                    traits::edge_descriptor>>>>;

void add_edge(flow_graph& graph, std::size_t from, std::size_t to, double work)
{
    auto capacity = boost::get(boost::edge_capacity, graph);
    auto reverse = boost::get(boost::edge_reverse, graph);
    const auto forth = boost::add_edge(from, to, graph).first;
    const auto back = boost::add_edge(to, from, graph).first;
    capacity[forth] = std::lround(work * units);
    capacity[back] = 0;
    reverse[forth] = back;
    reverse[back] = forth;
}

} // namespace

double served_work(const std::vector<planner_server>& servers,
                   const std::vector<planner_model>& models,
                   const std::vector<double>& demand)
{
    const std::size_t source = models.size() + servers.size();
    const std::size_t sink = source + 1;
    flow_graph graph(sink + 1);
    std::unordered_map<model_id, std::size_t> index;
    for (std::size_t m = 0; m < models.size(); ++m) {
        index.emplace(models[m].id, m);
        add_edge(graph, source, m, demand[m]);
    }
    for (std::size_t s = 0; s < servers.size(); ++s) {
        if (!servers[s].usable)
            continue;
        add_edge(graph, models.size() + s, sink, servers[s].capacity);
        for (const auto& replica : servers[s].replicas) {
            const auto found = index.find(replica.model);
            if (replica.ready && found != index.end())
                add_edge(graph,
                         found->second,
                         models.size() + s,
                         servers[s].capacity);
        }
    }
    const auto flow = boost::push_relabel_max_flow(graph, source, sink);
    return static_cast<double>(flow) / units;
}

} // namespace barleyfork
