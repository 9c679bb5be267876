#ifndef KINGCUPLINK_AUTHORITY_FWD_HPP_INCLUDED
#define KINGCUPLINK_AUTHORITY_FWD_HPP_INCLUDED

namespace kingcuplink {

class leadership;

class hold_table;

class allotment_fold;

class job_ledger;

struct job_event;

} // namespace kingcuplink

#endif
