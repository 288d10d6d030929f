#include "Experiment/ChildProcess.h"

#include <fmt/format.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <ctime>
#include <fstream>
#include <sstream>

namespace wisteriadock {

namespace {

    constexpr int childSetupFailed = 127;
    constexpr std::size_t readSize = 4096;

    // Runs in the forked child, where only async-signal-safe calls are allowed. PR_SET_PDEATHSIG, which posix_spawn
    // does not support, kills the child when its parent dies.
    [[noreturn]] void executeProgram(char* const* arguments, int output, int log, pid_t parent)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(childSetupFailed);
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, nullptr);
        dup2(output, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        // Inherited sockets would keep their addresses in use after the parent has closed them.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execv(arguments[0], arguments);
        _exit(childSetupFailed);
    }

    Error systemError(const std::string& what)
    {
        return { ErrorCode::Unavailable, fmt::format("{}: {}", what, std::strerror(errno)) };
    }

}

Result<std::unique_ptr<ChildProcess>> ChildProcess::start(boost::asio::io_context& context, ChildCommand command)
{
    std::unique_ptr<ChildProcess> process(new ChildProcess(context, std::move(command)));
    BOOST_OUTCOME_TRYV(process->spawn());
    Output::read(process->output_);
    return process;
}

ChildProcess::ChildProcess(boost::asio::io_context& context, ChildCommand command)
    : command_(std::move(command))
    , output_(std::make_shared<Output>(context))
{
}

ChildProcess::~ChildProcess()
{
    boost::system::error_code ignored;
    output_->descriptor.close(ignored);
    if (pid_ <= 0)
        return;
    signal(SIGKILL);
    if (!exitCode_)
        reap(0);
}

Result<void> ChildProcess::spawn()
{
    if (access(command_.program.c_str(), X_OK) != 0)
        return systemError(command_.program.string());
    std::array<int, 2> pipeEnds {};
    if (pipe2(pipeEnds.data(), O_CLOEXEC) != 0)
        return systemError("pipe");
    const std::string logPath = command_.logDirectory / (command_.name + ".err");
    const int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (log < 0)
        return systemError(logPath);

    std::string program = command_.program.string();
    std::vector<char*> arguments { program.data() };
    for (std::string& argument : command_.arguments)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);

    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0)
        executeProgram(arguments.data(), pipeEnds[1], log, parent);
    close(pipeEnds[1]);
    close(log);
    output_->descriptor.assign(pipeEnds[0]);
    if (pid_ < 0)
        return systemError("fork");
    return boost::outcome_v2::success();
}

ChildProcess::Output::Output(boost::asio::io_context& context)
    : descriptor(context)
    , buffer(readSize, '\0')
{
}

void ChildProcess::Output::read(const std::shared_ptr<Output>& output)
{
    output->descriptor.async_read_some(
        boost::asio::buffer(output->buffer), [output](const boost::system::error_code& error, std::size_t size) {
            if (error || !output->descriptor.is_open())
                return;
            output->text.append(output->buffer, 0, size);
            output->parseLines();
            read(output);
        });
}

void ChildProcess::Output::parseLines()
{
    for (auto end = text.find('\n', parsed); end != std::string::npos; end = text.find('\n', parsed)) {
        const std::string_view line = std::string_view(text).substr(parsed, end - parsed);
        parsed = end + 1;
        constexpr std::string_view prefix = "listening ";
        if (!line.starts_with(prefix))
            continue;
        const auto lastSpace = line.rfind(' ');
        const std::string name(line.substr(prefix.size(), std::max(lastSpace, prefix.size()) - prefix.size()));
        const std::string_view address = line.substr(lastSpace + 1);
        if (const auto endpoint = Endpoint::parse(address))
            addresses[name] = endpoint.value();
    }
}

std::optional<Endpoint> ChildProcess::listening(const std::string& name) const
{
    const auto found = output_->addresses.find(name);
    if (found == output_->addresses.end())
        return std::nullopt;
    return found->second;
}

std::string ChildProcess::errorTail() const
{
    constexpr std::size_t tailBytes = 2000;
    std::ifstream file(command_.logDirectory / (command_.name + ".err"));
    std::ostringstream text;
    text << file.rdbuf();
    const std::string all = text.str();
    return all.size() <= tailBytes ? all : all.substr(all.size() - tailBytes);
}

void ChildProcess::signal(int number)
{
    if (running())
        kill(pid_, number);
}

bool ChildProcess::running() { return !exitCode(); }

std::optional<int> ChildProcess::exitCode()
{
    if (!exitCode_)
        reap(WNOHANG);
    return exitCode_;
}

void ChildProcess::reap(int waitOptions)
{
    int status = 0;
    if (waitpid(pid_, &status, waitOptions) != pid_)
        return;
    constexpr int signalBase = 128;
    exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : signalBase + WTERMSIG(status);
}

double ChildProcess::processorSeconds() const
{
    clockid_t clock {};
    timespec used {};
    if (exitCode_ || clock_getcpuclockid(pid_, &clock) != 0 || clock_gettime(clock, &used) != 0)
        return 0;
    constexpr double nanosecond = 1e-9;
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * nanosecond;
}

}
