#ifndef BARLEYFORK_TOOLS_CAPACITY_GOSSIP_TRIAL_HPP
#define BARLEYFORK_TOOLS_CAPACITY_GOSSIP_TRIAL_HPP

#include <cstdint>

namespace barleyfork {

/// How many nodes exchange peer messages, and what happens meanwhile.
struct gossip_options
{
    std::uint64_t seed = 1;
    std::size_t nodes = 50;
    std::int64_t seconds = 60;
    /// Seconds between configuration changes.
    double change_interval = 11.52;
    /// Seconds between replaced instances.
    double replace_interval = 122.0;
    /// Share of messages that are lost.
    double loss = 0.01;
};

/// What one node spends, and how fast news spread.
struct gossip_result
{
    /// Bytes that a node sends and receives a second, frames included.
    double bytes_per_second = 0.0;
    double messages_per_second = 0.0;
    /// Share of a core, for decisions, encoding and decoding.
    double core_share = 0.0;
    /// Heap of one node in KiB.
    double heap_kib = 0.0;
    /// Longest time until every node knew a change, in milliseconds.
    std::int64_t slowest_spread_ms = 0;
};

/// Runs nodes of the daemon's own membership and configuration state in one
/// process. Messages are framed as on the wire and take one step of 50 ms.
gossip_result run_gossip(const gossip_options& options);

} // namespace barleyfork

#endif
