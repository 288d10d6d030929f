#pragma once

#include "Experiment/ChildProcess.h"
#include "Experiment/EventLoop.h"
#include "Experiment/RunDirectory.h"
#include "FaultProxy/FaultProxy.h"
#include "Net/Http1Client.h"
#include "Soak/SoakCallers.h"
#include "Soak/SoakChecker.h"
#include "Soak/SoakSchedule.h"
#include "Soak/SoakServer.h"
#include "Soak/SoakStore.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wisteriadock {

struct SoakOptions {
    // The path of wisteriadock-forwarder.
    std::filesystem::path forwarderProgram;
    std::size_t availabilityZones = 3;
    std::size_t balancersPerZone = 2;
    std::size_t serversPerZone = 4;
    std::size_t flowsPerSecond = 60;
};

// One run of a plan: forwarders as separate processes on loopback, and in this process the callers, routers, backend
// servers and the store. Packets to the forwarders and their calls to the store pass through the fault proxy.
// Concurrent runs use disjoint addresses. Used by the wisteriadock-soak program.
class SoakRun {
public:
    SoakRun(const SoakOptions&, const SoakPlan&, EventLoop&, const RunDirectory&);
    ~SoakRun();
    SoakRun(const SoakRun&) = delete;
    SoakRun& operator=(const SoakRun&) = delete;

    // Returns an error if the run could not be performed. Broken guarantees are listed by the checker.
    Result<void> run();

    const SoakChecker& checker() const { return checker_; }

private:
    // The time that a forwarder has for a planned stop, shorter than on the platform.
    static constexpr std::chrono::milliseconds stopGracePeriod { 3000 };
    static constexpr std::array<const char*, 2> services { "tryon", "scanintake" };

    // Route addresses occur only inside packets; nothing is bound to them.
    static Endpoint routeOf(std::uint32_t number) { return { 0xC6120000 + number, 443 }; }

    struct Balancer {
        std::string name;
        std::string availabilityZone;
        Endpoint address; // The address of its own; the port is 0.
        std::string packetLink;
        std::string storeLink;
        Endpoint packetProxyAddress; // The proxy link by which routers reach it.
        Endpoint storeProxyAddress; // The proxy link by which it reaches the store.
        std::unique_ptr<ChildProcess> process;
        std::unique_ptr<Http1Client> readiness;
        // Consecutive failed readiness checks; two remove it from rotation.
        int misses = 2;
        bool isCheckPending = false;
        // Whether its process is expected to end or is paused, and when it is started or resumed.
        bool isExitExpected = false;
        bool isStopping = false;
        bool isPaused = false;
        std::optional<TimePoint> restartAt;
        std::optional<TimePoint> resumeAt;
        std::uint32_t starts = 0;
    };

    // An action that a step scheduled, such as the end of a fault.
    struct DelayedAction {
        TimePoint at;
        std::function<void()> action;
    };

    Result<void> build();
    Result<void> reserveNetwork();
    Result<void> buildBalancers();
    Result<void> startBalancer(Balancer&);
    Result<void> writeSettings(const Balancer&) const;
    void openServer(const std::string& service, const std::string& zone, Endpoint address);
    void openServer(const RegisteredServer&);
    Endpoint freeAddressFrom(Endpoint) const;
    void writeEntry(const SoakServer&);
    void writeConfiguration();

    void tick(TimePoint now);
    void performDueActions(TimePoint now);
    void checkReadiness(Balancer&);
    void watchProcesses(TimePoint now);
    std::pair<Endpoint, std::string> routePacket(const FlowEnds&) const;
    void performStep(const SoakStep&, TimePoint now);
    // Kills the process with SIGKILL; a new one is started at the given time.
    void kill(Balancer&, TimePoint restartAt);
    void performOnBalancer(const SoakStep&, Balancer&, TimePoint now);
    void performOnStore(const SoakStep&, TimePoint now);
    void restoreStore(const SoakStep&, TimePoint now);
    void rewriteStore();
    void removeEndedServers();
    void performOnServer(const SoakStep&, TimePoint now);
    void writeForeignEntries(const SoakStep&, TimePoint now);
    void copyLiveServer(const SoakStep&, TimePoint now);
    void overwriteLiveServer(const SoakStep&, TimePoint now);
    void killMost(const SoakStep&, TimePoint now);
    void performOnConfiguration(const SoakStep&, TimePoint now);
    void writeNextVersion();
    static std::string zoneName(std::size_t zone);
    std::string zoneOf(const SoakStep&) const;
    void evacuateZone(const SoakStep&, TimePoint now);
    void restartZoneServers(const SoakStep&, TimePoint now);
    void setStoreFault(SoakStore::Fault, std::chrono::milliseconds, TimePoint now);
    void setLinkFaults(
        const std::string& link, const FaultSettings&, bool bothWays, std::chrono::milliseconds, TimePoint now);
    // Does nothing if the server no longer exists.
    void withServer(const std::string& id, const std::function<void(SoakServer&)>& action);
    void crashServer(std::size_t server, TimePoint now);
    void scheduleAfter(std::chrono::milliseconds, TimePoint now, std::function<void()>);
    void saveLogs() const;

    const SoakOptions options_;
    const SoakPlan plan_;
    EventLoop& loop_;
    const RunDirectory& directory_;
    FaultProxy proxy_;
    SoakChecker checker_;
    SoakServerEvents serverEvents_;
    SoakCallerEvents callerEvents_;
    std::uint8_t network_ = 0;
    std::unique_ptr<UdpSocket> reservation_;
    std::unique_ptr<SoakStore> store_;
    std::vector<Balancer> balancers_;
    std::vector<std::unique_ptr<SoakServer>> servers_;
    std::vector<std::unique_ptr<SoakCallers>> callers_;
    ForwardingConfiguration configuration_;
    std::set<Endpoint> allRoutes_;
    std::set<std::string> evacuatedZones_;
    std::vector<DelayedAction> delayedActions_;
    std::uint64_t nextServerNumber_ = 0x1000;
    // The startedAt of the latest server entry: a counter, since only the order matters.
    std::uint64_t lastStartNumber_ = 0;
    std::uint32_t nextRoute_ = 10;
    SeededRandom random_;
    double flowsDue_ = 0;
    TimePoint lastTick_;
    std::size_t nextStep_ = 0;
    TimePoint startedAt_;
};

}
