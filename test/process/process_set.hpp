#ifndef KINGCUPLINK_TEST_PROCESS_PROCESS_SET_HPP_INCLUDED
#define KINGCUPLINK_TEST_PROCESS_PROCESS_SET_HPP_INCLUDED

#include "address_pool.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace kingcuplink::test {

/*! Named processes that a test started; it ends just these. Not thread safe. */
class process_set {
public:
    /*! Constructs an empty set whose processes write their output to files of a new folder. */
    process_set();

    /*! Kills all processes and frees the ports. */
    ~process_set();

    process_set(process_set const &) = delete;
    process_set &operator=(process_set const &) = delete;

    /*! Starts a process; throws if that fails. Its output is appended to the file of its name. */
    void spawn(std::string const &name, std::vector<std::string> arguments);

    /*! Sends a signal. Precondition: the process was started and not waited for. */
    void signal(std::string const &name, int number);

    /*! Tells whether a process handles or ignores a signal by now; before its main(), none does.
     * Precondition: it was started and not waited for. */
    [[nodiscard]] bool handles(std::string const &name, int number) const;

    /*! Kills a process and waits for its end. */
    void kill(std::string const &name);

    /*! Stops a process gracefully; returns its exit code, or -1 if a signal ended it. */
    int stop(std::string const &name);

    /*! Tells whether a process was started and not waited for. */
    [[nodiscard]] bool contains(std::string const &name) const;

    /*! Tells whether a process that was started has ended by itself. */
    [[nodiscard]] bool has_ended(std::string const &name);

    /*! Returns an address of the loopback interface that no other set of this process has. */
    [[nodiscard]] std::string take_address() {
        return addresses_.take_address();
    }

    /*! Returns the folder of the outputs. */
    [[nodiscard]] std::string const &folder() const noexcept {
        return folder_;
    }

private:
    address_pool addresses_;
    std::string folder_;
    std::map<std::string, pid_t> processes_;
};

/*! Waits until a condition is true, for a time at most; returns whether it became true. */
bool comes_true(std::function<bool()> const &condition, std::chrono::milliseconds limit = std::chrono::seconds{20});

} // namespace kingcuplink::test

#endif
