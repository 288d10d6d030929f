#include "StandIns/CallerRecords.h"

#include "StandIns/JsonText.h"

#include <string>

namespace wisteriadock {

namespace {

    using Json = nlohmann::json;

    Json rowOf(const FlowBreak& broken)
    {
        return {
            { "at_milliseconds", monotonicMilliseconds(broken.at) },
            { "flow", broken.flow },
            { "kind", std::string(nameOf(broken.kind)) },
            { "sequence", broken.sequence },
            { "client", clientEndpointOf(broken.flow).toString() },
            { "service_id", broken.service.value },
            { "holder_id", broken.expectedServer.value },
            { "answerer_id", broken.answeringServer.value },
        };
    }

    Json rowOf(const RequestAttempt& attempt)
    {
        return {
            { "outcome", std::string(nameOf(attempt.outcome)) },
            { "answer_fault", std::string(nameOf(attempt.fault)) },
            { "status", attempt.status },
            { "balancer", attempt.balancer },
            { "sent_milliseconds", monotonicMilliseconds(attempt.sentAt) },
            { "ended_milliseconds", monotonicMilliseconds(attempt.endedAt) },
            { "detail", attempt.detail },
        };
    }

    Json rowOf(const RequestRecord& record)
    {
        Json attempts = Json::array();
        for (const RequestAttempt& attempt : record.attempts)
            attempts.push_back(rowOf(attempt));
        return { { "key", record.key }, { "service", record.service }, { "tries", std::move(attempts) } };
    }

}

nlohmann::json callerRecordsOf(const CallerFlows& flows, const CallerRequests& requests)
{
    Json breaks = Json::array();
    for (const FlowBreak& broken : flows.breaks())
        breaks.push_back(rowOf(broken));
    Json ended = Json::array();
    for (const RequestRecord& record : requests.records())
        ended.push_back(rowOf(record));
    return { { "breaks", std::move(breaks) }, { "requests", std::move(ended) } };
}

}
