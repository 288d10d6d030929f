#include "Experiment/RunDirectory.h"

#include <fstream>
#include <system_error>

#include <cstdlib>

namespace wisteriadock {

Result<std::unique_ptr<RunDirectory>> RunDirectory::create()
{
    std::error_code error;
    const auto parent = std::filesystem::temp_directory_path(error);
    std::string pattern = (parent / "wisteriadock-experiment-XXXXXX").string();
    if (error || !mkdtemp(pattern.data()))
        return Error { ErrorCode::Unavailable, "cannot create a temporary directory from " + pattern };
    return std::unique_ptr<RunDirectory>(new RunDirectory(pattern));
}

RunDirectory::~RunDirectory()
{
    std::error_code ignored;
    if (!kept_)
        std::filesystem::remove_all(path_, ignored);
}

Result<std::filesystem::path> RunDirectory::write(const std::string& name, const std::string& text) const
{
    const auto path = path_ / name;
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file)
        return Error { ErrorCode::Unavailable, "cannot write '" + path.string() + "'" };
    return path;
}

}
