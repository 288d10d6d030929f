#pragma once

#include "Core/Error.h"

#include <filesystem>
#include <memory>
#include <string>

namespace wisteriadock {

// A temporary directory for the settings, records and logs of a run. The destructor removes it unless keep() was
// called.
class RunDirectory {
public:
    static Result<std::unique_ptr<RunDirectory>> create();
    ~RunDirectory();
    RunDirectory(const RunDirectory&) = delete;
    RunDirectory& operator=(const RunDirectory&) = delete;

    const std::filesystem::path& path() const { return path_; }
    void keep() { kept_ = true; }

    // Fails with Unavailable when the file can't be written.
    Result<std::filesystem::path> write(const std::string& name, const std::string& text) const;

private:
    explicit RunDirectory(std::filesystem::path path)
        : path_(std::move(path))
    {
    }

    std::filesystem::path path_;
    bool kept_ = false;
};

}
