#pragma once

#include "Flow/ChangeContext.h"
#include "Flow/ExceptionDeliveries.h"
#include "Flow/FlowTable.h"
#include "Flow/ReportCollection.h"
#include "Flow/TableDefinition.h"
#include "Flow/TableGeneration.h"
#include "Flow/TableHistory.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace wisteriadock {

// Changes the bucket table of one service in agreement with the other balancers. FlowEngine keeps one per service.
//
// Each table has a generation (TableGeneration). A balancer routes unknown flows by its settled table. Unknown flows of
// the buckets in which a later table differs are forwarded to the arbiter, the balancer that coordinates the change.
// The arbiter collects the known flows of these buckets from all balancers, switches to the new table, and sends the
// exceptions (flows that stay on a server other than the table's) to all balancers. A balancer that has received all
// exceptions is settled at the new generation. docs/design/flows.md describes the sequence and the failures that each
// step guards against.
class TableSynchronizer {
public:
    TableSynchronizer(ServiceId, FlowTable&, bool protectsFlows);

    // Applies a newer version of the configuration, whether or not this service has changed in it. An unchanged
    // definition or directory must be the same object as before.
    void setVersion(std::uint64_t version, std::shared_ptr<const TableDefinition>,
        std::shared_ptr<const ServerDirectory>, const ChangeContext&);
    // Sets the weight factors that the next change should lead to. They take effect if this balancer is the arbiter.
    void setDesiredFactors(WeightFactors);
    // Reacts to a new membership view.
    void handleMembers(const ChangeContext&);
    // Processes a message from another balancer.
    void handle(BalancerId from, const FlowMessage&, const ChangeContext&);
    // Sends what is due and checks the timeouts.
    void tick(const ChangeContext&);

    // Begins a planned stop. Once no change depends on this balancer, it forwards all unknown flows to the arbiter and
    // hands over the flows that no other balancer may have seen.
    void beginLeave() { isLeaving_ = true; }
    // Whether the handover of a planned stop is complete.
    bool mayLeave() const { return isLeaving_ && handover_ && handover_->parts.isComplete(); }

    // Settles at the target table without agreement. Safe only if no other balancer serves.
    void settleAlone(const ChangeContext&);
    // Drops the settled table and all changes in progress, because other balancers may have switched to another table.
    // Known flows are kept. The balancer then synchronizes with the arbiter.
    void desynchronize(const ChangeContext&);

    // Whether a table is settled, of any generation.
    bool isSynchronized() const { return settledGeneration_ != 0; }
    // Whether the target table is settled.
    bool isSettled() const { return settledGeneration_ != 0 && settledGeneration_ == targetGeneration_; }
    // Whether other balancers have yet to acknowledge exceptions from this balancer.
    bool hasPendingDeliveries() const { return !deliveries_.isEmpty(); }

    // Changes that this balancer started as the arbiter.
    std::uint64_t startedCount() const { return startedCount_; }
    // Tables at which this balancer settled after a change.
    std::uint64_t settledCount() const { return settledCount_; }
    // Switches of this balancer as the arbiter without all reports, after the report timeout.
    std::uint64_t forcedCount() const { return forcedCount_; }
    // Null if no table is settled.
    std::shared_ptr<const BucketTable> settledTable() const { return tables_.find(settledGeneration_); }
    // The weight factors of the settled table.
    const WeightFactors& factors() const { return factors_; }
    bool isArbiter(const ChangeContext& context) const { return arbiter(context) == context.view.self; }

private:
    // The commitment of this balancer to one arbiter for one change. It prevents two arbiters from both switching.
    struct Promise {
        BalancerId arbiter;
        std::uint64_t generation = 0;
        std::optional<PartSender> report;
        TimePoint lastMessageAt;
        bool switched = false;
    };
    // The parts of the exceptions that have arrived from one arbiter.
    struct IncomingExceptions {
        BalancerId from;
        std::uint64_t generation = 0;
        PartReceiver parts;
    };

    // The flows that a planned stop sends to another balancer.
    struct Handover {
        BalancerId to;
        PartSender parts;
    };

