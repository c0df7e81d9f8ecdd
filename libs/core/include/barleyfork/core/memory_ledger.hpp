#ifndef BARLEYFORK_CORE_MEMORY_LEDGER_HPP
#define BARLEYFORK_CORE_MEMORY_LEDGER_HPP

#include <barleyfork/base/strong_id.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace barleyfork {

/// What an order asks of an engine.
enum class order_kind : std::uint8_t
{
    load,
    unload,
    /// Changes nothing; makes a checking engine refuse older epochs.
    fence,
};

/// One order to an engine. An order is sent at most once, on one connection.
struct engine_order
{
    order_id id;
    order_kind kind = order_kind::load;
    model_id model;
    std::uint32_t version = 0;
    std::uint32_t memory_mib = 0;
    /// The sender's lease epoch, which is the fencing number.
    std::uint64_t epoch = 0;
    instance_id sender;
    /// The engine process that the order was meant for.
    std::uint64_t boot = 0;
    /// Set once the platform's list shows that the sender is gone.
    bool sender_gone = false;
    /// Reports since then, up to two: the poll of the second one began after
    /// the sender was known to be gone.
    std::uint32_t reports_since_gone = 0;
    /// The engine process of that second report; only a later process is
    /// sure to hold no connection of the sender.
    std::uint64_t gone_boot = 0;

    friend bool operator==(const engine_order&, const engine_order&) = default;
};

/// A model version that holds memory on a backend server.
struct resident_model
{
    model_id model;
    std::uint32_t version = 0;
    std::uint32_t memory_mib = 0;
    /// The engine's report sequence at which residency was certain; a report
    /// up to it proves nothing about this entry.
    std::uint64_t since_sequence = 0;

    friend bool operator==(const resident_model&,
                           const resident_model&) = default;
};

/// What an engine says of itself. Reports may arrive late.
struct engine_report
{
    /// Grows with every start of the engine's process.
    std::uint64_t boot = 0;
    /// Grows with every report and answer of one process.
    std::uint64_t sequence = 0;
    bool leaving = false;
    std::vector<resident_model> residents;
};

/// How an order ended, from the engine's own answer.
enum class order_outcome : std::uint8_t
{
    done,
    refused,
    /// No answer came; the order may still take effect at any time.
    unknown,
};

/// The ledger of one backend server: one row of the table.
///
/// Invariant: at every moment the memory that the engine really holds is at
/// most `committed_mib`, and `committed_mib` is at most `capacity_mib`
/// whenever an order was admitted. All changes go through the functions
/// below and take effect by a conditional write of the whole row.
struct ledger_row
{
    server_id server;
    std::uint32_t capacity_mib = 0;
    bool checks_fencing = true;
    /// The epoch of the last writer; a writer never lowers it.
    std::uint64_t epoch = 0;
    /// Tells a writer its own write from another's after a lost answer.
    std::string write_id;
    std::uint64_t boot = 0;
    /// The server said that it is leaving: nothing new is sent to it.
    bool leaving = false;
    std::uint64_t report_sequence = 0;
    /// The newest epoch a checking engine acknowledged, and its sequence then.
    std::uint64_t fenced_epoch = 0;
    std::uint64_t fenced_sequence = 0;
    std::vector<resident_model> residents;
    std::vector<engine_order> orders;

    friend bool operator==(const ledger_row&, const ledger_row&) = default;
};

/// The worst case over residents and every load that may still act, in MiB.
///
/// A model version counts once: an engine that is told to load what it holds
/// does nothing.
std::uint64_t committed_mib(const ledger_row& row);

/// The engine's own answer to an order.
struct order_answer
{
    order_outcome outcome = order_outcome::unknown;
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;
};

/// True where loading leaves the worst case within the capacity. Nothing may
/// be loaded before the engine's first report.
bool may_load(const ledger_row& row,
              const model_id& model,
              std::uint32_t version,
              std::uint32_t memory_mib);

/// True where `model` at `version` is resident and no unload is outstanding.
bool is_ready(const ledger_row& row,
              const model_id& model,
              std::uint32_t version);

/// True where an unload of the model version is outstanding.
bool is_unloading(const ledger_row& row,
                  const model_id& model,
                  std::uint32_t version);

/// True where an order for the model version is outstanding.
bool has_order(const ledger_row& row,
               const model_id& model,
               std::uint32_t version);

/// Records an order that is to be sent after the row is written.
void begin_order(ledger_row& row, const engine_order& order);

/// Takes in the engine's own answer to an order.
///
/// A load that is done becomes a resident. An unload that is done stays an
/// order until a later report shows the model gone. An unknown outcome, and
/// an answer of a process that the row does not know yet, change nothing.
void close_order(ledger_row& row,
                 const order_id& id,
                 const order_answer& answer);

/// Records that a checking engine acknowledged `epoch`; an answer of a
/// process other than the row's changes nothing.
void acknowledge_fence(ledger_row& row,
                       std::uint64_t epoch,
                       const order_answer& answer);

/// Marks the orders of instances that are gone for good.
void mark_senders_gone(ledger_row& row, std::span<const instance_id> gone);

/// True where a report was made after all that the row knows of the engine.
bool is_newer(const engine_report& report, const ledger_row& row);

/// Takes in a report; returns false where it is older than what is known.
///
/// Closes: an unload whose model the report shows gone; the only outstanding
/// load of a model version that the report shows resident; on a checking
/// engine, orders older than an acknowledged fence; on an engine that ignores
/// fencing, orders of senders known to be gone before it restarted. A checking
/// engine is taken to keep its highest number over a restart; one that does
/// not is to be declared as ignoring. Reports of one engine are polled one
/// after the other.
bool apply_report(ledger_row& row, const engine_report& report);

} // namespace barleyfork

#endif
