// Runs the stand-in for the platform's log and list of VMs.
#include "platform.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/signal_set.hpp>

ABSL_FLAG(std::string, address, "127.0.0.1:7000", "IP number and port; the administration is one port up.");
ABSL_FLAG(std::uint64_t, retention, 1000000, "Records that a stream keeps.");
ABSL_FLAG(int, vm_lag_ms, 0, "Lag of the list of VMs in milliseconds.");

int main(int argc, char **argv) {
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context context{1};
    kingcuplink::standin::platform state{
        {.retention = absl::GetFlag(FLAGS_retention), .vm_lag_ms = absl::GetFlag(FLAGS_vm_lag_ms)}};
    state.start(context, absl::GetFlag(FLAGS_address));
    boost::asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&context](auto const &, int) { context.stop(); });
    context.run();
    return 0;
}
