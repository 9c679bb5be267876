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
 * Holds (leases) of one leader on the workers of its failure domain, and the known
 * usage of each team on those workers.
 *
 * The usage of a team before a start on worker x is the sum of its known usage on
 * x and, for every other worker w, its known usage on w if w confirmed a renewal
 * that was sent after the hold on x began. Otherwise w counts with its full size,
 * because another leader may have started that much there. This rule keeps the
 * total usage within the limit for any number of concurrent leaders.
 * Performs no I/O and reads no clock. Not thread safe.
 */
class hold_table {
public:
    /*! Adds a worker without a hold. Ignored if the worker is known. */
    void add(worker_id worker, resources const &size);

    /*! Records that a lease requested at `sent_at` was granted. The hold begins at `now`. */
    void granted(worker_id worker, instant sent_at, instant now);

    /*! Records that the renewal sent at `sent_at` was confirmed. Ignored unless the worker is held. */
    void confirmed(worker_id worker, instant sent_at);

    /*! Records the end of a hold. The known usage on the worker is kept. */
    void dropped(worker_id worker);

    /*! Ends all holds. */
    void drop_all();

    /*! Checks whether a worker is held and its lease has not expired. */
    [[nodiscard]] bool is_held(worker_id worker, instant now) const;

    /*! Returns the time at which the hold began, or a default-constructed instant if the worker is not held. */
    [[nodiscard]] instant hold_began(worker_id worker) const;

    /*! Returns the time by which every lease granted to this leader on the worker has expired. */
    [[nodiscard]] instant lease_end(worker_id worker) const;

    /*! Checks whether a held worker must confirm a renewal before its known usage can replace its full size. */
    [[nodiscard]] bool needs_confirmation() const;

    /*! Adds an amount to the known usage of a team on a worker. */
    void add_use(worker_id worker, team_id team, resources const &amount);

    /*! Subtracts an amount from the known usage of a team on a worker. */
    void remove_use(worker_id worker, team_id team, resources const &amount);

    /*! Returns the upper bound of the usage of a team in the failure domain, evaluated before a start on a worker. */
    [[nodiscard]] resources charge_before_start(team_id team, worker_id worker) const;

    /*! Checks whether a start keeps a team within a limit. Returns false if the worker is not held. */
    [[nodiscard]] bool may_start(
        team_id team, worker_id worker, resources const &amount, resources const &limit, instant now) const;

    /*! Returns the known usage of a team on all workers. */
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
    /*! All workers by the send time of the latest confirmed request, oldest first. */
    std::set<std::pair<instant, worker_id>> by_confirmation_;
    /*! Held workers by the start of their hold, oldest first. */
    std::set<std::pair<instant, worker_id>> by_hold_start_;
    std::map<team_id, resources> known_;
};

} // namespace kingcuplink

#endif
