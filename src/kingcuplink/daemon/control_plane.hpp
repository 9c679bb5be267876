#ifndef KINGCUPLINK_DAEMON_CONTROL_PLANE_HPP_INCLUDED
#define KINGCUPLINK_DAEMON_CONTROL_PLANE_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <kingcuplink/authority/leadership.hpp>
#include <kingcuplink/daemon/allotment_manager.hpp>
#include <kingcuplink/daemon/document_replicator.hpp>
#include <kingcuplink/daemon/domain_leader.hpp>
#include <kingcuplink/daemon/job_replicator.hpp>
#include <kingcuplink/daemon/peer_directory.hpp>
#include <kingcuplink/gateway/control_api.hpp>
#include <kingcuplink/gateway/http_server.hpp>
#include <kingcuplink/gateway/request_router.hpp>
#include <kingcuplink/platform/platform_client.hpp>
#include <kingcuplink/platform/worker_client.hpp>
#include <memory>
#include <random>
#include <string>

namespace kingcuplink {

/*!
 * Control state of an entry VM: document, membership, leadership and, while it leads
 * its failure domain, placement. A single thread must run its context.
 */
class control_plane : public control_api {
public:
    /*!
     * Constructs the control plane and starts to listen for peers.
     * @param context Context of the control thread; all references must outlive this object.
     * Throws zmq::error_t if the peer address cannot be bound.
     */
    control_plane(
        boost::asio::io_context &context, daemon_settings const &settings, request_router &router, counters &stats);

    /*! Starts all background operations. Call once, before the context runs. */
    void start();

    /*! Gives up leadership and notifies the peers that this entry VM drains and leaves. */
    void resign();

    boost::asio::awaitable<api_answer> serve(api_request request) override;

    [[nodiscard]] boost::asio::io_context &context() noexcept override;

private:
    void handle(wire::envelope const &message);
    void handle_heartbeat(std::string const &peer, wire::heartbeat const &heartbeat_message);
    boost::asio::awaitable<void> handle_call(std::string peer, wire::call call);
    void apply(role_change change);
    void begin_leadership();
    void end_leadership();
    void document_changed(std::shared_ptr<document const> const &rules);

    boost::asio::awaitable<void> heartbeat_loop();
    boost::asio::awaitable<void> remote_heartbeat_loop();
    boost::asio::awaitable<void> clock_loop();
    boost::asio::awaitable<void> vm_list_loop();
    void send_heartbeats(bool to_own_domain, bool farewell);
    void publish_view();
    [[nodiscard]] bool is_cut_off(instant now) const;

    boost::asio::awaitable<api_answer> serve_jobs(api_request request);
    boost::asio::awaitable<api_answer> submit_job(std::string team, api_request const &request);
    boost::asio::awaitable<api_answer> find_job(std::string key, std::string team, bool cancel);
    boost::asio::awaitable<api_answer> list_jobs(std::string team);
    boost::asio::awaitable<api_answer> call_domain(std::string domain, wire::call_kind kind, boost::json::object body);
    boost::asio::awaitable<api_answer> answer_call(wire::call_kind kind, boost::json::object body);
    static boost::asio::awaitable<api_answer> answer_submission(
        domain_leader &local_leader, wire::call_kind kind, boost::json::object body);
    static boost::asio::awaitable<api_answer> answer_job_call(
        domain_leader &local_leader, wire::call_kind kind, boost::json::object body);
    [[nodiscard]] std::string domain_for_new_jobs() const;
    [[nodiscard]] std::string new_job_key(std::string const &domain);
    [[nodiscard]] bool has_leader(std::string const &domain, instant now) const;
    [[nodiscard]] std::string home_domain(std::string const &job_name) const;
    boost::asio::awaitable<api_answer> submit_once(std::string team, api_request const &request, job_spec spec);
    [[nodiscard]] bool is_operator(std::string const &key) const;
    [[nodiscard]] api_answer status();
    [[nodiscard]] api_answer set_faults(api_request const &request);

    boost::asio::io_context &context_;
    daemon_settings const &settings_;
    request_router &router_;
    counters &stats_;
    http_client http_;
    platform_client platform_;
    worker_client workers_;
    peer_directory peers_;
    job_replicator jobs_;
    allotment_manager allotments_;
    leadership leadership_;
    document_replicator documents_;
    std::shared_ptr<domain_leader> local_leader_;
    vm_list vms_;
    bool draining_{};
    std::mt19937_64 random_;
};

} // namespace kingcuplink

#endif
