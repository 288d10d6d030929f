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
    freeAt_ = events_.now();
}

void ModelForwarder::end()
{
    router_.reset();
    ++life_;
}

void ModelForwarder::handle(const TokenPacket& packet, std::function<void()> prepare, Decide decide)
{
    if (!isUp())
        return;
    freeAt_ = std::max(freeAt_, events_.now()) + packetTime_;
    events_.at(freeAt_, [this, packet, prepare = std::move(prepare), decide = std::move(decide), life = life_] {
        if (life != life_)
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
