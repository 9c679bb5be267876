#ifndef KINGCUPLINK_TEST_PROCESS_ADDRESS_POOL_HPP_INCLUDED
#define KINGCUPLINK_TEST_PROCESS_ADDRESS_POOL_HPP_INCLUDED

#include <string>

namespace kingcuplink::test {

/*! Range of loopback ports that no other pool on this machine has, also in other processes. Not thread safe. */
class address_pool {
public:
    /*! Locks a range of ports; throws if all are taken. */
    address_pool();

    /*! Frees the ports. */
    ~address_pool();

    address_pool(address_pool const &) = delete;
    address_pool &operator=(address_pool const &) = delete;

    /*! Returns an address of the loopback interface on which nobody listens, each once. */
    [[nodiscard]] std::string take_address();

    /*! Returns the first port of the range, which names this pool among those that exist. */
    [[nodiscard]] int first_port() const noexcept {
        return first_port_;
    }

private:
    /*! Descriptor of the file whose lock keeps the range. */
    int lock_{-1};
    int first_port_{};
    int next_port_{};
};

} // namespace kingcuplink::test

#endif
