#pragma once

#include "Forward/ForwardFixture.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace wisteriadock {

// How balancers learn the load in LoadSimulation.
enum class LoadKnowledge {
    None,
    Summed, // At the end of each report interval.
    Delayed, // As above, 0.5 to 1 s later, different for each balancer.
    Own, // Each balancer's own observation times the number of balancers of its zone.
};

struct LoadScenario {
    int balancersPerZone = 2;
    LoadKnowledge knowledge = LoadKnowledge::None;
    OverloadSettings overload { true, true };
    double seconds = 20;
    std::chrono::milliseconds targetLatency { 400 };
    std::uint64_t seed = 1;
    // The demand of a zone's callers as a share of one zone's slots, by zone, priority (0 or 1) and second.
    std::function<double(int, int, double)> demand;
    // The factor on the service time, by server and second.
    std::function<double(int, double)> slowness = [](int, double) { return 1.0; };
    // All balancers restart then, if it is set.
    double restartAt = -1;
    // Changes a load before the balancers know it.
    std::function<void(ServiceLoad&, double)> distort = [](ServiceLoad&, double) {};
};

// Plays callers in three zones, balancers and servers without a network. Servers process 2 requests at a time, queue 8
// and reject others. Three in ten requests come from callers that keep their flow open for 10 requests with pauses, the
// others open a flow for each. Callers retry up to twice through another balancer of their zone.
class LoadSimulation {
public:
    static constexpr int zones = 3;
    static constexpr int serversPerZone = 20;
    static constexpr std::size_t slots = 2;
    static constexpr std::size_t queueLimit = 8;
    static constexpr double serviceSeconds = 0.04;
    static constexpr double keptShare = 0.3;
    static constexpr int requestsPerKeptFlow = 10;
    static constexpr std::size_t windowSeconds = 2;

    struct Count {
        int requests = 0;
        int inTime = 0;
        int attempts = 0;
        int rejected = 0;
        int refused = 0;

        double inTimeShare() const { return requests == 0 ? 1 : double(inTime) / requests; }
        double rejectedShare() const { return attempts == 0 ? 0 : double(rejected) / attempts; }
        void add(const Count& other)
        {
            requests += other.requests;
            inTime += other.inTime;
            attempts += other.attempts;
            rejected += other.rejected;
            refused += other.refused;
        }
    };

    explicit LoadSimulation(LoadScenario scenario);
    void run();

    // Sums over all that are not given; requests count in the window in which they began.
    Count count(int zone = -1, int priority = -1, int window = -1) const;
    int windows() const { return static_cast<int>(counts_.size()); }
    // Resets of open flows and of copies of openings.
    int brokenFlows = 0;

private:
    struct Request {
        int zone = 0;
        int priority = 0;
        // On this flow after this one.
        int following = 0;
        std::uint32_t caller = 0;
        int attempts = 0;
        int balancer = -1;
        int server = -1;
        TimePoint began;
        TokenPacket packet;
    };
    struct Server {
        std::size_t busy = 0;
        std::deque<Request> queue;
    };
    // Of the requests of one caller zone at one server zone, of one priority, through one balancer.
    struct Observed {
        int inProgress = 0;
        double busySeconds = 0;
        TimePoint since;
        RequestLoad load;

        void change(int by, TimePoint now)
        {
            busySeconds += inProgress * std::chrono::duration<double>(now - since).count();
            since = now;
            inProgress += by;
        }
    };
    using ObservedRows = std::array<std::array<Observed, 2>, zones>;
    struct Event {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> run;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    static std::string zoneName(int zone) { return fmt::format("zone-{}", zone); }
    double second() const { return std::chrono::duration<double>(clock_.now() - start_).count(); }
    double random() { return std::uniform_real_distribution<>(0, 1)(random_); }
    void after(double seconds, std::function<void()>);
    Count& countOf(const Request&);
    Observed& observedOf(const Request& request)
    {
        return observed_[request.balancer][request.server / serversPerZone][request.priority];
    }
    void start(std::size_t balancer);
    void arrive(int zone, int priority, int requests);
    void open(Request);
    void send(Request);
    void serve(Request);
    void answer(Request, bool isServed);
    void retry(Request);
    void goOn(Request);
    void report();
    void tick();

    LoadScenario scenario_;
    ManualClock clock_;
    TimePoint start_ = clock_.now();
    std::mt19937_64 random_;
    std::priority_queue<Event> events_;
    std::uint64_t eventNumber_ = 0;
    std::vector<std::unique_ptr<TokenRouter>> routers_;
    std::vector<ObservedRows> observed_;
    std::vector<Server> servers_;
    // The loads with the times from which on each balancer knows them.
    struct Report {
        std::vector<TimePoint> knownFrom;
        std::vector<ServiceLoad> byBalancer;
        ServiceLoad sum;
    };
    std::deque<Report> reports_;
    std::uint16_t port_ = 0;
    // By window, zone and priority.
    std::vector<std::array<std::array<Count, 2>, zones>> counts_;
};

}