    void handleReportRequest(BalancerId from, const FlowMessage&, const ChangeContext&);
    void handleReport(BalancerId from, const FlowMessage&, const ChangeContext&);
    void handleReportAck(BalancerId from, const FlowMessage&);
    void handleSwitch(BalancerId from, const FlowMessage&, const ChangeContext&);
    void handleExceptions(BalancerId from, const FlowMessage&, const ChangeContext&);
    void handleExceptionsAck(BalancerId from, const FlowMessage&);
    void handleBusy(BalancerId from, const FlowMessage&, const ChangeContext&);
    void handleHandover(BalancerId from, const FlowMessage&, const ChangeContext&);
    void handleRelease(BalancerId from, const FlowMessage&, const ChangeContext&);
    void handleSyncRequest(BalancerId from, const FlowMessage&, const ChangeContext&);

    // Ends the promise when it is fulfilled, its arbiter is dead, or no message came from the arbiter for too long.
    void checkPromise(const ChangeContext&);
    // As the arbiter, starts a change if one is due, requests reports, and switches when all have arrived.
    void advanceChange(const ChangeContext&);
    void startChange(const ChangeContext&);
    void abortChange(const ChangeContext&);
    void switchOver(const ChangeContext&);
    void deliverAfterSwitch(
        const ReportCollection&, std::uint64_t previouslySettled, const std::vector<KnownFlow>&, const ChangeContext&);
    void sendReport(const ChangeContext&);
    void requestSync(const ChangeContext&);
    void handOver(const ChangeContext&);
    void sendParts(PartSender&, BalancerId to, FlowMessage header, const ChangeContext&);
    std::optional<BalancerId> arbiter(const ChangeContext&) const;
    // Makes the generation the settled one, after all exceptions have arrived.
    void settleAt(std::uint64_t generation, const ChangeContext&);
    void settleIfUnchanged();
    void adoptFactorsOf(std::uint64_t generation);
    std::uint64_t newestPendingGeneration() const;

    // The table of the message's target generation, built if necessary. Null while its configuration is unknown.
    std::shared_ptr<const BucketTable> findOrBuildTable(const FlowMessage&);
    std::shared_ptr<const BucketTable> buildTable(std::uint64_t generation, const WeightFactors&);

    std::shared_ptr<const RoutingState> routingFor(const ChangeContext&) const;
    void publish(const ChangeContext&);
    FlowMessage message(FlowMessageKind, std::uint64_t targetGeneration) const;

    const ServiceId service_;
    FlowTable& flows_;
    const bool protectsFlows_;

    TableHistory tables_;
    std::uint64_t version_ = 0;
    std::shared_ptr<const TableDefinition> definition_;
    // The definition of the settled table.
    std::shared_ptr<const TableDefinition> settledDefinition_;
    // The weight factors of the settled table, and their revision.
    WeightFactors factors_;
    std::uint64_t factorsRevision_ = 0;
    WeightFactors desiredFactors_;
    // The last factors revision that this balancer issued, including those of cancelled changes.
    std::uint64_t lastIssuedRevision_ = 0;
    std::shared_ptr<const ServerDirectory> directory_;
    // The table by which this balancer routes unknown flows itself; 0 while it has the exceptions of no table.
    std::uint64_t settledGeneration_ = 0;
    // The newest table that an arbiter is known to have switched to.
    std::uint64_t switchedGeneration_ = 0;
    // The table of the newest configuration with the weight factors of the settled table.
    std::uint64_t targetGeneration_ = 0;

    std::optional<Promise> promise_;
    std::optional<IncomingExceptions> incomingExceptions_;
    // Set on the arbiter from the start of a change until the switch.
    std::optional<ReportCollection> reportCollection_;
    ExceptionDeliveries deliveries_;
    bool isLeaving_ = false;
    std::optional<Handover> handover_;
    std::optional<TimePoint> syncRequestedAt_;

    std::uint64_t startedCount_ = 0;
    std::uint64_t settledCount_ = 0;
    std::uint64_t forcedCount_ = 0;
};

}
