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

// The owner's word that a forwarded try has reached it (PendingForwardTable.h).
struct AttemptReceived {
    ForwardToken token;

    bool operator==(const AttemptReceived&) const = default;
};

// The newest ownership epochs that the sender knows. The receiver sends the records that are newer.
struct TermDigest {
    struct Row {
        std::string zone;
        std::uint64_t epoch = 0;

        bool operator==(const Row&) const = default;
    };
    std::vector<Row> rows;

    bool operator==(const TermDigest&) const = default;
};

// Everything that balancers say to each other about requests, but for the requests themselves.
using BalancerMessage = std::variant<RequestMessage, AttemptReceived, TermDigest>;

// A message and the start of the receiver that it is meant for. A balancer that has started again since has lost what
// the message builds on, and drops it.
struct AddressedMessage {
    std::uint64_t receiverIncarnation = 0;
    BalancerMessage message;
};

std::vector<std::uint8_t> encodeRequestMessage(AddressedMessage);

// Fails with InvalidArgument for anything but one whole message of the known version.
Result<AddressedMessage> decodeRequestMessage(std::span<const std::uint8_t>);

}
