#include "Experiment/FabricControl.h"

namespace wisteriadock {

Result<std::unique_ptr<FabricControl>> FabricControl::start(
    ProcessStarter& starter, AdminClient& client, std::uint64_t seed)
{
    BOOST_OUTCOME_TRY(process,
        starter.startListening("fabric", "wisteriadock-standin-fabric",
            { "--listen=127.0.0.1:0", "--admin=127.0.0.1:0", "--seed=" + std::to_string(seed) },
            { "fabric", "admin" }));
    return std::unique_ptr<FabricControl>(new FabricControl(client, std::move(process)));
}

Result<void> FabricControl::setBalancers(const std::vector<Endpoint>& balancers)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Endpoint& balancer : balancers)
        list.push_back(balancer.toString());
    BOOST_OUTCOME_TRYV(client_.post(process_->listening("admin").value(), "/balancers", list));
    return boost::outcome_v2::success();
}

}
