#include "Model/ModelForwarder.h"

#include <algorithm>
#include <utility>

namespace wisteriadock {

void ModelForwarder::start(const ForwardingConfiguration& configuration)
{
    RouterSettings settings;
    settings.availabilityZone = zone_;
    settings.opening = policy_.opening;
    settings.admission = policy_.admission;
    router_ = std::make_unique<TokenRouter>(settings);
    router_->applyConfiguration(configuration);
    idleAt_ = events_.now();
}

void ModelForwarder::kill()
{
    router_.reset();
    ++generation_;
}

void ModelForwarder::handle(const TokenPacket& packet, std::function<void()> prepare, DecisionHandler decide)
{
    if (!isUp())
        return;
    idleAt_ = std::max(idleAt_, events_.now()) + packetTime_;
    events_.at(
        idleAt_, [this, packet, prepare = std::move(prepare), decide = std::move(decide), generation = generation_] {
            if (generation != generation_)
                return;
            prepare();
            decide(router_->route(packet, events_.now()));
        });
}

void ModelForwarder::tick()
{
    if (isUp())
        router_->tick(events_.now());
}

}
