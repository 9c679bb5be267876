#ifndef KINGCUPLINK_TEST_PROCESS_LOAD_HPP_INCLUDED
#define KINGCUPLINK_TEST_PROCESS_LOAD_HPP_INCLUDED

#include "fleet.hpp"

#include <atomic>
#include <mutex>
#include <thread>

namespace kingcuplink::test {

/*! What a caller was told of a request. */
struct told {
    bool repeatable{};
    unsigned status{};
    /*! True if it was told that the request was not run. */
    bool not_run{};
    /*! True if a whole answer came, and it was the answer to this request. */
    bool answered_right{};
    /*! True if an answer to another request came. */
    bool answered_wrong{};
};

/*! Callers that send requests and submit jobs to all entry VMs while a test goes on. */
class load {
public:
    /*! Starts callers. */
    load(fleet const &target, std::size_t request_callers, std::size_t job_callers);

    /*! Stops the callers and waits for them. */
    ~load();

    load(load const &) = delete;
    load &operator=(load const &) = delete;

    /*! Stops the callers, waits for all accepted jobs to end, and returns what was wrong, one a line. */
    [[nodiscard]] std::string verdict(std::chrono::milliseconds limit);

    /*! Returns the number of requests that were answered. */
    [[nodiscard]] std::size_t answered() const noexcept;

    /*! Returns the number of jobs that were accepted. */
    [[nodiscard]] std::size_t jobs() const;

private:
    void send_requests(std::size_t caller);
    void submit_jobs(std::size_t caller);
    void stop();

    fleet const &target_;
    std::atomic<bool> stopping_{};
    std::atomic<std::size_t> answered_{};
    std::vector<std::thread> threads_;
    mutable std::mutex mutex_;
    std::map<std::string, told> requests_;
    std::vector<std::string> jobs_;
};

} // namespace kingcuplink::test

#endif
