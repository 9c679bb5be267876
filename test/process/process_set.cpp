#include "process_set.hpp"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <kingcuplink/core/file_limit.hpp>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace kingcuplink::test {

namespace {

constexpr auto poll_interval = std::chrono::milliseconds{20};

} // namespace

process_set::process_set() {
    raise_file_limit();
    folder_ = (std::filesystem::temp_directory_path() /
        ("kingcuplink-test-" + std::to_string(::getpid()) + "-" + std::to_string(addresses_.first_port())))
                  .string();
    std::filesystem::create_directories(folder_);
}

process_set::~process_set() {
    for(auto const &[name, pid]: processes_) {
        ::kill(pid, SIGCONT);
        ::kill(pid, SIGKILL);
    }
    for(auto const &[name, pid]: processes_) {
        ::waitpid(pid, nullptr, 0);
    }
}

void process_set::spawn(std::string const &name, std::vector<std::string> arguments) {
    std::vector<char *> pointers;
    for(auto &argument: arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    auto const log = folder_ + "/" + name + ".log";
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid{};
    auto const failed = ::posix_spawn(&pid, pointers.front(), &actions, nullptr, pointers.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if(failed != 0) {
        throw std::runtime_error{"cannot start " + arguments.front()};
    }
    processes_[name] = pid;
}

void process_set::signal(std::string const &name, int const number) {
    ::kill(processes_.at(name), number);
}

bool process_set::handles(std::string const &name, int const number) const {
    std::ifstream status{"/proc/" + std::to_string(processes_.at(name)) + "/status"};
    std::uint64_t handled{};
    for(std::string line; std::getline(status, line);) {
        if(line.starts_with("SigIgn:") || line.starts_with("SigCgt:")) {
            handled |= std::stoull(line.substr(line.find('\t')), nullptr, 16);
        }
    }
    return ((handled >> static_cast<unsigned>(number - 1)) & 1u) != 0u;
}

void process_set::kill(std::string const &name) {
    auto const pid = processes_.at(name);
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    processes_.erase(name);
}

int process_set::stop(std::string const &name) {
    auto const pid = processes_.at(name);
    ::kill(pid, SIGTERM);
    int result{};
    ::waitpid(pid, &result, 0);
    processes_.erase(name);
    return WIFEXITED(result) ? WEXITSTATUS(result) : -1;
}

bool process_set::contains(std::string const &name) const {
    return processes_.contains(name);
}

bool process_set::has_ended(std::string const &name) {
    siginfo_t end{};
    ::waitid(P_PID, static_cast<id_t>(processes_.at(name)), &end, WEXITED | WNOHANG | WNOWAIT);
    return end.si_pid != 0;
}

bool comes_true(std::function<bool()> const &condition, std::chrono::milliseconds const limit) {
    auto const end = std::chrono::steady_clock::now() + limit;
    while(std::chrono::steady_clock::now() < end) {
        if(condition()) {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return condition();
}

} // namespace kingcuplink::test
