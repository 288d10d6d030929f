#pragma once

#include "Core/Error.h"
#include "Request/ClaimMessages.h"
#include "Request/PendingForwardTable.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace wisteriadock {

// Acknowledges that a forwarded attempt has reached the owner (PendingForwardTable.h).
struct AttemptReceived {
    ForwardToken token;

    bool operator==(const AttemptReceived&) const = default;
};

// The newest ownership epoch of each zone that the sender knows. The receiver replies with its newer records.
struct TermDigest {
    struct Row {
        std::string zone;
        std::uint64_t epoch = 0;

        bool operator==(const Row&) const = default;
    };
    std::vector<Row> rows;

    bool operator==(const TermDigest&) const = default;
};

// All messages between balancers about requests. The requests themselves are forwarded as in RequestHop.h.
using BalancerMessage = std::variant<RequestMessage, AttemptReceived, TermDigest>;

// A message and the incarnation of the receiver that it is meant for. A restarted balancer has lost the state that the
// message refers to and drops it.
struct AddressedMessage {
    std::uint64_t receiverIncarnation = 0;
    BalancerMessage message;
};

std::vector<std::uint8_t> encodeRequestMessage(AddressedMessage);

// Fails with InvalidArgument unless the bytes are one complete message of the supported version.
Result<AddressedMessage> decodeRequestMessage(std::span<const std::uint8_t>);

}
