#ifndef KINGCUPLINK_GATEWAY_FLEET_VIEW_HPP_INCLUDED
#define KINGCUPLINK_GATEWAY_FLEET_VIEW_HPP_INCLUDED

#include <kingcuplink/admission/fair_queue.hpp>
#include <kingcuplink/document/document.hpp>
#include <kingcuplink/routing/runner_pool.hpp>
#include <memory>
#include <string>
#include <vector>

namespace kingcuplink {

/*! Entry VM of another failure domain that may take requests over. */
struct spill_target {
    std::string name;
    std::string http_address;
    std::int64_t free_slots{};
};

/*! What the control thread tells the traffic threads. Immutable once published. */
struct fleet_view {
    /*! Document in force, or null. */
    std::shared_ptr<document const> rules;
    /*! True while neither the log nor a peer of another failure domain can be reached. */
    bool cut_off{};
    /*! Runners of this failure domain, with this entry VM's part of the slots. */
    std::vector<runner_slots> runners;
    /*! Terms of the teams in this entry VM. */
    std::vector<team_limits> limits;
    std::vector<spill_target> spill_targets;
};

} // namespace kingcuplink

#endif
