#ifndef KINGCUPLINK_AUTHORITY_HOLD_TABLE_HPP_INCLUDED
#define KINGCUPLINK_AUTHORITY_HOLD_TABLE_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/ids.hpp>
#include <kingcuplink/core/resources.hpp>
#include <kingcuplink/core/time.hpp>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace kingcuplink {

/*!
 * Holds of one leader on the workers of its failure domain, and what each team
 * is known to use there.
 *
 * A start on worker x is charged what the team is known to use on x, and for
 * every other worker w either the known use, if w has confirmed the hold in
 * answer to a renewal sent after the hold on x began, or else the size of w:
 * until then another leader may have started that much there. With this rule
 * the sum stays within the limit for any number of leaders.
 * No I/O, no clock. Not thread safe.
 */
class hold_table {
public:
    /*! Adds a worker that is not held. */
    void add(worker_id worker, resources const &size);

    /*! Notes the grant of a lease that was asked for at a time. The hold begins now. */
    void granted(worker_id worker, instant sent_at, instant now);

    /*! Notes the answer to a renewal that was sent at a time. Ignored unless held. */
    void confirmed(worker_id worker, instant sent_at);

    /*! Notes that a hold is over. What was known of the worker's use stays. */
    void dropped(worker_id worker);

    /*! Ends all holds. */
    void drop_all();

    /*! Tells whether a worker is held and its lease has not lapsed. */
    [[nodiscard]] bool is_held(worker_id worker, instant now) const;

    /*! Returns the time at which the hold began; the epoch if there is none. */
    [[nodiscard]] instant hold_began(worker_id worker) const;

    /*! Returns the time at which any lease that this leader got has surely ended. */
    [[nodiscard]] instant lease_end(worker_id worker) const;

    /*! Tells whether some worker has to be renewed before charges are exact. */
    [[nodiscard]] bool needs_confirmation() const;

    /*! Adds to what a team is known to use on a worker. */
    void add_use(worker_id worker, team_id team, resources const &amount);

    /*! Takes from what a team is known to use on a worker. */
    void remove_use(worker_id worker, team_id team, resources const &amount);

    /*! Returns what a team may be using in the failure domain, as seen before a start on a worker. */
    [[nodiscard]] resources charge_before_start(team_id team, worker_id worker) const;

    /*! Tells whether a start keeps a team within a limit. False if the worker is not held. */
    [[nodiscard]] bool may_start(
        team_id team, worker_id worker, resources const &amount, resources const &limit, instant now) const;

    /*! Returns what a team is known to use. */
    [[nodiscard]] resources known_use(team_id team) const;

private:
    struct hold {
        worker_id worker;
        resources size;
        instant began{};
        instant confirmed{};
        instant last_granted_until{};
        bool held{};
        std::map<team_id, resources> use{};
    };

    [[nodiscard]] hold *find(worker_id worker);
    [[nodiscard]] hold const *find(worker_id worker) const;
    void set_confirmed(hold &entry, instant sent_at);

    std::vector<hold> holds_;
    /*! All workers by the time of their newest confirmation, oldest first. */
    std::set<std::pair<instant, worker_id>> by_confirmation_;
    /*! Held workers by the time their hold began. */
    std::set<std::pair<instant, worker_id>> by_hold_start_;
    std::map<team_id, resources> known_;
};

} // namespace kingcuplink

#endif
