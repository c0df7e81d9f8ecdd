#ifndef BARLEYFORK_CORE_MEMORY_LEDGER_HPP
#define BARLEYFORK_CORE_MEMORY_LEDGER_HPP

#include <barleyfork/base/strong_id.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace barleyfork {

/// Operation that an order requests from an engine.
enum class order_kind : std::uint8_t
{
    load,
    unload,
    /// Changes nothing; makes an engine that checks fencing numbers refuse
    /// older epochs.
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
    /// The engine process for which the order is intended.
    std::uint64_t boot = 0;
    /// Set once the platform's list no longer contains the sender.
    bool sender_gone = false;
    /// Reports since then, up to two: the poll of the second one began after
    /// the sender was known to be removed.
    std::uint32_t reports_since_gone = 0;
    /// The engine process of that second report; only a later process is
    /// certain to have no connection from the sender.
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
    /// with at most this sequence proves nothing about this entry.
    std::uint64_t since_sequence = 0;

    friend bool operator==(const resident_model&,
                           const resident_model&) = default;
};

/// Report of an engine about its own state. Reports may arrive late.
struct engine_report
{
    /// Increases with every start of the engine's process.
    std::uint64_t boot = 0;
    /// Increases with every report and response of one process.
    std::uint64_t sequence = 0;
    bool leaving = false;
    std::vector<resident_model> residents;
};

/// Outcome of an order according to the engine's own response.
enum class order_outcome : std::uint8_t
{
    done,
    refused,
    /// No response arrived; the order may still take effect at any time.
    unknown,
};

/// The ledger of one backend server: one row of the table.
///
/// Invariant: at every moment the memory that the engine really uses is at
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
    /// Identifies the write, so that a writer recognizes its own row after a
    /// lost response.
    std::string write_id;
    std::uint64_t boot = 0;
    /// The server announced its shutdown: nothing new is sent to it.
    bool leaving = false;
    std::uint64_t report_sequence = 0;
    /// The newest epoch that a checking engine acknowledged, and the engine's
    /// sequence at that time.
    std::uint64_t fenced_epoch = 0;
    std::uint64_t fenced_sequence = 0;
    std::vector<resident_model> residents;
    std::vector<engine_order> orders;

    friend bool operator==(const ledger_row&, const ledger_row&) = default;
};

/// Returns the maximum memory that residents and all loads that may still take
/// effect can use, in MiB.
///
/// A model version counts once: an engine ignores a load of a resident model
/// version.
std::uint64_t committed_mib(const ledger_row& row);

/// The engine's own response to an order.
struct order_answer
{
    order_outcome outcome = order_outcome::unknown;
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;
};

/// Returns true where a load keeps the committed memory within the capacity.
/// Nothing may be loaded before the engine's first report.
bool may_load(const ledger_row& row,
              const model_id& model,
              std::uint32_t version,
              std::uint32_t memory_mib);

/// Returns true where `model` at `version` is resident and no unload is
/// outstanding.
bool is_ready(const ledger_row& row,
              const model_id& model,
              std::uint32_t version);

/// Returns true where an unload of the model version is outstanding.
bool is_unloading(const ledger_row& row,
                  const model_id& model,
                  std::uint32_t version);

/// Returns true where an order for the model version is outstanding.
bool has_order(const ledger_row& row,
               const model_id& model,
               std::uint32_t version);

/// Records an order that is to be sent after the row is written.
void begin_order(ledger_row& row, const engine_order& order);

/// Processes the engine's own response to an order.
///
/// A completed load becomes a resident. A completed unload remains an order
/// until a later report no longer lists the model. An unknown outcome, and a
/// response of a process that the row does not know yet, change nothing.
void close_order(ledger_row& row,
                 const order_id& id,
                 const order_answer& answer);

/// Records that a checking engine acknowledged `epoch`; a response of a
/// process other than the row's changes nothing.
void acknowledge_fence(ledger_row& row,
                       std::uint64_t epoch,
                       const order_answer& answer);

/// Marks the orders of instances that the platform has removed from its list;
/// an instance id is never used again.
void mark_senders_gone(ledger_row& row, std::span<const instance_id> gone);

/// Returns true where a report is newer than everything that the row records of
/// the engine.
bool is_newer(const engine_report& report, const ledger_row& row);

/// Applies a report; returns false where it is not newer than the last one.
///
/// Closes: an unload whose model the report no longer lists; the only
/// outstanding load of a model version that the report lists as resident; on a
/// checking engine, orders older than an acknowledged fence; on an engine that
/// ignores fencing, orders of senders known to be removed before the engine
/// restarted. A checking engine is assumed to keep its highest fencing number
/// over a restart; an engine that does not must be declared as ignoring
/// fencing. Reports of one engine are polled one after the other.
bool apply_report(ledger_row& row, const engine_report& report);

} // namespace barleyfork

#endif
