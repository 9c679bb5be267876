#include "process_set.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <kingcuplink/core/file_limit.hpp>
#include <spawn.h>
#include <stdexcept>
#include <sys/file.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace kingcuplink::test {

namespace {

constexpr int first_port = 10'000;
constexpr int last_port = 31'000;
constexpr int ports_per_set = 150;
constexpr auto poll_interval = std::chrono::milliseconds{20};

/*! Locks the ports of a set for this process; returns the lock's descriptor, or -1 if another has them. */
int lock_ports(int const first) {
    auto const path = std::filesystem::temp_directory_path() / ("kingcuplink-ports-" + std::to_string(first));
    auto const lock = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
    if(lock >= 0 && ::flock(lock, LOCK_EX | LOCK_NB) != 0) {
        ::close(lock);
        return -1;
    }
    return lock;
}

/*! Tells whether nobody listens on a port of the loopback interface. */
bool is_free(int const port) {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor{context, boost::asio::ip::tcp::v4()};
    boost::system::error_code error;
    acceptor.set_option(boost::asio::socket_base::reuse_address{true}, error);
    acceptor.bind({boost::asio::ip::address_v4::loopback(), static_cast<boost::asio::ip::port_type>(port)}, error);
    return !error;
}

} // namespace

process_set::process_set() {
    raise_file_limit();
    for(auto first = first_port; lock_ < 0 && first < last_port; first += ports_per_set) {
        lock_ = lock_ports(first);
        next_port_ = first;
    }
    if(lock_ < 0) {
        throw std::runtime_error{"all ports for tests are taken: end other tests"};
    }
    folder_ = (std::filesystem::temp_directory_path() /
        ("kingcuplink-test-" + std::to_string(::getpid()) + "-" + std::to_string(next_port_)))
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
    ::close(lock_);
}

std::string process_set::take_address() {
    while(!is_free(next_port_)) {
        ++next_port_;
    }
    return "127.0.0.1:" + std::to_string(next_port_++);
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
