#include "Flow/FlowMessage.h"

#include "Core/NameTable.h"

namespace wisteriadock {

namespace {

    constexpr auto flowMessageKindNames = makeNameTable<FlowMessageKind>({
        { FlowMessageKind::ReportRequest, "report_request" },
        { FlowMessageKind::Report, "report" },
        { FlowMessageKind::ReportAck, "report_ack" },
        { FlowMessageKind::Hold, "hold" },
        { FlowMessageKind::Switch, "switch" },
        { FlowMessageKind::Exceptions, "exceptions" },
        { FlowMessageKind::ExceptionsAck, "exceptions_ack" },
        { FlowMessageKind::Busy, "busy" },
        { FlowMessageKind::Release, "release" },
        { FlowMessageKind::Handover, "handover" },
        { FlowMessageKind::HandoverAck, "handover_ack" },
        { FlowMessageKind::SyncRequest, "sync_request" },
    });

}

std::string_view nameOf(FlowMessageKind kind) { return flowMessageKindNames.name(kind); }

}
