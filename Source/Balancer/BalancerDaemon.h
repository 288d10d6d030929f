#pragma once

#include "Balancer/BackendServerSelector.h"
#include "Balancer/BalancerMetrics.h"
#include "Balancer/BalancerSettings.h"
#include "Balancer/ConfigurationFeed.h"
#include "Balancer/PacketPath.h"
#include "Balancer/PeerControl.h"
#include "Balancer/RequestControl.h"
#include "Balancer/RequestFrontend.h"
#include "Balancer/StopSequence.h"
#include "Balancer/VmListFeed.h"
#include "Core/Error.h"
#include "Core/Log.h"
#include "KeyValue/PlatformClient.h"
#include "Net/MetricsEndpoint.h"
#include "Peers/PeerSocket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace wisteriadock {

// One balancer process: owns the packet path, membership, request handling and the configuration feed, and passes
// changes between them. runBalancer() creates it. The packet path has its own threads; everything else runs on the
// thread that calls run().
class BalancerDaemon {
public:
    // Binds all listening addresses. Fails with Unavailable when one of them can't be bound. On SIGHUP the settings
    // file at this path is read again for its log level.
    static Result<std::unique_ptr<BalancerDaemon>> start(BalancerSettings, std::string settingsPath);
    ~BalancerDaemon();
    BalancerDaemon(const BalancerDaemon&) = delete;
    BalancerDaemon& operator=(const BalancerDaemon&) = delete;

    // Serves until a planned stop has completed. SIGTERM or SIGINT starts a planned stop; a second one stops the
    // process immediately.
    void run();
    // The bound addresses.
    BalancerAddresses addresses() const;

private:
    BalancerDaemon(BalancerSettings, std::string settingsPath);

    Result<void> listen();
    Member describeSelf() const;
    void connectComponents();
    void applyConfiguration(const ConfigurationVersion&);
    void applyMembers(const std::shared_ptr<const MembersView>&);
    void startRequestControl(std::uint64_t incarnation);
    StopConditions stopConditions() const;
    bool serveBuiltInPage(const std::shared_ptr<Http2Exchange>&);

    void awaitSignal();
    void handleSignal(int signal);
    void reloadLogLevel();
    void scheduleMaintenance();
    void advanceStop();
    void updateMetrics();

    Log log_ { "balancer" };
    BalancerSettings settings_;
    std::string settingsPath_;
    BalancerId self_;
    std::uint64_t incarnation_;
    std::uint64_t seed_;

    boost::asio::io_context context_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer maintenanceTimer_;
    StopSequence stop_;
    bool areRequestsDrained_ = false;

    FlowEngine engine_;
    PlatformClient platform_;
    BalancerMetrics metrics_;
    BackendServerSelector serverSelector_;
    std::uint64_t configurationBytesServed_ = 0;

    std::unique_ptr<PeerSocket> peerSocket_;
    std::unique_ptr<PeerControl> peers_;
    ConfigurationFeed feed_;
    VmListFeed vms_;
    std::shared_ptr<const Configuration> configuration_ = std::make_shared<const Configuration>();
    std::unique_ptr<RequestControl> control_;
    std::unique_ptr<RequestFrontend> frontend_;
    std::unique_ptr<MetricsEndpoint> metricsEndpoint_;
    std::unique_ptr<PacketPath> packets_;
};

}
