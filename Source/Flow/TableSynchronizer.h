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

// Carries one service's table from generation to generation, together with the other balancers.
//
// A generation is the version of the configuration that brought the table. Each balancer decides by its settled table;
// for buckets in which a later table differs it hands unknown flows to the service's arbiter. The arbiter collects
// everybody's flows in those buckets, switches, and gives everybody the exceptions; whoever holds them all is settled
// at the new generation. docs/design/flows.md has the whole sequence and what each step guards against.
class TableSynchronizer {
public:
    TableSynchronizer(ServiceId, FlowTable&, bool protectsFlows);

    // A newer version of the configuration came into force, with or without a change for this service.
    void setVersion(std::uint64_t version, std::shared_ptr<const TableDefinition>,
        std::shared_ptr<const ServerDirectory>, const ChangeContext&);
    // The factors that this balancer would give the servers. They count once it is the service's arbiter.
    void setDesiredFactors(WeightFactors);
    void handleMembers(const ChangeContext&);
    void handle(BalancerId from, const FlowMessage&, const ChangeContext&);
    void tick(const ChangeContext&);

    // A planned stop: as soon as no change depends on this balancer, it decides nothing new any more and hands over the
    // flows that perhaps only it has seen. Until others know of the stop, they may still ask it; it passes that on.
    void beginLeave() { isLeaving_ = true; }
    // Whether nothing is left that only this balancer knows.
    bool mayLeave() const { return isLeaving_ && handover_ && handover_->parts.isComplete(); }

    // Takes the target table as settled: there is nobody whose flows it could contradict.
    void settleAlone(const ChangeContext&);
    // Forgets what was agreed, as after a pause in which the others may have moved on; known flows stay.
    void desynchronize(const ChangeContext&);

    bool isSynchronized() const { return settledGeneration_ != 0; }
    bool isSettled() const { return settledGeneration_ != 0 && settledGeneration_ == targetGeneration_; }
    // Whether others still wait for exceptions that this balancer holds for them.
    bool hasPendingDeliveries() const { return !deliveries_.isEmpty(); }

    std::uint64_t startedCount() const { return startedCount_; }
    std::uint64_t settledCount() const { return settledCount_; }
    std::uint64_t forcedCount() const { return forcedCount_; }
    std::shared_ptr<const BucketTable> settledTable() const { return tables_.find(settledGeneration_); }
    // The factors of the settled table.
    const WeightFactors& factors() const { return factors_; }
    bool isArbiter(const ChangeContext& context) const { return arbiter(context) == context.view.self; }

private:
    // This balancer's word to follow one arbiter through one change. It keeps two arbiters from both switching.
    struct Promise {
        BalancerId arbiter;
        std::uint64_t generation = 0;
        std::optional<PartSender> report;
        TimePoint lastMessageAt;
        bool switched = false;
    };
    struct IncomingExceptions {
        BalancerId from;
        std::uint64_t generation = 0;
        PartReceiver parts;
    };

    // A planned stop's list on its way to another balancer.
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

    void checkPromise(const ChangeContext&);
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
    void settleAt(std::uint64_t generation, const ChangeContext&);
    void settleIfUnchanged();
    void adoptFactorsOf(std::uint64_t generation);
    std::uint64_t newestPendingGeneration() const;

    // The table of a generation that another balancer names, built if its configuration is known; else null.
    std::shared_ptr<const BucketTable> learnTable(const FlowMessage&);
    std::shared_ptr<const BucketTable> makeTable(std::uint64_t generation, const WeightFactors&);

    std::shared_ptr<const RoutingState> routingFor(const ChangeContext&) const;
    void publish(const ChangeContext&);
    FlowMessage message(FlowMessageKind, std::uint64_t targetGeneration) const;

    const ServiceId service_;
    FlowTable& flows_;
    const bool protectsFlows_;

    TableHistory tables_;
    std::uint64_t version_ = 0;
    std::shared_ptr<const TableDefinition> definition_;
    // What the settled table was made from.
    std::shared_ptr<const TableDefinition> settledDefinition_;
    // Of the settled table, and by which it was numbered.
    WeightFactors factors_;
    std::uint64_t factorsRevision_ = 0;
    WeightFactors desiredFactors_;
    // The last one that this balancer gave, also for a change that came to nothing.
    std::uint64_t lastIssuedRevision_ = 0;
    std::shared_ptr<const ServerDirectory> directory_;
    // By which this balancer decides on its own; 0 while it does not know the exceptions of any table.
    std::uint64_t settledGeneration_ = 0;
    // The newest table that some arbiter is known to have switched to.
    std::uint64_t switchedGeneration_ = 0;
    // The table of the newest configuration under the factors of the settled one.
    std::uint64_t targetGeneration_ = 0;

    std::optional<Promise> promise_;
    std::optional<IncomingExceptions> incomingExceptions_;
    // Set on the arbiter from the start of a change to its switch.
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
