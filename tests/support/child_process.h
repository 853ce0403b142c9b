// Runs a program from the build folder as a child process and reads its output.
#pragma once

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <optional>
#include <spawn.h>
#include <string>
#include <string_view>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

extern char** environ;

namespace savoryrelay::tests {

/// A child process whose standard output and standard error share one pipe. The
/// destructor kills the process.
class child_process {
public:
    explicit child_process(const std::string& program, std::vector<std::string> arguments) {
        const char* build_folder = std::getenv("SAVORYRELAY_BUILD");
        arguments.insert(arguments.begin(),
                         std::string(build_folder == nullptr ? "." : build_folder) + "/" + program);
        std::vector<char*> argument_pointers;
        for (auto& argument : arguments) {
            argument_pointers.push_back(argument.data());
        }
        argument_pointers.push_back(nullptr);
        int pipe_ends[2] = {-1, -1};
        REQUIRE(::pipe(pipe_ends) == 0);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
        posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDERR_FILENO);
        posix_spawn_file_actions_addclose(&actions, pipe_ends[0]);
        REQUIRE(::posix_spawn(&m_pid, argument_pointers[0], &actions, nullptr,
                              argument_pointers.data(), environ) == 0);
        posix_spawn_file_actions_destroy(&actions);
        ::close(pipe_ends[1]);
        m_output = pipe_ends[0];
    }
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process() {
        send(SIGKILL);
        wait();
        ::close(m_output);
    }

    [[nodiscard]] pid_t id() const { return m_pid; }

    void send(int signal) const {
        if (!m_status) {
            ::kill(m_pid, signal);
        }
    }

    /// Stops the process with SIGSTOP and waits until all its threads have stopped, which on a
    /// busy machine is some time after the signal was sent.
    void pause() const {
        send(SIGSTOP);
        siginfo_t info{};
        REQUIRE(::waitid(P_PID, static_cast<id_t>(m_pid), &info, WSTOPPED) == 0);
    }

    /// Waits until the process ends. Returns its exit code, or -1 if a signal killed it.
    int wait() {
        if (!m_status) {
            int status = 0;
            ::waitpid(m_pid, &status, 0);
            m_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        return *m_status;
    }

    /// Returns whether the process has ended, without waiting for it.
    bool has_ended() {
        int status = 0;
        if (!m_status && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        return m_status.has_value();
    }

    /// Reads output until a line contains `text`, and returns that line.
    std::string read_until(std::string_view text) {
        std::string line;
        char c = 0;
        while (::read(m_output, &c, 1) == 1) {
            if (c != '\n') {
                line.push_back(c);
            } else if (line.find(text) != std::string::npos) {
                return line;
            } else {
                line.clear();
            }
        }
        FAIL("the process ended before it wrote '" << text << "'");
        return {};
    }

    /// Reads output until a line contains `text`, and returns the port that follows
    /// the IP address in that line.
    std::string read_port(std::string_view text) {
        const auto line = read_until(text);
        const auto colon = line.find(':', line.find("127.0.0.1"));
        return line.substr(colon + 1, line.find_first_not_of("0123456789", colon + 1) - colon - 1);
    }

private:
    pid_t m_pid = -1;
    int m_output = -1;
    std::optional<int> m_status;
};

} // namespace savoryrelay::tests
