#ifndef BARLEYFORK_TOOLS_CAPACITY_DECISION_COST_HPP
#define BARLEYFORK_TOOLS_CAPACITY_DECISION_COST_HPP

#include <cstddef>

namespace barleyfork {

/// What one planning round of one cell takes, in milliseconds.
double planning_ms(std::size_t servers, std::size_t models);

/// A declaration's canonical bytes, and what decoding and indexing them take.
struct declaration_cost
{
    double bytes = 0.0;
    double index_ms = 0.0;
    double heap_kib = 0.0;
};

declaration_cost measure_declaration(std::size_t models, std::size_t servers);

/// A change of one model in a declaration: its bytes, and what carrying it
/// out takes in milliseconds.
struct change_cost
{
    double bytes = 0.0;
    double apply_ms = 0.0;
};

change_cost measure_change(std::size_t models, std::size_t servers);

/// What making a serving view of so many servers, two models each, takes in
/// milliseconds.
double view_ms(std::size_t models, std::size_t servers);

/// Bytes of one ledger row with so many residents.
double ledger_row_bytes(std::size_t residents);

/// Microseconds to pick among so many replicas.
double pick_us(std::size_t replicas);

} // namespace barleyfork

#endif
