#pragma once

#include "Experiment/Deployment.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisteriadock {

// The process that simulates the callers and generates load for the length of a run.
class CallerRun {
public:
    // The deployment outlives the run.
    static Result<std::unique_ptr<CallerRun>> start(
        Deployment&, const ExperimentOptions&, const std::vector<std::string>& extraArguments);

    TimePoint begin() const { return begin_; }
    bool isOver() { return !process_->running(); }
    // Reads the counters and records after the run. Fails with Unavailable when the process failed or left no records.
    Result<void> readResults(EventLoop&);

    // The value of a row that the process printed; 0 when it is missing.
    std::uint64_t row(const std::string& name) const;
    // The record of every broken flow and every request.
    const nlohmann::json& records() const { return records_; }

private:
    CallerRun(std::unique_ptr<ChildProcess> process, std::filesystem::path recordFile);

    std::unique_ptr<ChildProcess> process_;
    std::filesystem::path recordFile_;
    TimePoint begin_;
    std::map<std::string, std::uint64_t> rows_;
    nlohmann::json records_;
};

}
