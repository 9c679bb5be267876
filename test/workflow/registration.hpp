#ifndef KINGCUPLINK_TEST_WORKFLOW_REGISTRATION_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_REGISTRATION_HPP_INCLUDED

#include <kingcuplink/workflow/types.hpp>
#include <string>

namespace kingcuplink::test {

/*! Returns the registration of worker number `pos`; consecutive workers share a failure domain. */
[[nodiscard]] inline worker_registration registration_of(std::size_t const pos, std::size_t const workers_per_domain,
    resources const &capacity, std::uint64_t const boot = 1u) {
    worker_registration entry;
    entry.name = "w" + std::to_string(pos);
    entry.address = "10.0.0.1:" + std::to_string(1'000u + pos);
    entry.service = "service";
    entry.domain = "d" + std::to_string(pos / workers_per_domain);
    entry.capacity = capacity;
    entry.boot = boot;
    return entry;
}

} // namespace kingcuplink::test

#endif
