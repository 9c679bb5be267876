#include <algorithm>
#include <boost/json/parse.hpp>
#include <chrono>
#include <climits>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <kingcuplink/core/decision_log.hpp>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace kingcuplink::test {

namespace {

/*! Pipe that only the test reads from. */
struct pipe_pair {
    pipe_pair() {
        REQUIRE(::pipe2(ends, O_CLOEXEC | O_NONBLOCK) == 0);
    }

    ~pipe_pair() {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    pipe_pair(pipe_pair const &) = delete;
    pipe_pair &operator=(pipe_pair const &) = delete;

    /*! Reads all available data. */
    std::string read_all() {
        std::string text;
        char buffer[4096];
        for(auto count = ::read(ends[0], buffer, sizeof(buffer)); count > 0;
            count = ::read(ends[0], buffer, sizeof(buffer))) {
            text.append(buffer, static_cast<std::size_t>(count));
        }
        return text;
    }

    int ends[2]{};
};

} // namespace

TEST_CASE("a decision is logged as one JSON object per line") {
    pipe_pair pipe;
    decision_log log{pipe.ends[1], "vm-1"};
    log.write(decision::job_accepted, {{"job", "0123456789abcdef"}, {"ms", 19}});
    log.flush();
    auto const text = pipe.read_all();
    REQUIRE(!text.empty());
    CHECK(text.back() == '\n');
    auto const line = boost::json::parse(text.substr(0u, text.size() - 1u)).as_object();
    CHECK(line.at("vm").as_string() == "vm-1");
    CHECK(line.at("event").as_string() == "job_accepted");
    CHECK(line.at("ms").as_int64() == 19);
    CHECK(line.contains("time_ms"));
}

TEST_CASE("a reader that does not read causes dropped lines but no delay") {
    pipe_pair pipe;
    decision_log log{pipe.ends[1], "vm-1"};
    auto const begin = std::chrono::steady_clock::now();
    std::string const filler(1'000u, 'x');
    for(auto number = 0; number < 6'000; ++number) {
        // Alternates between kinds so that the limit of a single kind is not reached first.
        log.write(static_cast<decision>(static_cast<std::size_t>(number) % decision_count), {{"filler", filler}});
        log.flush();
    }
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds{5});
    CHECK(log.dropped() > 0u);
    // The text consists of complete lines, except possibly for the last one.
    auto const text = pipe.read_all();
    auto const first_line = text.substr(0u, text.find('\n'));
    CHECK_NOTHROW(boost::json::parse(first_line));
}

// Guards against lost and corrupted lines: log collectors kept only the beginning of large writes, and pipes split
// them.
TEST_CASE("one write contains complete lines only, as many as a pipe accepts at once") {
    struct row {
        std::string_view what;
        std::size_t filler;
        std::size_t lines;
    };
    for(auto const &item: {row{"few lines", 10u, 3u}, row{"short lines", 10u, 500u}, row{"long lines", 1'500u, 40u},
            row{"lines longer than a pipe accepts at once", 5'000u, 5u}}) {
        CAPTURE(item.what);
        int ends[2]{};
        // Each read from a SOCK_SEQPACKET socket returns the data of one write.
        REQUIRE(::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0, ends) == 0);
        {
            decision_log log{ends[1], "vm-1"};
            for(std::size_t pos{}; pos < item.lines; ++pos) {
                log.write(decision::run_ended, {{"filler", std::string(item.filler, 'x')}});
            }
            log.flush();
        }
        std::size_t lines{};
        std::vector<char> buffer(1u << 20u);
        for(auto count = ::read(ends[0], buffer.data(), buffer.size()); count > 0;
            count = ::read(ends[0], buffer.data(), buffer.size())) {
            auto const in_write = std::count(buffer.begin(), buffer.begin() + count, '\n');
            CHECK(buffer[static_cast<std::size_t>(count) - 1u] == '\n');
            CHECK((count <= PIPE_BUF || in_write == 1));
            lines += static_cast<std::size_t>(in_write);
        }
        CHECK(lines == item.lines);
        ::close(ends[0]);
        ::close(ends[1]);
    }
}

TEST_CASE("lines of one kind above the limit are counted but not written") {
    pipe_pair pipe;
    decision_log log{pipe.ends[1], "vm-1"};
    for(auto number = 0; number < 50'000; ++number) {
        log.write(decision::run_ended, {});
    }
    CHECK(log.dropped() >= 4'000u);
    log.write(decision::job_ended, {{"job", "other"}});
    log.flush();
}

} // namespace kingcuplink::test
