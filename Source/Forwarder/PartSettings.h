#pragma once

#include "Forward/TokenRouter.h"
#include "Forwarder/ForwarderSettings.h"
#include "LoadReports/LoadExchange.h"
#include "Membership/Member.h"
#include "StoreSync/ReplicaSync.h"
#include "StoreSync/StoreFeed.h"

#include <cstdint>
#include <string_view>

namespace wisteriadock {

// The settings of the forwarder's parts, as its own settings determine them.
RouterSettings routerSettingsOf(const ForwarderSettings&);
ReplicaSyncSettings replicaSyncSettingsOf(const ForwarderSettings&);
StoreFeedSettings storeFeedSettingsOf(const ForwarderSettings&, std::string_view sampleStart);
LoadExchangeSettings loadExchangeSettingsOf(const ForwarderSettings&);

// This balancer as the others see it. The incarnation identifies the start of its process.
Member memberOf(const ForwarderSettings&, std::uint64_t incarnation);

}
