#ifndef KINGCUPLINK_WORKFLOW_FWD_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_FWD_HPP_INCLUDED

#include <cstdint>

namespace kingcuplink {

struct step_definition;

struct job_definition;

struct task_progress;

struct job_progress;

struct site_rules;

struct queue_rules;

class job_table;

class dispatcher;

} // namespace kingcuplink

#endif
