#include "Experiment/ChildProcess.h"

#include "Experiment/EventLoop.h"
#include "Net/UdpSocket.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <span>
#include <thread>

namespace wisteriadock {
namespace {

    using namespace std::chrono_literals;

    class ChildProcessTest : public testing::Test {
    protected:
        void SetUp() override
        {
            std::string pattern = testing::TempDir() + "child-process-XXXXXX";
            ASSERT_NE(mkdtemp(pattern.data()), nullptr);
            directory_ = pattern;
        }
        void TearDown() override { std::filesystem::remove_all(directory_); }

        std::unique_ptr<ChildProcess> startShell(const std::string& script)
        {
            auto process = ChildProcess::start(loop_.context(), { "shell", "/bin/sh", { "-c", script }, directory_ });
            EXPECT_TRUE(process);
            return std::move(process).value();
        }

        void waitFor(const std::function<bool()>& condition)
        {
            ASSERT_TRUE(loop_.waitUntil(condition, 10s, "the test's condition"));
        }

        // Returns the process state from /proc, such as T for stopped.
        static char stateOf(pid_t pid)
        {
            std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
            std::string text;
            std::getline(file, text);
            const auto nameEnd = text.rfind(')');
            return nameEnd == std::string::npos ? '\0' : text[nameEnd + 2];
        }

        EventLoop loop_;
        std::filesystem::path directory_;
    };

    // Guards against a child process that inherits a socket and keeps its address in use after the parent closed it.
    TEST_F(ChildProcessTest, ChildInheritsNoSockets)
    {
        const auto ignore = [](const Endpoint&, std::span<const std::uint8_t>) {};
        auto socket = UdpSocket::bind(loop_.context(), { 0x7F000001, 0 }, ignore);
        ASSERT_TRUE(socket);
        const Endpoint address = socket.value()->address();
        const auto child = startShell("echo listening ready 127.0.0.1:1; sleep 30");
        waitFor([&] { return child->listening("ready").has_value(); });
        socket.value().reset();
        EXPECT_TRUE(UdpSocket::bind(loop_.context(), address, ignore));
        child->signal(SIGKILL);
        waitFor([&] { return !child->running(); });
    }

    TEST_F(ChildProcessTest, ParsesListeningLinesAndKeepsOutput)
    {
        const auto process = startShell("echo listening flow 127.0.0.1:5; echo listening 127.0.0.1:6;"
                                        "echo listening flow tryon-1 127.0.0.1:7; echo flows 3;"
                                        "echo trouble >&2; exit 4");
        waitFor([&] { return process->exitCode().has_value() && process->output().ends_with("flows 3\n"); });
        EXPECT_EQ(process->listening("flow"), Endpoint::parse("127.0.0.1:5").value());
        EXPECT_EQ(process->listening(), Endpoint::parse("127.0.0.1:6").value());
        EXPECT_EQ(process->listening("flow tryon-1"), Endpoint::parse("127.0.0.1:7").value());
        EXPECT_FALSE(process->listening("peer"));
        EXPECT_EQ(process->exitCode(), 4);
        EXPECT_EQ(process->errorTail(), "trouble\n");
    }

    TEST_F(ChildProcessTest, StopsContinuesAndKillsByProcessId)
    {
        const auto process = startShell("echo up; while :; do sleep 0.01; done");
        waitFor([&] { return !process->output().empty(); });
        process->signal(SIGSTOP);
        waitFor([&] { return stateOf(process->pid()) == 'T'; });
        EXPECT_TRUE(process->running());
        process->signal(SIGCONT);
        waitFor([&] { return stateOf(process->pid()) != 'T'; });
        process->signal(SIGKILL);
        waitFor([&] { return !process->running(); });
        EXPECT_EQ(process->exitCode(), 128 + SIGKILL);
    }

    TEST_F(ChildProcessTest, DestructorKillsStoppedProcess)
    {
        pid_t pid = 0;
        {
            const auto process = startShell("while :; do sleep 0.01; done");
            pid = process->pid();
            process->signal(SIGSTOP);
        }
        EXPECT_EQ(kill(pid, 0), -1);
    }

    // Guards against a read handler that uses a destroyed ChildProcess. Only an address sanitizer detects this
    // reliably.
    TEST_F(ChildProcessTest, DestructionWithPendingReadHandler)
    {
        auto process = startShell("i=0; while [ $i -lt 500 ]; do echo 0123456789012345678901234567890123456789; "
                                  "i=$((i+1)); done");
        while (process->running())
            std::this_thread::yield();
        while (process->output().empty())
            loop_.context().run_one();
        process.reset();
        EXPECT_GT(loop_.context().poll(), 0U);
    }

    TEST_F(ChildProcessTest, StartErrorNamesTheProgram)
    {
        const auto process = ChildProcess::start(loop_.context(), { "absent", directory_ / "absent", {}, directory_ });
        ASSERT_FALSE(process);
        EXPECT_EQ(process.error().code, ErrorCode::Unavailable);
        EXPECT_NE(process.error().detail.find("absent"), std::string::npos);
    }

    TEST_F(ChildProcessTest, MeasuresProcessorTime)
    {
        const auto process = startShell("while :; do :; done");
        waitFor([&] { return process->processorSeconds() > 0.02; });
    }

}
}
